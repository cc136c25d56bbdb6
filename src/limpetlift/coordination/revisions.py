"""Revisions of a store that may come back from an older copy.

Such a store loses its last writes and issues their revisions again. Each time
it starts a new era. Within one era a larger revision is later; between two
eras the numbers say nothing.
"""

import attrs

from limpetlift import exceptions


@attrs.frozen(eq=False, repr=False)
class Revision:
    """A revision of the store with its era.

    Comparing two of different eras raises
    :class:`~limpetlift.exceptions.EraMismatch`, for equality too. Objects are
    not hashable, since looking one up would compare it.

    :param era: number of the era, 0 for a store without eras.
    :param number: the store's revision; 0 is before any write.

    .. versionadded:: 0.2
    """

    era: int
    number: int

    def _number_of(self, other):
        if self.era != other.era:
            raise exceptions.EraMismatch(
                "revisions %r and %r are of different eras" % (self, other)
            )
        return other.number

    def __eq__(self, other):
        if not isinstance(other, Revision):
            return NotImplemented
        return self.number == self._number_of(other)

    def __lt__(self, other):
        if not isinstance(other, Revision):
            return NotImplemented
        return self.number < self._number_of(other)

    def __le__(self, other):
        if not isinstance(other, Revision):
            return NotImplemented
        return self.number <= self._number_of(other)

    def __gt__(self, other):
        if not isinstance(other, Revision):
            return NotImplemented
        return self.number > self._number_of(other)

    def __ge__(self, other):
        if not isinstance(other, Revision):
            return NotImplemented
        return self.number >= self._number_of(other)

    __hash__ = None

    def __bool__(self):
        """Whether it is that of a write."""
        return self.number > 0

    def __repr__(self):
        return "%d:%d" % (self.era, self.number)

    def __str__(self):
        return repr(self) if self.era else str(self.number)


def of(value):
    """Return a revision of a store as a :class:`Revision`.

    :param value: a :class:`Revision`, or a plain number of a store that has
        no eras.
    """
    return value if isinstance(value, Revision) else Revision(0, value)


def is_later_in_era(value, other):
    """Whether a revision is of the same era as another one, and later."""
    value, other = of(value), of(other)
    return value.era == other.era and value > other


def is_later_write(value, other):
    """Whether a write is the later one of two, in the same or a later era.

    It orders two writes that the store acknowledged. It does not tell whether
    what was known at one revision is still true at the other.
    """
    value, other = of(value), of(other)
    return value.era > other.era or is_later_in_era(value, other)
