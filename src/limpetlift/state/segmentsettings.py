"""Settings of a balancer or an agent that forwards segments.

The settings of a process are one TOML file. The checks are kept cheap,
because these processes are started often on slow instances.
"""

import os
import tomllib

import attrs
from attrs import validators

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.scheduling import rotation
from limpetlift import structs

_non_empty_text = validators.and_(
    validators.instance_of(str), validators.min_len(1)
)


def _parse_endpoint(value):
    """Return the text ``ip:port`` as ``(ip, port)``, or None when empty.

    :raises ValueError: when the value has another form.
    """
    if not value:
        return None
    ip, _, port = str(value).rpartition(":")
    if not ip or not port.isdigit():
        raise ValueError("address %r is not of the form ip:port" % value)
    return ip, int(port)


def _parse_address_reuse(value):
    """Return a time in seconds.

    :param value: a number; or a text with a number, ``false`` when addresses
        are not used again, or empty for the default.
    :raises ValueError: when the value is none of these, or negative.
    """
    if value == "":
        return defaults.ADDRESS_REUSE_S
    if value == "false":
        return float("inf")
    seconds = float(value)
    if isinstance(value, bool) or not 0 <= seconds < float("inf"):
        raise ValueError(
            "address_reuse_s is %r, but must be 0 or above" % value
        )
    return seconds


# Of an invalid limit in a log line.
_MAX_LIMIT_TEXT = 40
# Limits of the instance, which the environment variables of their names in
# capital letters may state.
_LIMITS = ("link_mbps", "cpu_share", "cpu_cores")


def _limit_parser(highest):
    """Return a converter of a limit of the instance.

    It returns a number, or None for a limit that is not stated. An invalid
    limit stays a text, because the process can do without the limit.

    :param highest: largest valid value.
    """

    def parse(value):
        # A limit that is false does not apply.
        if value is None or value is False or value in ("", "false"):
            return None
        number = rotation.positive_number(value, highest)
        return repr(value)[:_MAX_LIMIT_TEXT] if number is None else number

    return parse


def _parse_placing_policy(value):
    """Return the name of a placing policy; the default one when empty.

    :raises ValueError: when there is no such policy.
    """
    if value == "":
        return defaults.PLACING_POLICY
    if value not in defaults.PLACING_POLICIES:
        raise ValueError(
            "placing_policy is %r, but must be one of %s"
            % (value, ", ".join(defaults.PLACING_POLICIES))
        )
    return value


def _parse_bound(value):
    """Return a number, or None for an empty text.

    :param value: a number or a text with one.
    :raises ValueError: when the value is no number, negative or not finite.
    """
    if value is None or value == "":
        return None
    number = float(value)
    if isinstance(value, bool) or not 0 <= number < float("inf"):
        raise ValueError("a bound is %r, but must be 0 or above" % value)
    return number


# Values of the setting ``pacing``: whether the pace of new flows at a server
# that has started or recovered is learned. ``auto`` is ``learned`` where the
# two bounds of cold servers are set, and ``off`` elsewhere.
LEARNED = "learned"
OFF = "off"
AUTO = "auto"

_is_endpoint = validators.instance_of(tuple)


# Settings that environment variables of the same name in capitals stand for.
_ENVIRONMENT_FIELDS = (
    "address_reuse_s",
    *_LIMITS,
    "placing_policy",
    "pacing",
    "warmup_overage",
    "warmup_slack",
)


@structs.frozen
class Settings:
    """The settings of one process.

    Endpoints are written as ``ip:port`` and kept as ``(ip, port)``. Those of
    the backend server are used by agents only.

    :param id: name of the process, unique among all processes.
    :param data_centre: data centre of the process.
    :param ip: IP address of the process.
    :param segments: endpoint on which a balancer receives the segments of
        callers, or an agent the messages of balancers. Segments to callers
        are sent to its port at the caller's address.
    :param probes: endpoint that serves readiness probes.
    :param store: address of the store, as the text ``ip:port``.
    :param peer_port: port on which a balancer receives messages.
    :param reports: endpoint on which an agent receives the reports of its
        backend server.
    :param server_segments: endpoint on which an agent receives the segments
        of its backend server.
    :param server: endpoint on which the backend server receives segments.
    :param service: name of the backend server's service.
    :param is_first_start: whether the whole deployment starts for the first
        time.
    :param report_interval_ms: time between two reports of a backend server.
    :param address_reuse_s: seconds after the end of a backend server from
        which on its address may belong to a server of another service, as a
        number or a text.
    :param link_mbps: speed of the instance's link in Mbit/s. Like the next
        two, None when unknown, or a text when invalid, which counts as
        unknown.
    :param cpu_share: share of each processor core that the instance has.
    :param cpu_cores: number of its cores.
    :param placing_policy: name of the policy by which balancers place new
        flows; ``least`` or ``fastest``. Agents estimate the run times that
        it needs.
    :param pacing: :data:`LEARNED`, :data:`OFF` or :data:`AUTO`; empty for
        off.
    :param warmup_overage: factor on the configured requests per second of a
        cold server; None or an empty text when there is no bound.
    :param warmup_slack: new flows per second that a cold server may get
        besides; None or an empty text when there is no bound.
    """

    id: str = attrs.field(validator=_non_empty_text)
    data_centre: str = attrs.field(validator=_non_empty_text)
    ip: str = attrs.field(validator=_non_empty_text)
    segments: tuple = attrs.field(
        converter=_parse_endpoint, validator=_is_endpoint
    )
    probes: tuple = attrs.field(
        converter=_parse_endpoint, validator=_is_endpoint
    )
    store: str = attrs.field(validator=_non_empty_text)
    peer_port: int = attrs.field(validator=validators.instance_of(int))
    reports: object = attrs.field(converter=_parse_endpoint, default=None)
    server_segments: object = attrs.field(
        converter=_parse_endpoint, default=None
    )
    server: object = attrs.field(converter=_parse_endpoint, default=None)
    service: str = attrs.field(
        default="", validator=validators.instance_of(str)
    )
    is_first_start: bool = attrs.field(
        default=False, validator=validators.instance_of(bool)
    )
    report_interval_ms: int = attrs.field(
        default=int(defaults.REPORT_INTERVAL_S * 1000),
        validator=validators.and_(
            validators.instance_of(int), validators.gt(0)
        ),
    )
    address_reuse_s: float = attrs.field(
        default=defaults.ADDRESS_REUSE_S, converter=_parse_address_reuse
    )
    link_mbps: object = attrs.field(
        default=None, converter=_limit_parser(defaults.MAX_LINK_MBPS)
    )
    cpu_share: object = attrs.field(
        default=None, converter=_limit_parser(defaults.MAX_CORES)
    )
    cpu_cores: object = attrs.field(
        default=None, converter=_limit_parser(defaults.MAX_CORES)
    )

    @property
    def invalid_limits(self):
        """A text for each limit that is invalid."""
        values_by_name = {name: getattr(self, name) for name in _LIMITS}
        return tuple(
            "%s is %s" % (name, value)
            for name, value in values_by_name.items()
            if isinstance(value, str)
        )

    @property
    def capacity(self):
        """The instance's :class:`rotation.Capacity`, or None when unknown."""
        link_mbps, share, cores = [
            None if isinstance(value, str) else value
            for value in (self.link_mbps, self.cpu_share, self.cpu_cores)
        ]
        processor = None
        if share is not None and cores is not None:
            processor = share * cores
        if link_mbps is None and processor is None:
            return None
        return rotation.Capacity(link_mbps, processor)

    placing_policy: str = attrs.field(
        default=defaults.PLACING_POLICY, converter=_parse_placing_policy
    )
    pacing: str = attrs.field(
        default=OFF,
        converter=lambda value: value or OFF,
        validator=validators.in_((LEARNED, OFF, AUTO)),
    )
    warmup_overage: object = attrs.field(default=None, converter=_parse_bound)
    warmup_slack: object = attrs.field(default=None, converter=_parse_bound)

    @property
    def has_cold_bounds(self):
        """Whether both bounds of cold servers are set."""
        return self.warmup_overage is not None and (
            self.warmup_slack is not None
        )

    @property
    def is_pace_learned(self):
        """Whether the pace of started and recovered servers is learned."""
        return self.pacing == LEARNED or (
            self.pacing == AUTO and self.has_cold_bounds
        )


def decode(data, environment=os.environ):
    """Return the :class:`Settings` in the bytes of a TOML file.

    :param environment: environment variables. A field that is missing from
        the file and that :data:`_ENVIRONMENT_FIELDS` names is taken from the
        variable of its name in capital letters.
    :raises SettingsError: when they are invalid.
    """
    try:
        fields = tomllib.loads(data.decode("utf-8"))
        for name in _ENVIRONMENT_FIELDS:
            fields.setdefault(name, environment.get(name.upper(), ""))
        return Settings(**fields)
    except (ValueError, TypeError, RecursionError) as error:
        raise exceptions.SettingsError([str(error)]) from error


def load(path):
    """Return the :class:`Settings` of the TOML file at ``path``.

    :raises SettingsError: when the file cannot be read or is invalid; the
        message names the file.
    """
    try:
        with open(path, "rb") as file:
            return decode(file.read())
    except (OSError, exceptions.SettingsError) as error:
        raise exceptions.SettingsError(["%s: %s" % (path, error)]) from error
