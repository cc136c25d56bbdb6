"""The functions behind ``limpetlift config``.

Each returns an exit code: 0 done or in force, 1 the configuration is invalid,
2 another operator changed the same settings, 3 the store was not reached and
nothing was applied, 4 it is unknown whether the change was applied.
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

# What the folder held at its last apply. Changes of an operator are counted
# from there, so settings of others are kept although they are not in it.
BASE_FILE = ".applied.json"


def check(folder, out=sys.stdout):
    """Check a folder and print all problems."""
    document, problems = config.load_document(folder)
    _print(problems, out)
    if problems:
        return INVALID
    count = len(document.values.get("services", {}))
    _print(["valid: %d services" % count], out)
    return OK


def show(folder, out=sys.stdout):
    """Print the merged settings of a folder and the file of each."""
    document, problems = config.load_document(folder)
    _print(_shown(document), out)
    _print(problems, out)
    return INVALID if problems else OK


def _shown(document):
    for path, value in sorted(merge.leaves(document.values).items()):
        if path:
            file = document.files_by_path.get(path, "(merged)")
            yield "%s = %s  # %s" % (".".join(path), _text(value), file)


def _text(value):
    return "absent" if value is None else json.dumps(value, default=str)


def connect(endpoints, prefix):
    """Return ``(store, transport)``; the caller closes the transport."""
    transport = storehttp.HttpTransport(endpoints, "operator")
    return store_module.Store(transport, prefix), transport


async def show_current(store, out=sys.stdout):
    """Print the settings in force according to the store."""
    try:
        head, document = await _current(store)
    except exceptions.CoordinationError as error:
        return _failed(error, out)
    _print(["# revision %d" % head.revision, *_shown(document)], out)
    return OK


async def _current(store):
    head, data = await publication.read_current(store)
    return head, _document(data)


def _document(data):
    return config.decode_document(data) if data else merge.Document()


async def diff(folder, store, out=sys.stdout):
    """Print what an apply of ``folder`` would change."""
    mine, problems = config.load_document(folder)
    _print(problems, out)
    if problems:
        return INVALID
    try:
        head, theirs = await _current(store)
        merged = _merge(_read_base(folder), mine, theirs, False)
    except exceptions.ConfigOverlap as error:
        _print(error.problems, out)
        return OVERLAP
    except exceptions.SettingsError as error:
        _print(error.problems, out)
        return INVALID
    except exceptions.CoordinationError as error:
        return _failed(error, out)
    changes = merge.changes(theirs.values, merged.values)
    _print(["# against revision %d" % head.revision], out)
    _print(_change_lines(changes), out)
    return OK


def _change_lines(changes):
    for path, (old, new) in changes.items():
        yield "%s: %s -> %s" % (".".join(path), _text(old), _text(new))


async def history(store, out=sys.stdout):
    """Print the kept revisions, the newest first."""
    try:
        entries = await publication.read_history(store)
    except exceptions.CoordinationError as error:
        return _failed(error, out)
    for entry in reversed(entries):
        record = json.loads(entry.value)
        moment = time.gmtime(record.get("time", 0))
        line = "%d  %s  %s  %s" % (
            record["revision"],
            time.strftime("%Y-%m-%dT%H:%M:%SZ", moment),
            record.get("author", ""),
            record["digest"][:16],
        )
        _print([line], out)
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
    """Apply the changes of a folder and print whether they are in force.

    :param overwrite: let the folder win where another operator changed the
        same settings.
    """
    mine, problems = config.load_document(folder)
    if problems:
        _print(problems, out)
        _print(["nothing was applied: the folder is invalid"], out)
        return INVALID
    base = _read_base(folder)
    applied = merge.Document()

    def prepare(data):
        nonlocal applied
        applied = _merge(base, mine, _document(data), overwrite)
        return config.encode(applied)

    publisher = publication.Publisher(
        store, clock, sleep, author or _author(), time.time()
    )
    try:
        verdict = await publisher.publish(prepare)
    except exceptions.LimpetliftError as error:
        return _failed(error, out)
    _print([_verdict_line(verdict)], out)
    _print(_foreign_lines(mine.values, applied.values), out)
    return _write_base(folder, mine, out)


def _verdict_line(verdict):
    if not verdict.changed:
        return "unchanged: revision %d is accepted" % verdict.head.revision
    return (
        "accepted as revision %d; processes put it in force within 4 s"
        % verdict.head.revision
    )


def _foreign_lines(mine, applied):
    """Name the settings of the folder that another operator has changed."""
    for path, (own, other) in merge.changes(mine, applied).items():
        if own is not None:
            yield "not from this folder: %s = %s, set by another operator" % (
                ".".join(path),
                _text(other),
            )


def _merge(base, mine, theirs, overwrite):
    """Return the document to apply.

    :raises ConfigOverlap: naming what another operator changed as well.
    :raises SettingsError: when the changes do not fit together.
    """
    result = merge.rebase(base, mine, theirs, overwrite)
    if result.overlaps:
        raise exceptions.ConfigOverlap(
            "%s: changed by another operator to %s (%s), here to %s"
            % (
                ".".join(path),
                _text(their_value),
                theirs.file_of(path),
                _text(my_value),
            )
            for path, (their_value, my_value) in result.overlaps.items()
        )
    problems = config.check(result.document)[1]
    if problems:
        raise exceptions.SettingsError(problems)
    return result.document


def _failed(error, out):
    """Print what the error means for the change; return the exit code."""
    if isinstance(error, exceptions.ConfigOverlap):
        _print(error.problems, out)
        _print(["nothing was applied: others changed the same settings"], out)
        return OVERLAP
    if isinstance(error, exceptions.SettingsError):
        _print(error.problems, out)
        _print(["nothing was applied: the merged settings are invalid"], out)
        return INVALID
    if isinstance(error, exceptions.StoreOutcomeUnknown):
        text = "unknown whether applied: %s; see limpetlift config history"
        _print([text % error], out)
        return UNKNOWN
    _print(["nothing was applied: %s: %s" % (error.code, error)], out)
    return NOT_APPLIED


def _read_base(folder):
    path = pathlib.Path(folder) / BASE_FILE
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            ["%s: found no readable record, expected JSON: %s" % (path, error)]
        ) from error


def _write_base(folder, mine, out):
    path = pathlib.Path(folder) / BASE_FILE
    try:
        path.write_text(json.dumps(mine.values), encoding="utf-8")
    except OSError as error:
        # The next apply then names the settings that differ as overlaps.
        _print(["%s: cannot be written: %s" % (path, error)], out)
    return OK


def _author():
    try:
        return "%s@%s" % (getpass.getuser(), socket.gethostname())
    except (KeyError, OSError):
        return socket.gethostname()


def _print(lines, out):
    for line in lines:
        print(line, file=out)
