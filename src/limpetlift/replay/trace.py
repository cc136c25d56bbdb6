"""The trace format: JSON lines, a header and then events in order of time.

docs/replay.md documents the format for those who write traces.
"""

import json
import pathlib

import attrs
import cattrs

from limpetlift import exceptions
from limpetlift import registry

FORMAT = 1

events_by_kind = {}


@attrs.frozen(kw_only=True)
class Site:
    """A data centre."""

    name: str
    region: str = "default"


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A service and its targets.

    :param targets: number of agents, spread over the data centres in turn.
    :param slots: slots of each target.
    :param max_flows: connections of each target.
    """

    name: str
    targets: int
    slots: int = 2
    max_flows: int = 2000


@attrs.frozen(kw_only=True)
class Comparison:
    """A second run with the same seed that some outcomes refer to.

    :param policies: policies of the second run.
    :param without_long: leave the long requests out of the second run.
    :param from_s: start of the span that is compared.
    :param until_s: its end.
    """

    policies: dict[str, str] = attrs.Factory(dict)
    without_long: bool = False
    from_s: float = 0.0
    until_s: float = 1e9


@attrs.frozen(kw_only=True)
class Header:
    """The deployment that a trace was recorded on.

    :param duration_s: seconds of virtual time.
    :param one_way_ms: latency between data centres.
    :param client_ms: latency between callers and balancers.
    :param loss: share of datagrams that are lost.
    :param balancers: number of balancers, spread over the data centres.
    :param compare: a second run to compare with, or None.
    """

    format: int
    name: str
    seed: int
    duration_s: float
    data_centres: list[Site]
    services: list[ServiceSpec]
    balancers: int
    one_way_ms: float = 0.5
    client_ms: float = 3.0
    loss: float = 0.0
    compare: Comparison | None = None


@attrs.frozen(kw_only=True)
class Event:
    """Something that happens at a given time.

    :param at: seconds since the start of the trace.
    """

    at: float = attrs.field(validator=attrs.validators.ge(0))


def _event(kind):
    return registry.register(events_by_kind, kind)


@_event("flows")
@attrs.frozen(kw_only=True)
class Flows(Event):
    """Callers open ``count`` flows within ``over_s``.

    :param every_s: seconds between the datagrams of one flow.
    """

    service: str
    count: int
    over_s: float = 1.0
    every_s: float = 1.0


@_event("requests")
@attrs.frozen(kw_only=True)
class Requests(Event):
    """Callers send requests at random times for ``for_s``.

    :param per_s: mean rate.
    :param work_ms: mean time that a backend server needs for one.
    :param keyed: whether they carry an idempotency key.
    :param long_share: share of requests with ``long_factor`` times the work.
    :param declared: whether long ones carry the long work class.
    :param retries: times a caller repeats a request that was not answered.
    """

    service: str
    per_s: float
    for_s: float
    work_ms: float = 50.0
    deadline_ms: float = 1000.0
    keyed: bool = False
    long_share: float = 0.0
    long_factor: float = 50.0
    declared: bool = True
    retries: int = 2


@_event("flow")
@attrs.frozen(kw_only=True)
class Flow(Event):
    """One recorded datagram of a flow.

    :param caller: ``ip:port`` of the caller.
    """

    service: str
    caller: str


@_event("request")
@attrs.frozen(kw_only=True)
class Request(Event):
    """One recorded request."""

    service: str
    work_ms: float
    deadline_ms: float = 1000.0
    key: str = ""
    long: bool = False
    declared: bool = True
    retries: int = 2


@_event("kill")
@attrs.frozen(kw_only=True)
class Kill(Event):
    """A process dies at once, with its backend server."""

    process: str


@_event("start")
@attrs.frozen(kw_only=True)
class Start(Event):
    """A process that was killed or stopped starts again, with no memory."""

    process: str


@_event("stop")
@attrs.frozen(kw_only=True)
class Stop(Event):
    """A process is stopped gracefully."""

    process: str


@_event("join")
@attrs.frozen(kw_only=True)
class Join(Event):
    """A new process joins: an agent of ``service``, else a balancer."""

    process: str
    service: str = ""


@_event("drain")
@attrs.frozen(kw_only=True)
class Drain(Event):
    """An agent takes no new work."""

    process: str


@_event("weight")
@attrs.frozen(kw_only=True)
class Weight(Event):
    """An agent gets another weight."""

    process: str
    weight: float


@_event("pause")
@attrs.frozen(kw_only=True)
class Pause(Event):
    """A process does nothing for ``for_s``; datagrams wait for it."""

    process: str
    for_s: float


@_event("slow")
@attrs.frozen(kw_only=True)
class Slow(Event):
    """A backend server needs ``factor`` times as long for ``for_s``."""

    process: str
    factor: float
    for_s: float


@_event("lag")
@attrs.frozen(kw_only=True)
class Lag(Event):
    """Control messages to a process take ``delay_s`` longer for ``for_s``."""

    process: str
    delay_s: float
    for_s: float


@_event("cut")
@attrs.frozen(kw_only=True)
class Cut(Event):
    """Two sets of data centres or processes do not reach each other."""

    left: list[str]
    right: list[str]
    for_s: float


@_event("store")
@attrs.frozen(kw_only=True)
class Store(Event):
    """The store is ``down``, or loses the answers of writes, for ``for_s``."""

    state: str = attrs.field(
        validator=attrs.validators.in_(("down", "lose_answers", "stale"))
    )
    for_s: float


@attrs.frozen
class Trace:
    """A header and its events by time."""

    header: Header
    events: list


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def load(path):
    """Return the :class:`Trace` in the file at ``path``.

    :raises SettingsError: naming each line that is invalid.
    """
    try:
        lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(["%s: %s" % (path, error)]) from error
    problems = []
    parsed = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            parsed.append(_parse(line, is_header=not parsed))
        except exceptions.StateError as error:
            problems.append("%s:%d: %s" % (path, number, error))
            if not parsed:
                break
    if not problems and not parsed:
        problems.append("%s: expected a header line" % path)
    if problems:
        raise exceptions.SettingsError(problems)
    header, *events = parsed
    return Trace(header, sorted(events, key=lambda event: event.at))


def _parse(line, is_header):
    try:
        values = json.loads(line)
    except ValueError as error:
        raise exceptions.StateError("not JSON: %s" % error) from error
    if not isinstance(values, dict):
        raise exceptions.StateError("expected a JSON object")
    if is_header:
        if values.get("format") != FORMAT:
            raise exceptions.StateError("expected format %d" % FORMAT)
        return _structure(values, Header)
    kind = values.pop("event", None)
    return _structure(values, registry.lookup(events_by_kind, kind, "event"))


def _structure(values, cls):
    try:
        return _CONVERTER.structure(values, cls)
    except cattrs.BaseValidationError as error:
        raise exceptions.StateError(
            "; ".join(cattrs.transform_error(error))
        ) from error
