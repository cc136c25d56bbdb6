"""The operators' configuration: its model, and its checks as a whole.

A configuration is made of `services` and `rollouts`, tables of tables by
name. Backend servers are not listed: agents announce the service by name.
"""

import json

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.state import checks
from limpetlift.state import merge

SHARING_POLICIES = ("bounded", "natural", "two")
ADMISSION_POLICIES = ("deadline", "fifo")


@attrs.frozen
class Service:
    """The settings of one service, as `docs/configuration.md` lists them."""

    name: str = ""
    address: str = checks.setting(
        checks.Endpoint(), default="", unit="ip:port", required=True
    )
    sharing: str = checks.setting(
        checks.Choice(SHARING_POLICIES), default="bounded"
    )
    max_flows: int = checks.setting(
        checks.Integer(1, 1_000_000),
        default=defaults.MAX_FLOWS_PER_SERVER,
        unit="flows per backend server",
    )
    flow_idle_s: float = checks.setting(
        checks.Number(1, 7 * 86400), default=defaults.FLOW_IDLE_S, unit="s"
    )
    reset_payload: bytes = checks.setting(
        checks.Hex(0, 1200), default=b"", unit="bytes, in hexadecimal digits"
    )
    slow_start_s: float = checks.setting(
        checks.Number(0, 3600), default=defaults.SLOW_START_S, unit="s"
    )
    slots: int = checks.setting(
        checks.Integer(1, 1024),
        default=defaults.SLOTS_PER_SERVER,
        unit="requests per backend server",
    )
    admission: str = checks.setting(
        checks.Choice(ADMISSION_POLICIES), default="deadline"
    )
    queue_limit: int = checks.setting(
        checks.Integer(0, 100_000),
        default=defaults.QUEUE_LIMIT,
        unit="requests per agent",
    )
    request_timeout_s: float = checks.setting(
        checks.Number(0.01, 86400),
        default=defaults.REQUEST_TIMEOUT_S,
        unit="s",
    )
    retry_window_s: float = checks.setting(
        checks.Number(1, 86400), default=defaults.RETRY_WINDOW_S, unit="s"
    )
    retry_tokens_per_request: float = checks.setting(
        checks.Number(0, 1),
        default=defaults.RETRY_TOKENS_PER_REQUEST,
        unit="tokens",
    )
    retry_tokens_max: float = checks.setting(
        checks.Number(0, 10_000),
        default=defaults.RETRY_TOKENS_MAX,
        unit="tokens",
    )
    max_request_bytes: int = checks.setting(
        checks.Integer(0, 2**40),
        default=defaults.MAX_REQUEST_BYTES,
        unit="bytes",
    )
    long_factor: float = checks.setting(
        checks.Number(1, 1000),
        default=defaults.LONG_FACTOR,
        unit="times the median run time",
    )
    long_content_bytes: int = checks.setting(
        checks.Integer(1, 2**40),
        default=defaults.LONG_CONTENT_BYTES,
        unit="bytes",
    )
    rollout: str = checks.setting(
        checks.Text(
            "|" + checks.SERVICE_NAME.pattern, 'the name of a rollout, or ""'
        ),
        default="",
    )

    @property
    def endpoint(self):
        """The address as ``(ip, port)``."""
        ip, _, port = self.address.rpartition(":")
        return ip, int(port)


@attrs.frozen
class Rollout:
    """How changes of the services that refer to it are rolled out."""

    name: str = ""
    max_draining: int = checks.setting(
        checks.Integer(1, 255),
        default=defaults.MAX_DRAINING,
        unit="backend servers per service",
    )
    pause_s: float = checks.setting(
        checks.Number(0, 86400), default=defaults.ROLLOUT_PAUSE_S, unit="s"
    )


@attrs.frozen
class Configuration:
    """A checked configuration.

    :param revision: 0 when nothing was accepted yet.
    :param digest: of the bytes it was read from, in hexadecimal digits.

    .. versionadded:: 0.1
    """

    revision: int = 0
    digest: str = ""
    services_by_name: dict = attrs.field(factory=dict)
    rollouts_by_name: dict = attrs.field(factory=dict)

    @property
    def services(self):
        """The services in the order of their names."""
        return [entry for _, entry in sorted(self.services_by_name.items())]

    def rollout_of(self, service):
        """Return the :class:`Rollout` of a :class:`Service`."""
        return self.rollouts_by_name.get(service.rollout, Rollout())


def check(document, revision=0, digest=""):
    """Return ``(configuration or None, problems)`` of a document.

    :param document: a :class:`limpetlift.state.merge.Document`.
    :returns: the problems as lines: file, key path, found, expected.
    """
    problems = []
    for key in sorted(set(document.values) - {"services", "rollouts"}):
        problems.append(
            checks.Problem(
                (key,), "an unknown key", "one of rollouts, services"
            )
        )
    services = _tables(document.values, "services", Service, problems)
    rollouts = _tables(document.values, "rollouts", Rollout, problems)
    _check_addresses(document.values, problems)
    _check_references(document.values, problems)
    if problems:
        return None, [
            problem.line(document.file_of(problem.path))
            for problem in sorted(problems, key=lambda entry: entry.path)
        ]
    return Configuration(revision, digest, services, rollouts), []


def _tables(values, kind, cls, problems):
    tables = values.get(kind, {})
    if not isinstance(tables, dict):
        problems.append(checks.Problem((kind,), repr(tables), "a table"))
        return {}
    found = {}
    for name, table in tables.items():
        path = (kind, name)
        try:
            checks.SERVICE_NAME(name)
        except checks.Invalid as error:
            problems.append(
                checks.Problem(path, "the name %r" % name, error.expected)
            )
        entry, faults = checks.structure(table, cls, path)
        problems += faults
        if entry is not None:
            found[name] = attrs.evolve(entry, name=name)
    return found


def _named_tables(values, kind):
    tables = values.get(kind, {})
    if not isinstance(tables, dict):
        return []
    return [
        (name, table)
        for name, table in tables.items()
        if isinstance(table, dict)
    ]


def _check_addresses(values, problems):
    names_by_address = {}
    for name, table in _named_tables(values, "services"):
        path = ("services", name, "address")
        address = table.get("address")
        if not isinstance(address, str):
            continue
        if address in names_by_address:
            problems.append(
                checks.Problem(
                    path,
                    "%s, the address of service %s"
                    % (address, names_by_address[address]),
                    "an address of its own",
                )
            )
        else:
            names_by_address[address] = name


def _check_references(values, problems):
    known = {name for name, _ in _named_tables(values, "rollouts")}
    for name, table in _named_tables(values, "services"):
        rollout = table.get("rollout", "")
        if isinstance(rollout, str) and rollout and rollout not in known:
            problems.append(
                checks.Problem(
                    ("services", name, "rollout"),
                    repr(rollout),
                    "one of the rollouts: " + ", ".join(sorted(known)),
                )
            )


def load_folder(folder, revision=0):
    """Return the :class:`Configuration` of a folder.

    :raises SettingsError: with all problems, when there are any.
    """
    document, problems = load_document(folder)
    if problems:
        raise exceptions.SettingsError(problems)
    data = encode(document)
    return decode(data, revision, digest="folder")


def load_document(folder):
    """Return ``(document, problems)`` of a folder, checked as a whole."""
    document, problems = merge.read_folder(folder)
    if not problems or document.values:
        problems = problems + check(document)[1]
    return document, problems


def encode(document):
    """Return a document as bytes; equal documents give equal bytes."""
    return json.dumps(
        {
            "values": document.values,
            "files": sorted(
                [list(path), file]
                for path, file in document.files_by_path.items()
            ),
        },
        sort_keys=True,
        separators=(",", ":"),
    ).encode("utf-8")


def decode_document(data):
    """Return the document in ``data``.

    :raises SettingsError: when the bytes are not a document.
    """
    try:
        content = json.loads(data)
        return merge.Document(
            content["values"],
            {tuple(path): file for path, file in content["files"]},
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.SettingsError(
            ["configuration: not a document: %s" % error]
        ) from error


def decode(data, revision, digest):
    """Return the :class:`Configuration` in ``data``.

    :raises SettingsError: when it does not pass the checks of this version.
    """
    configuration, problems = check(decode_document(data), revision, digest)
    if problems:
        raise exceptions.SettingsError(problems)
    return configuration
