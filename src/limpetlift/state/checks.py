"""Checks of single settings, and the conversion of tables to attrs classes.

Every setting is an attrs field made by :func:`setting`, which holds its check
and its unit. :func:`structure` turns a table into such a class and returns all
problems at once.
"""

import ipaddress
import math
import re

import attrs
import cattrs
from cattrs import errors
from cattrs import gen

from limpetlift import exceptions


@attrs.frozen
class Problem:
    """One fault in a settings table.

    :param path: key path as a tuple of keys.
    :param found: what was found, for a person.
    :param expected: what is valid, for a person.
    """

    path: tuple
    found: str
    expected: str

    def line(self, file):
        """Return the problem as one line that starts with ``file``."""
        return "%s: %s: found %s, expected %s" % (
            file,
            ".".join(self.path) or "(top level)",
            self.found,
            self.expected,
        )


class Invalid(exceptions.StateError, ValueError):
    """A value does not pass its check.

    :param expected: what is valid.
    """

    def __init__(self, expected):
        super().__init__(expected)
        self.expected = expected


@attrs.frozen
class Integer:
    """A whole number from ``low`` to ``high``."""

    low: int
    high: int

    @property
    def text(self):
        """The valid values, for a person."""
        return "an integer from %d to %d" % (self.low, self.high)

    def __call__(self, value):
        """Return ``value`` or raise :class:`Invalid`."""
        # In Python, true and false are integers as well.
        if type(value) is not int or not self.low <= value <= self.high:
            raise Invalid(self.text)
        return value


@attrs.frozen
class Number:
    """A number from ``low`` to ``high``."""

    low: float
    high: float

    @property
    def text(self):
        """The valid values, for a person."""
        return "a number from %g to %g" % (self.low, self.high)

    def __call__(self, value):
        """Return ``value`` as a float or raise :class:`Invalid`."""
        if type(value) not in (int, float) or not math.isfinite(value):
            raise Invalid(self.text)
        if not self.low <= value <= self.high:
            raise Invalid(self.text)
        return float(value)


@attrs.frozen
class Choice:
    """One of ``names``."""

    names: tuple

    @property
    def text(self):
        """The valid values, for a person."""
        return "one of " + ", ".join('"%s"' % name for name in self.names)

    def __call__(self, value):
        """Return ``value`` or raise :class:`Invalid`."""
        if not isinstance(value, str) or value not in self.names:
            raise Invalid(self.text)
        return value


@attrs.frozen
class Text:
    """A string that matches ``pattern`` as a whole."""

    pattern: str
    text: str

    def __call__(self, value):
        """Return ``value`` or raise :class:`Invalid`."""
        if not isinstance(value, str) or not re.fullmatch(self.pattern, value):
            raise Invalid(self.text)
        return value


@attrs.frozen
class Hex:
    """Bytes written as hexadecimal digits."""

    low: int
    high: int

    @property
    def text(self):
        """The valid values, for a person."""
        return "%d to %d bytes in hexadecimal digits" % (self.low, self.high)

    def __call__(self, value):
        """Return the bytes or raise :class:`Invalid`."""
        try:
            data = bytes.fromhex(value)
        except (TypeError, ValueError):
            raise Invalid(self.text) from None
        if not self.low <= len(data) <= self.high:
            raise Invalid(self.text)
        return data


@attrs.frozen
class HexText(Hex):
    """Like :class:`Hex`, but the text is kept."""

    def __call__(self, value):
        """Return ``value`` or raise :class:`Invalid`."""
        Hex.__call__(self, value)
        return value


@attrs.frozen
class Ip:
    """An IPv4 address; empty is allowed when ``optional`` is set."""

    optional: bool = False
    text = "an IPv4 address"

    def __call__(self, value):
        """Return ``value`` or raise :class:`Invalid`."""
        if value == "" and self.optional:
            return value
        try:
            if isinstance(value, str):
                return str(ipaddress.IPv4Address(value))
        except ValueError:
            pass
        raise Invalid(self.text)


@attrs.frozen
class Endpoint:
    """An IPv4 address and a port; may be empty if ``optional`` is set."""

    optional: bool = False
    text = '"ip:port" with an IPv4 address and a port from 1 to 65535'

    def __call__(self, value):
        """Return ``value`` or raise :class:`Invalid`."""
        if value == "" and self.optional:
            return value
        if not isinstance(value, str):
            raise Invalid(self.text)
        ip, _, port = value.rpartition(":")
        try:
            Ip()(ip)
        except Invalid:
            raise Invalid(self.text) from None
        if not re.fullmatch("[1-9][0-9]{0,4}", port) or int(port) > 65535:
            raise Invalid(self.text)
        return value


@attrs.frozen
class Items:
    """A list whose items pass ``check``."""

    check: object
    low: int = 0

    @property
    def text(self):
        """The valid values, for a person."""
        return "a list of at least %d items, each %s" % (
            self.low,
            self.check.text,
        )

    def __call__(self, value):
        """Return the checked items or raise :class:`Invalid`."""
        if not isinstance(value, list) or len(value) < self.low:
            raise Invalid(self.text)
        try:
            return [self.check(item) for item in value]
        except Invalid:
            raise Invalid(self.text) from None


SERVICE_NAME = Text(
    "[a-z0-9][a-z0-9-]{0,62}",
    "a name of 1 to 63 characters a-z, 0-9 and -, not starting with -",
)


def setting(check, default=attrs.NOTHING, unit="", required=False):
    """Return an attrs field for one setting.

    :param check: one of the checks above.
    :param default: as in a class, hence after conversion.
    :param unit: unit of the value, for the documentation.
    :param required: whether it must be given although the class has a
        default for it.
    """
    metadata = {"check": check, "unit": unit, "required": required}
    if isinstance(default, list):
        return attrs.field(factory=default.copy, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def settings_of(cls):
    """Return the attrs fields of ``cls`` that are settings."""
    return [field for field in attrs.fields(cls) if "check" in field.metadata]


def _hook(check):
    return lambda value, _type: check(value)


def _converter(cls):
    converter = cattrs.Converter(forbid_extra_keys=True)
    overrides = {
        field.name: (
            gen.override(struct_hook=_hook(field.metadata["check"]))
            if "check" in field.metadata
            else gen.override(omit=True)
        )
        for field in attrs.fields(cls)
    }
    converter.register_structure_hook(
        cls,
        gen.make_dict_structure_fn(
            cls, converter, _cattrs_forbid_extra_keys=True, **overrides
        ),
    )
    return converter


_converters_by_class = {}


def structure(table, cls, path=()):
    """Return ``(instance or None, problems)``.

    :param table: a dict as read from TOML.
    :param cls: an attrs class whose fields are made by :func:`setting`.
    :param path: key path of the table, for the problems.
    """
    if not isinstance(table, dict):
        return None, [Problem(path, _shown(table), "a table")]
    if cls not in _converters_by_class:
        _converters_by_class[cls] = _converter(cls)
    problems = [
        Problem(path + (field.name,), "nothing", field.metadata["check"].text)
        for field in settings_of(cls)
        if field.metadata["required"] and field.name not in table
    ]
    try:
        entry = _converters_by_class[cls].structure(table, cls)
    except errors.ClassValidationError as error:
        entry = None
        for cause in error.exceptions:
            problems += _problems(cause, table, cls, path)
    return (None, problems) if problems else (entry, [])


def _problems(cause, table, cls, path):
    if isinstance(cause, errors.ForbiddenExtraKeysError):
        known = ", ".join(field.name for field in settings_of(cls))
        for key in sorted(cause.extra_fields):
            yield Problem(path + (key,), "an unknown key", "one of " + known)
        return
    notes = getattr(cause, "__notes__", ())
    name = next(
        note.name
        for note in notes
        if isinstance(note, cattrs.AttributeValidationNote)
    )
    check = attrs.fields_dict(cls)[name].metadata["check"]
    found = _shown(table[name]) if name in table else "nothing"
    yield Problem(path + (name,), found, check.text)


def _shown(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."
