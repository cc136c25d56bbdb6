"""Merging of the operators' TOML files, and changes between documents.

A document is a tree of tables. Its leaves are addressed by paths, which are
tuples of keys; an empty table and a list are leaves.
"""

import pathlib
import tomllib

import attrs

from limpetlift.state import checks

_ABSENT = object()


@attrs.define
class Document:
    """A merged tree and the file that each leaf came from.

    :param values: nested dicts.
    :param files_by_path: file name by path of a leaf.

    .. versionadded:: 0.1
    """

    values: dict = attrs.field(factory=dict)
    files_by_path: dict = attrs.field(factory=dict)

    def file_of(self, path):
        """Return the file of ``path``, of a leaf in it, or of its parent."""
        for length in range(len(path), 0, -1):
            prefix = path[:length]
            for leaf, file in sorted(self.files_by_path.items()):
                if leaf[:length] == prefix:
                    return file
        return "(merged)"


def leaves(values, path=()):
    """Return the leaves of a tree by path."""
    if not isinstance(values, dict) or (path and not values):
        return {path: values}
    found = {}
    for key, value in values.items():
        found.update(leaves(value, path + (key,)))
    return found


def tree(leaves_by_path):
    """Return the tree of ``leaves_by_path``; the inverse of `leaves`."""
    values = {}
    for path, value in sorted(leaves_by_path.items()):
        table = values
        for key in path[:-1]:
            table = table.setdefault(key, {})
        if value == {}:
            table.setdefault(path[-1], {})
        else:
            table[path[-1]] = value
    return values


def read_folder(folder):
    """Return ``(document, problems)`` of the TOML files in ``folder``.

    The files are merged in the order of their names; later files refine
    earlier ones key by key.

    :param folder: path of the folder.
    :returns: the problems as lines for a person.
    """
    folder = pathlib.Path(folder)
    if not folder.is_dir():
        return Document(), ["%s: found no folder, expected one" % folder]
    files = sorted(folder.glob("*.toml"), key=lambda path: path.name)
    if not files:
        return Document(), ["%s: found no *.toml file" % folder]
    document = Document()
    problems = []
    for path in files:
        values, faults = read_file(path)
        problems += faults
        _merge(document, values, path.name, problems)
    return document, problems


def read_file(path):
    """Return ``(values, problems)`` of one TOML file."""
    path = pathlib.Path(path)
    text = ""
    try:
        text = path.read_text(encoding="utf-8")
        return tomllib.loads(text), []
    except OSError as error:
        return {}, ["%s: cannot be read: %s" % (path.name, error.strerror)]
    except UnicodeDecodeError as error:
        line = error.object.count(b"\n", 0, error.start) + 1
        return {}, [
            "%s: found a byte that is not UTF-8 (at line %d), expected UTF-8"
            % (path.name, line)
        ]
    except tomllib.TOMLDecodeError as error:
        end = "at line %d, end of document" % (text.count("\n") + 1)
        message = str(error).replace("at end of document", end)
        return {}, ["%s: TOML syntax error: %s" % (path.name, message)]


def _merge(document, values, file, problems):
    for path, value in leaves(values).items():
        if not path:
            continue
        fault = _shape_fault(document, path, value)
        if fault:
            problems.append(checks.Problem(path, *fault).line(file))
            continue
        _store(document, path, value, file)


def _shape_fault(document, path, value):
    """A table may not replace a value, nor a value a table."""
    for length in range(1, len(path)):
        if path[:length] in document.files_by_path:
            earlier = _find(document.values, path[:length])
            if not isinstance(earlier, dict):
                name = document.files_by_path[path[:length]]
                return "a table", "a value as in " + name
    earlier = _find(document.values, path)
    if isinstance(earlier, dict) and not isinstance(value, dict):
        return "a value", "a table as in " + document.file_of(path)
    if isinstance(value, dict) and earlier is not _ABSENT:
        if not isinstance(earlier, dict):
            return "a table", "a value as in " + document.file_of(path)
    return None


def _find(values, path):
    for key in path:
        if not isinstance(values, dict) or key not in values:
            return _ABSENT
        values = values[key]
    return values


def _store(document, path, value, file):
    table = document.values
    for length, key in enumerate(path[:-1], 1):
        # A table that was empty in an earlier file is no leaf any more.
        document.files_by_path.pop(path[:length], None)
        table = table.setdefault(key, {})
    if value == {}:
        if table.setdefault(path[-1], {}):
            return
    else:
        table[path[-1]] = value
    document.files_by_path[path] = file


def changes(before, after):
    """Return the leaves that differ: path -> (old, new).

    ``None`` stands for an absent leaf, which TOML cannot express as a value.
    """
    old = leaves(before)
    new = leaves(after)
    # The top level itself is no leaf, even when it is empty.
    return {
        path: (old.get(path), new.get(path))
        for path in sorted(set(old) | set(new))
        if path and not _same(old.get(path), new.get(path))
    }


def _same(one, other):
    """Compare by type as well, because 1 == True and 1 == 1.0."""
    return type(one) is type(other) and one == other


@attrs.frozen
class Rebased:
    """The result of a three-way merge.

    :param document: ``theirs`` with the changes of ``mine`` applied.
    :param overlaps: path -> (their value, my value) of the leaves that both
        changed to different values; when there are any, the document is
        ``theirs`` unchanged.
    """

    document: Document
    overlaps: dict


def rebase(base, mine, theirs, overwrite=False):
    """Apply the changes from ``base`` to ``mine`` on top of ``theirs``.

    :param base: values that ``mine`` was made from.
    :param mine: a :class:`Document`.
    :param theirs: the :class:`Document` now in force.
    :param overwrite: whether the values of ``mine`` win where both changed.
    """
    my_changes = changes(base, mine.values)
    their_changes = changes(base, theirs.values)
    overlaps = {
        path: (their_new, new)
        for path, (_, new) in my_changes.items()
        for their_path, (_, their_new) in their_changes.items()
        if _overlap(path, new, their_path, their_new)
    }
    if overlaps and not overwrite:
        return Rebased(theirs, overlaps)
    merged = leaves(theirs.values)
    merged.pop((), None)
    files = dict(theirs.files_by_path)
    for path, (_, new) in my_changes.items():
        merged.pop(path, None)
        files.pop(path, None)
        if new is not None:
            merged[path] = new
            files[path] = mine.files_by_path.get(path, "(merged)")
    return Rebased(Document(_tree_without_clashes(merged), files), {})


def _overlap(path, new, their_path, their_new):
    if path == their_path:
        return not _same(new, their_new)
    # A value and a table at the same place exclude each other.
    if path == their_path[: len(path)]:
        return new not in (None, {}) and their_new is not None
    if their_path == path[: len(their_path)]:
        return their_new not in (None, {}) and new is not None
    return False


def _tree_without_clashes(leaves_by_path):
    """Build the tree; a leaf below another leaf replaces that one.

    An empty table that the other side has filled is such a leaf.
    """
    kept = dict(leaves_by_path)
    for path in leaves_by_path:
        for length in range(1, len(path)):
            kept.pop(path[:length], None)
    return tree(kept)
