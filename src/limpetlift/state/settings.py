"""The settings of one process, which are read from one TOML file."""

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
    """Identity and location of the process.

    :param id: name that is unique among all processes.
    :param ip: address of the node socket (UDP) and the request server (TCP).
    :param port: port of both.
    :param data_centre: name of the data centre.
    :param region: name of the region of the data centre.
    """

    id: str = checks.setting(_ID)
    ip: str = checks.setting(checks.Ip())
    port: int = checks.setting(_PORT)
    data_centre: str = checks.setting(_ID)
    region: str = checks.setting(_ID, default="default")


@attrs.frozen
class Balancer:
    """Settings of a balancer.

    :param bind_ip: address on which the services' ports are bound, for
        fabrics that translate addresses; empty for the addresses of the
        services.
    :param record: file that a trace of the traffic is written to; empty for
        none.
    """

    bind_ip: str = checks.setting(checks.Ip(optional=True), default="")
    record: str = checks.setting(
        checks.Text("[^\x00]{0,4096}", "a file path"), default=""
    )


@attrs.frozen
class Agent:
    """Settings of an agent.

    :param service: name of the service that its backend server belongs to.
    :param backend: ``ip:port`` of the backend server.
    :param weight: share of new work, relative to other agents of the service.
    """

    service: str = checks.setting(checks.SERVICE_NAME)
    backend: str = checks.setting(checks.Endpoint(), unit="ip:port")
    weight: float = checks.setting(checks.Number(0.001, 1000), default=1.0)


@attrs.frozen
class Admin:
    """Settings of the administration API.

    :param port: port that it listens on.
    :param ip: address that it listens on.
    :param token: bearer token; required unless ``ip`` is a loopback address.
    """

    port: int = checks.setting(_PORT)
    ip: str = checks.setting(checks.Ip(), default=defaults.ADMIN_IP)
    token: str = checks.setting(
        checks.Text("[!-~]{0,256}", "up to 256 visible ASCII characters"),
        default="",
    )


@attrs.frozen
class Log:
    """Settings of the log.

    :param level: lowest level that is written.
    :param target: "stderr", "stdout" or the path of a file.
    """

    level: str = checks.setting(checks.Choice(LOG_LEVELS), default="info")
    target: str = checks.setting(
        checks.Text(".+", '"stderr", "stdout" or the path of a file'),
        default="stderr",
    )


@attrs.frozen
class Security:
    """The keys that all processes share.

    :param keys: keys as hexadecimal strings; the first one signs, and all of
        them verify.
    """

    keys: list = checks.setting(
        checks.ListOf(
            checks.HexText(defaults.MIN_SECRET_KEY_BYTES, 64), min_items=1
        ),
        unit="bytes, in hexadecimal digits",
    )

    @property
    def secrets(self):
        """The keys as bytes."""
        return [bytes.fromhex(key) for key in self.keys]


@attrs.frozen
class Config:
    """Source of the operators' configuration when no store is used.

    :param folder: folder of TOML files; empty for none.
    """

    folder: str = checks.setting(checks.Text(".*", "a path"), default="")


@attrs.frozen
class Store:
    """The platform's key-value store.

    :param endpoints: ``ip:port`` of its gateways; empty when no store is
        used.
    :param prefix: prefix of every key in the store.
    """

    endpoints: list = checks.setting(
        checks.ListOf(checks.Endpoint()), default=[], unit="ip:port"
    )
    prefix: str = checks.setting(
        checks.Text("[!-~]{1,128}", "1 to 128 visible ASCII characters"),
        default="limpetlift/",
    )


@attrs.frozen
class Settings:
    """All settings of a process.

    :param agent: None when the file has no table `agent`.
    :param seeds: ``ip:port`` of the balancers that the process contacts to
        join the others.
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
    """The settings outside of tables; see :class:`Settings`."""

    seeds: list = checks.setting(
        checks.ListOf(checks.Endpoint()), default=[], unit="ip:port"
    )


CLASSES_BY_TABLE = {
    "node": Node,
    "admin": Admin,
    "security": Security,
    "balancer": Balancer,
    "agent": Agent,
    "log": Log,
    "config": Config,
    "store": Store,
}
_REQUIRED_TABLES = ("node", "admin", "security")


def load(path):
    """Return the :class:`Settings` in the TOML file at ``path``.

    :raises SettingsError: when there are problems. It holds one line for each
        of them: file, key path, what was found and what was expected.
    """
    values, lines = merge.read_file(path)
    if not lines:
        settings, problems = check(values)
        lines = [problem.format_line(path) for problem in problems]
    if lines:
        raise exceptions.SettingsError(lines)
    return settings


def check(values):
    """Return ``(settings or None, problems)``.

    :param values: content of a TOML file as nested dicts.
    """
    problems = []
    tables_by_name = {}
    for name, cls in CLASSES_BY_TABLE.items():
        if name in values or name in _REQUIRED_TABLES:
            tables_by_name[name], table_problems = checks.structure(
                values.get(name, {}), cls, (name,)
            )
            problems += table_problems
    top_level_values = {
        key: value
        for key, value in values.items()
        if key not in CLASSES_BY_TABLE
    }
    top_level, top_level_problems = checks.structure(
        top_level_values, TopLevel
    )
    problems += top_level_problems
    problems += _combination_problems(tables_by_name)
    if problems:
        return None, problems
    return Settings(seeds=top_level.seeds, **tables_by_name), []


def _combination_problems(tables_by_name):
    admin = tables_by_name["admin"]
    if admin is not None and not admin.token:
        if not admin.ip.startswith("127."):
            yield checks.Problem(
                ("admin", "token"),
                "nothing",
                "a token, because admin.ip %s is not a loopback address"
                % admin.ip,
            )
    node = tables_by_name["node"]
    if admin is not None and node is not None:
        if (admin.ip, admin.port) == (node.ip, node.port):
            yield checks.Problem(
                ("admin", "port"),
                "%d, the same as node.port" % admin.port,
                "a port other than node.port, because admin.ip equals node.ip",
            )
    if "config" in tables_by_name or "store" in tables_by_name:
        yield from _source_problems(
            tables_by_name.get("config"), tables_by_name.get("store")
        )


def _source_problems(config, store):
    if config and store and config.folder and store.endpoints:
        yield checks.Problem(
            ("config", "folder"),
            "a folder although store.endpoints is set",
            "only one of config.folder and store.endpoints",
        )
