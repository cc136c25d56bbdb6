"""Settings of one process, read from one TOML file."""

import pathlib
import tomllib

import attrs
import cattrs

from limpetlift import defaults
from limpetlift import exceptions


@attrs.frozen
class Node:
    """Identity and place of the process.

    :param id: unique name among all processes.
    :param ip: address of the node socket and the request server.
    :param port: port of both; 1 to 65535.
    """

    id: str
    ip: str
    port: int
    data_centre: str
    region: str = "default"


@attrs.frozen
class Balancer:
    """Settings of a balancer.

    :param bind_ip: bind services' ports on this address instead of the
        address of the service; for fabrics that translate addresses.
    """

    bind_ip: str = ""


@attrs.frozen
class Agent:
    """Settings of an agent.

    :param service: name of the service of its backend server.
    :param backend: ``ip:port`` of the backend server.
    :param weight: relative share of new work.
    """

    service: str
    backend: str
    weight: float = 1.0


@attrs.frozen
class Admin:
    """Administration API.

    :param token: bearer token; required on other addresses than loopback.
    """

    port: int
    ip: str = defaults.ADMIN_IP
    token: str = ""


@attrs.frozen
class Log:
    """Logging level and target."""

    level: str = "info"
    target: str = "stderr"


@attrs.frozen
class Security:
    """Shared keys as hex strings; the first one signs."""

    keys: list[str]

    @property
    def secrets(self):
        """The keys as bytes."""
        return [bytes.fromhex(key) for key in self.keys]


@attrs.frozen
class Config:
    """Where the operators' configuration comes from.

    :param folder: folder read directly, without a store.
    """

    folder: str = ""


@attrs.frozen
class Settings:
    """All settings of a process.

    :param seeds: ``ip:port`` of balancers to join through.
    """

    node: Node
    admin: Admin
    security: Security
    balancer: Balancer = attrs.Factory(Balancer)
    agent: Agent | None = None
    log: Log = attrs.Factory(Log)
    config: Config = attrs.Factory(Config)
    seeds: list[str] = attrs.Factory(list)


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def load(path):
    """Return the :class:`Settings` in the TOML file at ``path``.

    :raises SettingsError: when the file is missing or a setting is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        values = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise exceptions.SettingsError(["%s: %s" % (path, error)]) from error
    try:
        return _CONVERTER.structure(values, Settings)
    except cattrs.BaseValidationError as error:
        raise exceptions.SettingsError(
            "%s: %s" % (path, line) for line in cattrs.transform_error(error)
        ) from error
