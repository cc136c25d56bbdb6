"""Registries: dictionaries whose entries are added by a decorator."""

from limpetlift import exceptions


def register(entries_by_name, name):
    """Return a decorator that stores its target under ``name``.

    :param entries_by_name: the registry.
    :param name: key of the entry.
    :raises StateError: from the decorator, when there is an entry under
        ``name`` already.
    """

    def decorate(target):
        if name in entries_by_name:
            raise exceptions.StateError("%s is already registered" % name)
        entries_by_name[name] = target
        return target

    return decorate


def lookup(entries_by_name, name, kind):
    """Return the entry for ``name``.

    :param entries_by_name: the registry.
    :param kind: what the entries are, for the error message.
    :raises StateError: when there is no such entry.
    """
    try:
        return entries_by_name[name]
    except KeyError:
        raise exceptions.StateError(
            "unknown %s %r, expected one of %s"
            % (kind, name, ", ".join(sorted(entries_by_name)))
        ) from None
