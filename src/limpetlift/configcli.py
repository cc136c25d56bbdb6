"""The commands of ``limpetlift config``.

Each returns an exit code: 0 for success, 1 when the configuration is invalid,
2 when another operator changed the same settings, 3 when the store failed and
nothing was applied, 4 when it is unknown whether the change was applied.
"""

import asyncio
import getpass
import json
import pathlib
import socket
import sys
import time

from limpetlift.coordination import publication
from limpetlift.coordination import store as store_module
from limpetlift.coordination import storehttp
from limpetlift import exceptions
from limpetlift.state import config
from limpetlift.state import merge

OK = 0
INVALID = 1
OVERLAP = 2
NOT_APPLIED = 3
UNKNOWN = 4

# The settings of the folder at its last apply. The changes of an operator are
# those since then, so an apply keeps settings of other operators that are not
# in the folder.
BASE_FILE = ".applied.json"


def check(folder, out=sys.stdout):
    """Check a configuration folder and print all problems."""
    document, problems = config.load_document(folder)
    _print_lines(problems, out)
    if problems:
        return INVALID
    count = len(document.values.get("services", {}))
    _print_lines(["valid: %d services" % count], out)
    return OK


def show(folder, out=sys.stdout):
    """Print the merged settings of a folder and the file of each one."""
    document, problems = config.load_document(folder)
    _print_lines(_setting_lines(document), out)
    _print_lines(problems, out)
    return INVALID if problems else OK


def _setting_lines(document):
    for path, value in sorted(merge.leaves(document.values).items()):
        if path:
            file = document.files_by_path.get(path, "(merged)")
            yield "%s = %s  # %s" % (
                ".".join(path),
                _format_value(value),
                file,
            )


def _format_value(value):
    return "absent" if value is None else json.dumps(value, default=str)


def connect(endpoints, prefix):
    """Return ``(store, transport)``; the caller must close the transport."""
    transport = storehttp.HttpTransport(endpoints, "operator")
    return store_module.Store(transport, prefix), transport


async def show_current(store, out=sys.stdout):
    """Print the settings of the latest revision in the store."""
    try:
        head, document = await _read_current(store)
    except exceptions.CoordinationError as error:
        return _report_failure(error, out)
    _print_lines(
        ["# revision %d" % head.revision, *_setting_lines(document)], out
    )
    return OK


async def _read_current(store):
    head, data = await publication.read_current(store)
    return head, _decode(data)


def _decode(data):
    return config.decode_document(data) if data else merge.Document()


async def diff(folder, store, out=sys.stdout):
    """Print the changes that an apply of ``folder`` would make."""
    mine, problems = config.load_document(folder)
    _print_lines(problems, out)
    if problems:
        return INVALID
    try:
        head, theirs = await _read_current(store)
        merged = _merge(_read_base(folder), mine, theirs, False)
    except exceptions.ConfigOverlap as error:
        _print_lines(error.problems, out)
        return OVERLAP
    except exceptions.SettingsError as error:
        _print_lines(error.problems, out)
        return INVALID
    except exceptions.CoordinationError as error:
        return _report_failure(error, out)
    changes = merge.changes(theirs.values, merged.values)
    _print_lines(["# against revision %d" % head.revision], out)
    _print_lines(_change_lines(changes), out)
    return OK


def _change_lines(changes):
    for path, (old, new) in changes.items():
        yield "%s: %s -> %s" % (
            ".".join(path),
            _format_value(old),
            _format_value(new),
        )


async def history(store, out=sys.stdout):
    """Print the revisions in the store, the newest first."""
    try:
        entries = await publication.read_history(store)
    except exceptions.CoordinationError as error:
        return _report_failure(error, out)
    for entry in reversed(entries):
        record = json.loads(entry.value)
        applied_at = time.gmtime(record.get("time", 0))
        line = "%d  %s  %s  %s" % (
            record["revision"],
            time.strftime("%Y-%m-%dT%H:%M:%SZ", applied_at),
            record.get("author", ""),
            record["digest"][:16],
        )
        _print_lines([line], out)
    return OK


async def apply(
    folder,
    store,
    overwrite=False,
    author="",
    sleep=asyncio.sleep,
    clock=time.monotonic,
    out=sys.stdout,
):
    """Apply the changes of a folder and print whether they were accepted.

    :param overwrite: replace settings that another operator changed as well
        by those of the folder.
    :param author: recorded with the revision; by default, the user and the
        host.
    :param sleep: coroutine function that waits for some seconds.
    :param clock: function that returns the time in seconds.
    """
    mine, problems = config.load_document(folder)
    if problems:
        _print_lines(problems, out)
        _print_lines(["nothing was applied: the folder is invalid"], out)
        return INVALID
    base = _read_base(folder)
    applied = merge.Document()

    def prepare(data):
        nonlocal applied
        applied = _merge(base, mine, _decode(data), overwrite)
        return config.encode(applied)

    publisher = publication.Publisher(
        store, clock, sleep, author or _default_author(), time.time()
    )
    try:
        outcome = await publisher.publish(prepare)
    except exceptions.LimpetliftError as error:
        return _report_failure(error, out)
    _print_lines([_outcome_line(outcome)], out)
    _print_lines(_overridden_lines(mine.values, applied.values), out)
    return _write_base(folder, mine, out)


def _outcome_line(outcome):
    if not outcome.changed:
        return "unchanged: revision %d is accepted" % outcome.head.revision
    return (
        "accepted as revision %d; processes put it in force within 4 s"
        % outcome.head.revision
    )


def _overridden_lines(mine, applied):
    """Yield a line for each setting of the folder that was not applied.

    Another operator has changed these settings.
    """
    for path, (value, applied_value) in merge.changes(mine, applied).items():
        if value is not None:
            yield "not from this folder: %s = %s, set by another operator" % (
                ".".join(path),
                _format_value(applied_value),
            )


def _merge(base, mine, theirs, overwrite):
    """Return the document to apply.

    :param base: settings of the folder at its last apply.
    :param mine: the document of the folder.
    :param theirs: the document in the store.
    :param overwrite: whether ``mine`` replaces conflicting changes.
    :raises ConfigOverlap: when another operator changed the same settings.
    :raises SettingsError: when the merged settings are invalid.
    """
    result = merge.rebase(base, mine, theirs, overwrite)
    if result.overlaps:
        raise exceptions.ConfigOverlap(
            "%s: changed by another operator to %s (%s), here to %s"
            % (
                ".".join(path),
                _format_value(their_value),
                theirs.file_of(path),
                _format_value(my_value),
            )
            for path, (their_value, my_value) in result.overlaps.items()
        )
    problems = config.check(result.document)[1]
    if problems:
        raise exceptions.SettingsError(problems)
    return result.document


def _report_failure(error, out):
    """Print the effect of an error on the change; return the exit code."""
    if isinstance(error, exceptions.ConfigOverlap):
        _print_lines(error.problems, out)
        _print_lines(
            ["nothing was applied: others changed the same settings"],
            out,
        )
        return OVERLAP
    if isinstance(error, exceptions.SettingsError):
        _print_lines(error.problems, out)
        _print_lines(
            ["nothing was applied: the merged settings are invalid"], out
        )
        return INVALID
    if isinstance(error, exceptions.StoreOutcomeUnknown):
        text = "unknown whether applied: %s; see limpetlift config history"
        _print_lines([text % error], out)
        return UNKNOWN
    _print_lines(["nothing was applied: %s: %s" % (error.code, error)], out)
    return NOT_APPLIED


def _read_base(folder):
    path = pathlib.Path(folder) / BASE_FILE
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            [
                "%s: cannot be read, expected settings as JSON: %s"
                % (path, error)
            ]
        ) from error


def _write_base(folder, mine, out):
    path = pathlib.Path(folder) / BASE_FILE
    try:
        path.write_text(json.dumps(mine.values), encoding="utf-8")
    except OSError as error:
        # Without the record, the next apply may report the settings that
        # differ as changed by another operator.
        _print_lines(["%s: cannot be written: %s" % (path, error)], out)
    return OK


def _default_author():
    try:
        return "%s@%s" % (getpass.getuser(), socket.gethostname())
    except (KeyError, OSError):
        return socket.gethostname()


def _print_lines(lines, out):
    for line in lines:
        print(line, file=out)
