"""Merging of the operators' TOML files, and three-way merges of documents.

A document is a tree of tables. A leaf is a value that is not a table, which
includes lists, or an empty table. Its path is a tuple of keys.
"""

import pathlib
import tomllib

import attrs

from limpetlift.state import checks

# Returned for a path that does not exist in a tree.
_ABSENT = object()


@attrs.define
class Document:
    """The merged values of several files.

    :param values: the values as nested dicts.
    :param files_by_path: for the path of each leaf, the name of the file that
        it comes from.

    .. versionadded:: 0.1
    """

    values: dict = attrs.field(factory=dict)
    files_by_path: dict = attrs.field(factory=dict)

    def file_of(self, path):
        """Return the name of the file that ``path`` comes from.

        For the path of a table it is the file of a leaf below that table. For
        a path that does not exist, it is the file of a leaf in the innermost
        table around it that exists.
        """
        for length in range(len(path), 0, -1):
            prefix = path[:length]
            for leaf, file in sorted(self.files_by_path.items()):
                if leaf[:length] == prefix:
                    return file
        return "(merged)"


def leaves(values, path=()):
    """Return the leaves of a tree by path.

    :param values: the tree as nested dicts.
    :param path: path of ``values`` in a larger tree.
    """
    if not isinstance(values, dict) or (path and not values):
        return {path: values}
    leaves_by_path = {}
    for key, value in values.items():
        leaves_by_path.update(leaves(value, path + (key,)))
    return leaves_by_path


def tree(leaves_by_path):
    """Return the tree with these leaves; the inverse of :func:`leaves`."""
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
    """Read and merge the TOML files in a folder.

    The files are merged in the order of their names. A value in a later file
    replaces the value of the same key in earlier ones.

    :param folder: path of the folder.
    :returns: ``(document, problems)``, the problems as lines of text.
    """
    folder = pathlib.Path(folder)
    if not folder.is_dir():
        return Document(), [
            "%s: found no folder, expected one with *.toml files" % folder
        ]
    files = sorted(folder.glob("*.toml"), key=lambda path: path.name)
    if not files:
        return Document(), [
            "%s: found no *.toml file, expected at least one" % folder
        ]
    document = Document()
    problems = []
    for path in files:
        values, file_problems = read_file(path)
        problems += file_problems
        _merge(document, values, path.name, problems)
    return document, problems


def read_file(path):
    """Read one TOML file.

    :param path: path of the file.
    :returns: ``(values, problems)``: nested dicts, and lines of text.
    """
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
        document_end = "at line %d, end of document" % (text.count("\n") + 1)
        message = str(error).replace("at end of document", document_end)
        return {}, ["%s: TOML syntax error: %s" % (path.name, message)]


def _merge(document, values, file, problems):
    """Add the values of a file to ``document`` and extend ``problems``."""
    for path, value in leaves(values).items():
        if not path:
            continue
        mismatch = _type_mismatch(document, path, value)
        if mismatch:
            problems.append(checks.Problem(path, *mismatch).format_line(file))
            continue
        _set_leaf(document, path, value, file)


def _type_mismatch(document, path, value):
    """Return ``(found, expected)`` if a leaf must not be set, else None.

    A table must not replace a value of an earlier file, nor a value a table.
    """
    for length in range(1, len(path)):
        if path[:length] in document.files_by_path:
            earlier = _value_at(document.values, path[:length])
            if not isinstance(earlier, dict):
                file = document.files_by_path[path[:length]]
                return "a table", "a value as in " + file
    earlier = _value_at(document.values, path)
    if isinstance(earlier, dict) and not isinstance(value, dict):
        return "a value", "a table as in " + document.file_of(path)
    if isinstance(value, dict) and earlier is not _ABSENT:
        if not isinstance(earlier, dict):
            return "a table", "a value as in " + document.file_of(path)
    return None


def _value_at(values, path):
    for key in path:
        if not isinstance(values, dict) or key not in values:
            return _ABSENT
        values = values[key]
    return values


def _set_leaf(document, path, value, file):
    table = document.values
    for length, key in enumerate(path[:-1], 1):
        # A table that is empty in an earlier file is not a leaf any longer.
        document.files_by_path.pop(path[:length], None)
        table = table.setdefault(key, {})
    if value == {}:
        if table.setdefault(path[-1], {}):
            return
    else:
        table[path[-1]] = value
    document.files_by_path[path] = file


def changes(before, after):
    """Return ``(old value, new value)`` by path of each leaf that differs.

    ``None`` stands for a leaf that does not exist; TOML has no such value.

    :param before: the old tree as nested dicts.
    :param after: the new tree as nested dicts.
    """
    old = leaves(before)
    new = leaves(after)
    # The top level, whose path is empty, is not a leaf.
    return {
        path: (old.get(path), new.get(path))
        for path in sorted(set(old) | set(new))
        if path and not _is_same(old.get(path), new.get(path))
    }


def _is_same(one, other):
    """Compare type and value, because 1 == True and 1 == 1.0 in Python."""
    return type(one) is type(other) and one == other


@attrs.frozen
class RebaseResult:
    """The result of a three-way merge; see :func:`rebase`.

    :param document: ``theirs`` with the changes of ``mine`` applied. If there
        are overlaps, it is ``theirs`` unchanged.
    :param overlaps: ``(their value, my value)`` by path of each leaf that both
        sides changed in ways that exclude each other.
    """

    document: Document
    overlaps: dict


def rebase(base, mine, theirs, overwrite=False):
    """Apply the changes from ``base`` to ``mine`` on top of ``theirs``.

    :param base: the values that both documents are derived from, as nested
        dicts.
    :param mine: the changed :class:`Document`.
    :param theirs: the :class:`Document` that is in force.
    :param overwrite: whether the changes of ``mine`` win where both sides
        changed the same settings.
    :returns: a :class:`RebaseResult`.
    """
    my_changes = changes(base, mine.values)
    their_changes = changes(base, theirs.values)
    overlaps = {
        path: (their_new, new)
        for path, (_, new) in my_changes.items()
        for their_path, (_, their_new) in their_changes.items()
        if _is_overlap(path, new, their_path, their_new)
    }
    if overlaps and not overwrite:
        return RebaseResult(theirs, overlaps)
    merged = leaves(theirs.values)
    merged.pop((), None)
    files = dict(theirs.files_by_path)
    for path, (_, new) in my_changes.items():
        merged.pop(path, None)
        files.pop(path, None)
        if new is not None:
            merged[path] = new
            files[path] = mine.files_by_path.get(path, "(merged)")
    return RebaseResult(Document(_tree_of_deepest_leaves(merged), files), {})


def _is_overlap(path, new, their_path, their_new):
    if path == their_path:
        return not _is_same(new, their_new)
    # A key cannot hold both a value and a table.
    if path == their_path[: len(path)]:
        return new not in (None, {}) and their_new is not None
    if their_path == path[: len(their_path)]:
        return their_new not in (None, {}) and new is not None
    return False


def _tree_of_deepest_leaves(leaves_by_path):
    """Return the tree without the leaves that have another leaf below them.

    An empty table to which the other side has added settings is such a leaf.
    """
    kept = dict(leaves_by_path)
    for path in leaves_by_path:
        for length in range(1, len(path)):
            kept.pop(path[:length], None)
    return tree(kept)
