"""Settings of a balancer or an agent that forwards segments.

They are one TOML file. The checks are light, because these processes start
often on slow instances.
"""

import tomllib

import attrs
from attrs import validators

from limpetlift import defaults
from limpetlift import exceptions

_text = validators.and_(validators.instance_of(str), validators.min_len(1))


def _endpoint(value):
    """Return ``ip:port`` as ``(ip, port)``; None when it is empty."""
    if not value:
        return None
    ip, _, port = str(value).rpartition(":")
    if not ip or not port.isdigit():
        raise ValueError("%r is not ip:port" % value)
    return ip, int(port)


_required = validators.instance_of(tuple)


@attrs.frozen
class Settings:
    """The settings of one process.

    :param id: unique name among all processes.
    :param data_centre: its data centre.
    :param ip: its own address.
    :param segments: where a balancer gets the segments of callers, and an
        agent the messages of balancers; callers get theirs at its port.
    :param probes: where readiness is asked for.
    :param store: address of the store, as ``ip:port``.
    :param peer_port: port of a balancer's messages.
    :param reports: where an agent's backend server reports.
    :param server_segments: where it sends its segments.
    :param server: where it takes segments.
    :param service: name of its service.
    :param is_first_start: whether the whole deployment starts for the first
        time.
    :param report_interval_ms: a backend server reports this often.
    """

    id: str = attrs.field(validator=_text)
    data_centre: str = attrs.field(validator=_text)
    ip: str = attrs.field(validator=_text)
    segments: tuple = attrs.field(converter=_endpoint, validator=_required)
    probes: tuple = attrs.field(converter=_endpoint, validator=_required)
    store: str = attrs.field(validator=_text)
    peer_port: int = attrs.field(validator=validators.instance_of(int))
    reports: object = attrs.field(converter=_endpoint, default=None)
    server_segments: object = attrs.field(converter=_endpoint, default=None)
    server: object = attrs.field(converter=_endpoint, default=None)
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


def load(path):
    """Return the :class:`Settings` in the TOML file at ``path``.

    :raises SettingsError: when the file cannot be read or is invalid.
    """
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
        return Settings(**values)
    except (OSError, ValueError, TypeError) as error:
        raise exceptions.SettingsError(["%s: %s" % (path, error)]) from error
