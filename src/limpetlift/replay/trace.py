"""The trace format: JSON lines, first a header and then the events.

docs/replay.md documents the format for authors of traces.
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
class DataCentreSpec:
    """A data centre of the deployment.

    :param name: name of the data centre.
    :param region: the region in which it is.
    """

    name: str
    region: str = "default"


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A service and its agents.

    :param name: name of the service.
    :param targets: number of agents, which are assigned to the data centres
        in turn.
    :param slots: number of requests that a backend server runs at a time.
    :param max_flows: maximum number of flows of an agent.
    """

    name: str
    targets: int
    slots: int = 2
    max_flows: int = 2000


@attrs.frozen(kw_only=True)
class Comparison:
    """A second run with the same seed, with which outcomes are compared.

    :param policies: policy name by kind; these replace those of the first
        run.
    :param without_long: whether the second run has no long requests of
        :class:`Requests` events.
    :param from_s: start of the compared span, in seconds since the start of
        the trace.
    :param until_s: end of the compared span.
    """

    policies: dict[str, str] = attrs.Factory(dict)
    without_long: bool = False
    from_s: float = 0.0
    until_s: float = 1e9


@attrs.frozen(kw_only=True)
class Header:
    """The header of a trace, which describes the deployment.

    :param format: version of the trace format, :data:`FORMAT`.
    :param name: name of the trace.
    :param seed: seed of the random numbers.
    :param duration_s: duration of the trace in virtual time.
    :param data_centres: a list of :class:`DataCentreSpec`.
    :param services: a list of :class:`ServiceSpec`.
    :param balancers: number of balancers, which are assigned to the data
        centres in turn.
    :param one_way_ms: one-way delay between data centres.
    :param client_ms: one-way delay between callers and balancers.
    :param loss: share of datagrams that are lost.
    :param compare: the :class:`Comparison`, or None.
    """

    format: int
    name: str
    seed: int
    duration_s: float
    data_centres: list[DataCentreSpec]
    services: list[ServiceSpec]
    balancers: int
    one_way_ms: float = 0.5
    client_ms: float = 3.0
    loss: float = 0.0
    compare: Comparison | None = None


@attrs.frozen(kw_only=True)
class Event:
    """Base class of the events of a trace.

    :param at: time of the event, in seconds since the start of the trace.
    """

    at: float = attrs.field(validator=attrs.validators.ge(0))


def _register_event(kind):
    return registry.register(events_by_kind, kind)


@_register_event("flows")
@attrs.frozen(kw_only=True)
class Flows(Event):
    """Callers open ``count`` flows at random times within ``over_s``.

    :param service: name of the service.
    :param every_s: interval between the datagrams of a flow.
    """

    service: str
    count: int
    over_s: float = 1.0
    every_s: float = 1.0


@_register_event("requests")
@attrs.frozen(kw_only=True)
class Requests(Event):
    """Callers send requests at random times for ``for_s``.

    :param service: name of the service.
    :param per_s: mean number of requests per second.
    :param work_ms: mean time that a backend server needs for a request.
    :param deadline_ms: time after which the caller gives up.
    :param keyed: whether the requests carry an idempotency key.
    :param long_share: share of long requests.
    :param long_factor: factor by which ``work_ms`` and ``deadline_ms`` of long
        requests are greater.
    :param declared: whether long requests carry the long work class.
    :param retries: number of times that a caller repeats a request that was
        not answered.
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


@_register_event("flow")
@attrs.frozen(kw_only=True)
class Flow(Event):
    """A recorded datagram of a flow.

    :param service: name of the service.
    :param caller: address of the caller as ``ip:port``.
    """

    service: str
    caller: str


@_register_event("request")
@attrs.frozen(kw_only=True)
class Request(Event):
    """A recorded request.

    :param service: name of the service.
    :param work_ms: time that a backend server needs for the request.
    :param deadline_ms: time after which the caller gives up.
    :param key: idempotency key, or an empty string.
    :param long: whether the request is long work.
    :param declared: whether a long request carries the long work class.
    :param retries: number of times that the caller repeats the request when
        it is not answered.
    """

    service: str
    work_ms: float
    deadline_ms: float = 1000.0
    key: str = ""
    long: bool = False
    declared: bool = True
    retries: int = 2


@_register_event("kill")
@attrs.frozen(kw_only=True)
class Kill(Event):
    """A process is killed; an agent's backend server ends with it."""

    process: str


@_register_event("start")
@attrs.frozen(kw_only=True)
class Start(Event):
    """A killed or stopped process starts again, without its old state."""

    process: str


@_register_event("stop")
@attrs.frozen(kw_only=True)
class Stop(Event):
    """A process is stopped gracefully."""

    process: str


@_register_event("join")
@attrs.frozen(kw_only=True)
class Join(Event):
    """A new process starts.

    :param process: id of the process.
    :param service: service of the new agent; if empty, the process is a
        balancer.
    """

    process: str
    service: str = ""


@_register_event("drain")
@attrs.frozen(kw_only=True)
class Drain(Event):
    """An agent stops accepting new flows and requests."""

    process: str


@_register_event("weight")
@attrs.frozen(kw_only=True)
class Weight(Event):
    """The weight of an agent changes."""

    process: str
    weight: float


@_register_event("pause")
@attrs.frozen(kw_only=True)
class Pause(Event):
    """A process is suspended for ``for_s``; messages to it are delayed."""

    process: str
    for_s: float


@_register_event("slow")
@attrs.frozen(kw_only=True)
class Slow(Event):
    """A backend server is slower by ``factor`` for ``for_s``.

    :param process: id of its agent.
    """

    process: str
    factor: float
    for_s: float


@_register_event("lag")
@attrs.frozen(kw_only=True)
class Lag(Event):
    """Control messages to a process take ``delay_s`` longer for ``for_s``."""

    process: str
    delay_s: float
    for_s: float


@_register_event("cut")
@attrs.frozen(kw_only=True)
class Cut(Event):
    """Two sets of data centres or processes are partitioned for ``for_s``.

    :param left: names of data centres or ids of processes.
    :param right: the same for the other side.
    """

    left: list[str]
    right: list[str]
    for_s: float


@_register_event("store")
@attrs.frozen(kw_only=True)
class Store(Event):
    """The store fails for ``for_s``.

    :param state: the failure: ``down``, ``lose_answers`` or ``stale``; see
        :class:`limpetlift.replay.store.Store`.
    """

    state: str = attrs.field(
        validator=attrs.validators.in_(("down", "lose_answers", "stale"))
    )
    for_s: float


@attrs.frozen
class Trace:
    """A header and the events in order of time."""

    header: Header
    events: list


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def load(path):
    """Read the :class:`Trace` in the file at ``path``.

    :raises SettingsError: with a problem for each invalid line.
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
        problems.append("%s: the file has no header line" % path)
    if problems:
        raise exceptions.SettingsError(problems)
    header, *events = parsed
    return Trace(header, sorted(events, key=lambda event: event.at))


def _parse(line, is_header):
    try:
        values = json.loads(line)
    except ValueError as error:
        raise exceptions.StateError("invalid JSON: %s" % error) from error
    if not isinstance(values, dict):
        raise exceptions.StateError("the line is not a JSON object")
    if is_header:
        if values.get("format") != FORMAT:
            raise exceptions.StateError("the format is not %d" % FORMAT)
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
