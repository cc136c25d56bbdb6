"""Where a running balancer would place a new flow, as text."""

import json
import urllib.parse

from tornado import httpclient

from limpetlift import exceptions
from limpetlift.protocol import segment as segments

# A dry run among the agents of the largest deployments takes some hundred
# milliseconds on the slowest instances.
_TIMEOUT_S = 5.0


async def ask(address, flow, copy_number=0):
    """Ask a balancer where it would place a new flow.

    :param address: ``ip:port`` of the balancer's HTTP API.
    :param flow: id of the flow, ``caller_ip:port>service_ip:port``.
    :param copy_number: number of times that the caller has sent the first
        segment before, from 0 to 2.
    :returns: the dictionary of :func:`limpetlift.state.dryrun.explain`, with
        the id of the balancer as ``balancer``.
    :raises StateError: when an argument is invalid, or the balancer cannot
        answer for the flow.
    :raises TransportError: when no balancer answers there.
    """
    ip, _, port = address.rpartition(":")
    try:
        segments.check_address(ip, segments.parse_port(port))
    except ValueError as error:
        raise exceptions.StateError(
            "invalid address %s of a balancer: %s" % (ascii(address), error)
        ) from None
    query = urllib.parse.urlencode({"flow": flow, "copy": copy_number})
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            "http://%s/whereto?%s" % (address, query),
            request_timeout=_TIMEOUT_S,
            raise_error=False,
        )
        answer = json.loads(response.body or b"{}")
        if response.code == 200:
            return answer
        # Status 599 stands for an error before any response.
        error = response.error if response.code == 599 else answer["error"]
    except (
        OSError,
        ValueError,
        KeyError,
        TypeError,
        httpclient.HTTPError,
    ) as caught:
        raise exceptions.TransportError(
            "call to the balancer at %s failed: %s" % (address, caught)
        ) from caught
    if response.code == 400:
        raise exceptions.StateError(_printable(error))
    raise exceptions.TransportError(
        "call to the balancer at %s failed: %s" % (address, _printable(error))
    )


def format_answer(answer):
    """Return the answer of :func:`ask` as lines of text."""
    lines = [
        "flow %s, copy %d, at balancer %s in %s"
        % (
            answer["flow"],
            answer["copy"],
            answer["balancer"],
            answer["data_centre"],
        ),
        "decision: %s%s%s"
        % (
            answer["decision"],
            _format_fields(answer["fields"]),
            ", with a reset" if answer["reset"] else "",
        ),
        "route: %s of version %d, aim %s ms, priority %d, services asked: %s"
        % (
            answer["route"],
            answer["routes_version"],
            _format_ms(answer["aim_s"]),
            answer["priority"],
            ", ".join(answer["services"]) or "none",
        ),
        "policies: placing %s, admission %s, longest wait %s ms"
        % (
            answer["placing_policy"],
            answer["admission_policy"],
            _format_ms(answer["max_wait_s"]),
        ),
    ]
    if answer["is_known"]:
        lines.append(
            "the balancer knows the flow already, %s"
            % ("open" if answer["is_open"] else "not open")
        )
    lines += [
        "evacuated: %s, revision %s, known for %.1f s"
        % (item["data_centre"], item["revision"], item["known_s"])
        for item in answer["evacuated"]
    ]
    for number, candidate in enumerate(answer["candidates"], 1):
        facts = {
            name: value
            for name, value in candidate.items()
            if name not in ("agent", "address", "outcome")
        }
        lines.append(
            "%3d  %-20s %-21s %-14s%s"
            % (
                number,
                candidate["agent"],
                candidate["address"],
                candidate["outcome"],
                _format_fields(facts),
            )
        )
    lines += [
        "%d agents: %s" % (count, outcome)
        for outcome, count in sorted(answer["counts_by_outcome"].items())
    ]
    return [_printable(line) for line in lines]


def _format_fields(fields):
    return "".join(" %s=%s" % item for item in fields.items())


def _format_ms(seconds):
    return "unlimited" if seconds is None else "%g" % (1000 * seconds)


def _printable(text):
    """Return text as one line, as names may contain any characters."""
    text = str(text)
    return text if text.isprintable() else ascii(text)
