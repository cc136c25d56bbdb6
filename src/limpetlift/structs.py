"""Classes of attrs that are cheap to define.

Attrs generates and compiles the comparison, the hash and the text of each
class, which takes a fifth of the time until the modules of a balancer are
loaded: 0.2 s on an instance with a sixth of a core, for which callers wait
after each restart. The methods of this module do the same without generated
code. They are slower, so they suit classes whose objects are rarely compared.
"""

import attrs


def define(cls):
    """Do what ``attrs.define`` does; objects compare by their fields."""
    cls.__eq__ = _eq
    cls.__hash__ = None
    cls.__repr__ = _repr
    return attrs.define(cls, eq=False, repr=False)


def frozen(cls):
    """Do what ``attrs.frozen`` does; objects compare by their fields."""
    cls.__eq__ = _eq
    cls.__hash__ = _hash
    cls.__repr__ = _repr
    return attrs.frozen(cls, eq=False, repr=False)


def _values(instance):
    return [
        getattr(instance, field.name)
        for field in attrs.fields(type(instance))
        if field.eq
    ]


def _eq(self, other):
    if type(other) is not type(self):
        return NotImplemented
    return _values(self) == _values(other)


def _hash(self):
    return hash((type(self), *_values(self)))


def _repr(self):
    return "%s(%s)" % (
        type(self).__qualname__,
        ", ".join(
            "%s=%r" % (field.name, getattr(self, field.name))
            for field in attrs.fields(type(self))
            if field.repr
        ),
    )
