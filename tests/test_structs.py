"""Tests for the classes of attrs that are cheap to define."""

import attrs
import pytest

from limpetlift import structs


@attrs.frozen
class _Generated:
    number: int
    hidden: str = attrs.field(default="", repr=False)
    uncompared: int = attrs.field(default=0, eq=False)


@structs.frozen
class _Frozen:
    number: int
    hidden: str = attrs.field(default="", repr=False)
    uncompared: int = attrs.field(default=0, eq=False)


@structs.define
class _Defined:
    number: int


@structs.frozen
class _Other:
    number: int
    hidden: str = ""
    uncompared: int = 0


def test_fields_decide_equality_and_hash():
    """Messages are compared and used as keys like those of attrs."""
    assert _Frozen(1, "a", 1) == _Frozen(1, "a", 2)
    assert hash(_Frozen(1, "a", 1)) == hash(_Frozen(1, "a", 2))
    assert _Frozen(1, "a") != _Frozen(1, "b")
    assert _Frozen(1) != _Other(1)
    assert _Frozen(1) != 1
    assert _Defined(1) == _Defined(1)


def test_the_text_is_that_of_attrs():
    """Log lines and failed tests show the fields."""
    assert repr(_Frozen(1, "a", 2)) == repr(_Generated(1, "a", 2)).replace(
        "_Generated", "_Frozen"
    )


def test_mutable_objects_are_no_keys():
    """An object whose hash changes would be lost in a dictionary."""
    with pytest.raises(TypeError):
        hash(_Defined(1))


def test_frozen_objects_cannot_be_changed():
    """A message must be the same for all that it is sent to."""
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        _Frozen(1).number = 2
