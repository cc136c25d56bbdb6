"""Settings of one process, read from one TOML file."""

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.state import checks
from limpetlift.state import merge

LOG_LEVELS = ("debug", "info", "warning", "error")

_ID = checks.Text(
    "[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
    "1 to 63 characters A-Z, a-z, 0-9, ., _ and -",
)
_PORT = checks.Integer(1, 65535)


@attrs.frozen
class Node:
    """Identity and place of the process.

    :param id: unique name among all processes.
    :param ip: address of the node socket and the request server.
    :param port: port of both.
    """

    id: str = checks.setting(_ID)
    ip: str = checks.setting(checks.Ip())
    port: int = checks.setting(_PORT)
    data_centre: str = checks.setting(_ID)
    region: str = checks.setting(_ID, default="default")


@attrs.frozen
class Balancer:
    """Settings of a balancer.

    :param bind_ip: bind services' ports on this address instead of the
        address of the service; for fabrics that translate addresses.
    :param record: file in which a trace of the traffic is written; empty
        writes none.
    """

    bind_ip: str = checks.setting(checks.Ip(optional=True), default="")
    record: str = checks.setting(
        checks.Text("[^\x00]{0,4096}", "a file path"), default=""
    )


@attrs.frozen
class Agent:
    """Settings of an agent.

    :param service: name of the service of its backend server.
    :param backend: ``ip:port`` of the backend server.
    :param weight: relative share of new work.
    """

    service: str = checks.setting(checks.SERVICE_NAME)
    backend: str = checks.setting(checks.Endpoint(), unit="ip:port")
    weight: float = checks.setting(checks.Number(0.001, 1000), default=1.0)


@attrs.frozen
class Admin:
    """Administration API.

    :param token: bearer token; required on other addresses than loopback.
    """

    port: int = checks.setting(_PORT)
    ip: str = checks.setting(checks.Ip(), default=defaults.ADMIN_IP)
    token: str = checks.setting(
        checks.Text("[!-~]{0,256}", "up to 256 visible ASCII characters"),
        default="",
    )


@attrs.frozen
class Log:
    """Logging level and target."""

    level: str = checks.setting(checks.Choice(LOG_LEVELS), default="info")
    target: str = checks.setting(
        checks.Text(".+", '"stderr", "stdout" or the path of a file'),
        default="stderr",
    )


@attrs.frozen
class Security:
    """Shared keys as hex strings; the first one signs."""

    keys: list = checks.setting(
        checks.Items(checks.HexText(defaults.MIN_SECRET_KEY_BYTES, 64), low=1),
        unit="bytes, in hexadecimal digits",
    )

    @property
    def secrets(self):
        """The keys as bytes."""
        return [bytes.fromhex(key) for key in self.keys]


@attrs.frozen
class Config:
    """Where the operators' configuration comes from without a store.

    :param folder: folder read directly.
    """

    folder: str = checks.setting(checks.Text(".*", "a path"), default="")


@attrs.frozen
class Store:
    """The platform's key-value store.

    :param endpoints: ``ip:port`` of its gateways; empty without a store.
    :param prefix: put before every key.
    """

    endpoints: list = checks.setting(
        checks.Items(checks.Endpoint()), default=[], unit="ip:port"
    )
    prefix: str = checks.setting(
        checks.Text("[!-~]{1,128}", "1 to 128 visible ASCII characters"),
        default="limpetlift/",
    )


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
    store: Store = attrs.Factory(Store)
    seeds: list = attrs.Factory(list)


@attrs.frozen
class TopLevel:
    """The settings outside of tables."""

    seeds: list = checks.setting(
        checks.Items(checks.Endpoint()), default=[], unit="ip:port"
    )


TABLES_BY_NAME = {
    "node": Node,
    "admin": Admin,
    "security": Security,
    "balancer": Balancer,
    "agent": Agent,
    "log": Log,
    "config": Config,
    "store": Store,
}
_REQUIRED = ("node", "admin", "security")


def load(path):
    """Return the :class:`Settings` in the TOML file at ``path``.

    :raises SettingsError: with all problems: file, key path, what was found
        and what was expected.
    """
    values, lines = merge.read_file(path)
    if not lines:
        settings, problems = check(values)
        lines = [problem.line(path) for problem in problems]
    if lines:
        raise exceptions.SettingsError(lines)
    return settings


def check(values):
    """Return ``(settings or None, problems)`` of a parsed file."""
    problems = []
    fields = {}
    for name, cls in TABLES_BY_NAME.items():
        if name in values or name in _REQUIRED:
            fields[name], faults = checks.structure(
                values.get(name, {}), cls, (name,)
            )
            problems += faults
    rest = {
        key: value
        for key, value in values.items()
        if key not in TABLES_BY_NAME
    }
    top, faults = checks.structure(rest, TopLevel)
    problems += faults
    problems += _combination_faults(fields)
    if problems:
        return None, problems
    return Settings(seeds=top.seeds, **fields), []


def _combination_faults(fields):
    admin = fields["admin"]
    if admin is not None and not admin.token:
        if not admin.ip.startswith("127."):
            yield checks.Problem(
                ("admin", "token"),
                "nothing",
                "a token, because admin.ip %s is not a loopback address"
                % admin.ip,
            )
    node = fields["node"]
    if admin is not None and node is not None:
        if (admin.ip, admin.port) == (node.ip, node.port):
            yield checks.Problem(
                ("admin", "port"),
                "%d, the port of the node" % admin.port,
                "a port of its own",
            )
    if "config" in fields or "store" in fields:
        yield from _source_faults(fields.get("config"), fields.get("store"))


def _source_faults(config, store):
    if config and store and config.folder and store.endpoints:
        yield checks.Problem(
            ("config", "folder"),
            "a folder besides store.endpoints",
            "only one of them",
        )
