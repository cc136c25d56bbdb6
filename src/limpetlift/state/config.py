"""The operators' configuration: its classes, checks and encoding.

A configuration consists of two tables, `services` and `rollouts`, which hold a
table of settings for each name. Backend servers are not listed; each agent
announces the name of the service that its backend server belongs to.
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
    """The settings of one service; see `docs/configuration.md`."""

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
    """How changes to the services that refer to it by name are rolled out."""

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

    :param revision: number of the revision; 0 before the first one is
        accepted.
    :param digest: digest of the encoded configuration in hexadecimal digits,
        or "folder" for one that was read from a folder.
    :param services_by_name: the :class:`Service` objects.
    :param rollouts_by_name: the :class:`Rollout` objects.

    .. versionadded:: 0.1
    """

    revision: int = 0
    digest: str = ""
    services_by_name: dict = attrs.field(factory=dict)
    rollouts_by_name: dict = attrs.field(factory=dict)

    @property
    def services(self):
        """The services, sorted by name."""
        return [
            service for _, service in sorted(self.services_by_name.items())
        ]

    def rollout_of(self, service):
        """Return the :class:`Rollout` of ``service``, a :class:`Service`."""
        return self.rollouts_by_name.get(service.rollout, Rollout())


def check(document, revision=0, digest=""):
    """Check a document as a whole.

    :param document: a :class:`limpetlift.state.merge.Document`.
    :param revision: revision of the configuration.
    :param digest: digest of the configuration.
    :returns: ``(configuration or None, problems)``. Each problem is a line
        that holds file, key path, what was found and what was expected.
    """
    problems = []
    for key in sorted(set(document.values) - {"services", "rollouts"}):
        problems.append(
            checks.Problem(
                (key,), "an unknown key", "one of rollouts, services"
            )
        )
    services_by_name = _build_entries(
        document.values, "services", Service, problems
    )
    rollouts_by_name = _build_entries(
        document.values, "rollouts", Rollout, problems
    )
    _check_addresses(document.values, problems)
    _check_references(document.values, problems)
    if problems:
        return None, [
            problem.format_line(document.file_of(problem.path))
            for problem in sorted(problems, key=lambda problem: problem.path)
        ]
    return (
        Configuration(revision, digest, services_by_name, rollouts_by_name),
        [],
    )


def _build_entries(values, section, cls, problems):
    """Return instances of ``cls`` by name and extend ``problems``."""
    tables = values.get(section, {})
    if not isinstance(tables, dict):
        problems.append(checks.Problem((section,), repr(tables), "a table"))
        return {}
    entries_by_name = {}
    for name, table in tables.items():
        path = (section, name)
        try:
            checks.SERVICE_NAME(name)
        except checks.InvalidValue as error:
            problems.append(
                checks.Problem(path, "the name %r" % name, error.expected)
            )
        entry, table_problems = checks.structure(table, cls, path)
        problems += table_problems
        if entry is not None:
            entries_by_name[name] = attrs.evolve(entry, name=name)
    return entries_by_name


def _named_tables(values, section):
    """Return ``(name, table)`` pairs, without entries that are no tables."""
    tables = values.get(section, {})
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
                    "an address that no other service has",
                )
            )
        else:
            names_by_address[address] = name


def _check_references(values, problems):
    rollout_names = {name for name, _ in _named_tables(values, "rollouts")}
    for name, table in _named_tables(values, "services"):
        rollout = table.get("rollout", "")
        if (
            isinstance(rollout, str)
            and rollout
            and rollout not in rollout_names
        ):
            problems.append(
                checks.Problem(
                    ("services", name, "rollout"),
                    repr(rollout),
                    "one of the rollouts: " + ", ".join(sorted(rollout_names)),
                )
            )


def load_folder(folder, revision=0):
    """Return the :class:`Configuration` in a folder.

    :param folder: path of the folder.
    :param revision: revision of the configuration.
    :raises SettingsError: when there are problems; it holds all of them.
    """
    document, problems = load_document(folder)
    if problems:
        raise exceptions.SettingsError(problems)
    data = encode(document)
    return decode(data, revision, digest="folder")


def load_document(folder):
    """Read a folder, merge its files and check the result.

    :param folder: path of the folder.
    :returns: ``(document, problems)``, the problems as lines of text.
    """
    document, problems = merge.read_folder(folder)
    if not problems or document.values:
        problems = problems + check(document)[1]
    return document, problems


def encode(document):
    """Return the bytes of a document; equal documents give equal bytes."""
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

    :raises SettingsError: when the bytes are not an encoded document.
    """
    try:
        content = json.loads(data)
        return merge.Document(
            content["values"],
            {tuple(path): file for path, file in content["files"]},
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.SettingsError(
            ["configuration: cannot be decoded: %s" % error]
        ) from error


def decode(data, revision, digest):
    """Return the :class:`Configuration` in ``data``.

    :param data: bytes made by :func:`encode`.
    :param revision: revision of the configuration.
    :param digest: digest of the configuration.
    :raises SettingsError: when the bytes are not an encoded document, or the
        document does not pass the checks of this version of the program.
    """
    configuration, problems = check(decode_document(data), revision, digest)
    if problems:
        raise exceptions.SettingsError(problems)
    return configuration
