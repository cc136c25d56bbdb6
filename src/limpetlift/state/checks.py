"""Checks of single settings, and the conversion of tables to attrs classes.

Every setting is an attrs field made by :func:`setting`, which holds its check
and its unit. :func:`structure` converts a table to an instance of a class with
such fields and returns the problems of all settings at once.
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
    """An invalid or missing setting, or an unknown key.

    :param path: key path as a tuple of keys.
    :param found: text that says what was found.
    :param expected: text that says what is valid.
    """

    path: tuple
    found: str
    expected: str

    def format_line(self, file):
        """Return the problem as one line of text.

        :param file: name of the file that the setting comes from.
        """
        return "%s: %s: found %s, expected %s" % (
            file,
            ".".join(self.path) or "(top level)",
            self.found,
            self.expected,
        )


class InvalidValue(exceptions.StateError, ValueError):
    """A value does not pass its check.

    :param expected: text that says what is valid.
    """

    def __init__(self, expected):
        super().__init__(expected)
        self.expected = expected


@attrs.frozen
class Integer:
    """Accepts integers from ``low`` to ``high``."""

    low: int
    high: int

    @property
    def description(self):
        """Text that says which values are valid."""
        return "an integer from %d to %d" % (self.low, self.high)

    def __call__(self, value):
        """Return ``value`` or raise :class:`InvalidValue`."""
        # bool is a subclass of int; true and false must be rejected.
        if type(value) is not int or not self.low <= value <= self.high:
            raise InvalidValue(self.description)
        return value


@attrs.frozen
class Number:
    """Accepts integers and floats from ``low`` to ``high``."""

    low: float
    high: float

    @property
    def description(self):
        """Text that says which values are valid."""
        return "a number from %g to %g" % (self.low, self.high)

    def __call__(self, value):
        """Return ``value`` as a float or raise :class:`InvalidValue`."""
        if type(value) not in (int, float) or not math.isfinite(value):
            raise InvalidValue(self.description)
        if not self.low <= value <= self.high:
            raise InvalidValue(self.description)
        return float(value)


@attrs.frozen
class Choice:
    """Accepts the strings in ``names``."""

    names: tuple

    @property
    def description(self):
        """Text that says which values are valid."""
        return "one of " + ", ".join('"%s"' % name for name in self.names)

    def __call__(self, value):
        """Return ``value`` or raise :class:`InvalidValue`."""
        if not isinstance(value, str) or value not in self.names:
            raise InvalidValue(self.description)
        return value


@attrs.frozen
class Text:
    """Accepts strings that match a regular expression.

    :param pattern: regular expression that the whole string must match.
    :param description: text that says which values are valid.
    """

    pattern: str
    description: str

    def __call__(self, value):
        """Return ``value`` or raise :class:`InvalidValue`."""
        if not isinstance(value, str) or not re.fullmatch(self.pattern, value):
            raise InvalidValue(self.description)
        return value


@attrs.frozen
class Hex:
    """Converts a string of hexadecimal digits to bytes.

    :param min_bytes: minimum number of bytes.
    :param max_bytes: maximum number of bytes.
    """

    min_bytes: int
    max_bytes: int

    @property
    def description(self):
        """Text that says which values are valid."""
        return "%d to %d bytes in hexadecimal digits" % (
            self.min_bytes,
            self.max_bytes,
        )

    def __call__(self, value):
        """Return ``value`` as bytes or raise :class:`InvalidValue`."""
        try:
            data = bytes.fromhex(value)
        except (TypeError, ValueError):
            raise InvalidValue(self.description) from None
        if not self.min_bytes <= len(data) <= self.max_bytes:
            raise InvalidValue(self.description)
        return data


@attrs.frozen
class HexText(Hex):
    """Like :class:`Hex`, but the string is not converted."""

    def __call__(self, value):
        """Return ``value`` or raise :class:`InvalidValue`."""
        Hex.__call__(self, value)
        return value


@attrs.frozen
class Ip:
    """Accepts IPv4 addresses.

    :param optional: whether the empty string is accepted too.
    """

    optional: bool = False
    description = "an IPv4 address"

    def __call__(self, value):
        """Return ``value`` or raise :class:`InvalidValue`."""
        if value == "" and self.optional:
            return value
        try:
            if isinstance(value, str):
                return str(ipaddress.IPv4Address(value))
        except ValueError:
            pass
        raise InvalidValue(self.description)


@attrs.frozen
class Endpoint:
    """Accepts ``ip:port`` with an IPv4 address.

    :param optional: whether the empty string is accepted too.
    """

    optional: bool = False
    description = '"ip:port" with an IPv4 address and a port from 1 to 65535'

    def __call__(self, value):
        """Return ``value`` or raise :class:`InvalidValue`."""
        if value == "" and self.optional:
            return value
        if not isinstance(value, str):
            raise InvalidValue(self.description)
        ip, _, port = value.rpartition(":")
        try:
            Ip()(ip)
        except InvalidValue:
            raise InvalidValue(self.description) from None
        if not re.fullmatch("[1-9][0-9]{0,4}", port) or int(port) > 65535:
            raise InvalidValue(self.description)
        return value


@attrs.frozen
class ListOf:
    """Accepts lists whose items pass ``check``.

    :param check: one of the checks above.
    :param min_items: minimum number of items.
    """

    check: object
    min_items: int = 0

    @property
    def description(self):
        """Text that says which values are valid."""
        return "a list of at least %d items, each %s" % (
            self.min_items,
            self.check.description,
        )

    def __call__(self, value):
        """Return the checked items or raise :class:`InvalidValue`."""
        if not isinstance(value, list) or len(value) < self.min_items:
            raise InvalidValue(self.description)
        try:
            return [self.check(item) for item in value]
        except InvalidValue:
            raise InvalidValue(self.description) from None


SERVICE_NAME = Text(
    "[a-z0-9][a-z0-9-]{0,62}",
    "a name of 1 to 63 characters a-z, 0-9 and -, not starting with -",
)


def setting(check, default=attrs.NOTHING, unit="", required=False):
    """Return an attrs field for one setting.

    :param check: one of the checks above.
    :param default: default of the field, as it is after conversion.
    :param unit: unit of the value, as text.
    :param required: whether the setting must be given although the field has
        a default.
    """
    metadata = {"check": check, "unit": unit, "required": required}
    if isinstance(default, list):
        return attrs.field(factory=default.copy, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def settings_of(cls):
    """Return the attrs fields of ``cls`` that are settings."""
    return [field for field in attrs.fields(cls) if "check" in field.metadata]


def _structure_hook(check):
    return lambda value, _type: check(value)


def _make_converter(cls):
    converter = cattrs.Converter(forbid_extra_keys=True)
    overrides = {
        field.name: (
            gen.override(struct_hook=_structure_hook(field.metadata["check"]))
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
    """Return ``(instance of cls or None, problems)``.

    :param table: a dict as read from TOML.
    :param cls: an attrs class whose fields are made by :func:`setting`.
    :param path: key path of the table, which the problems name.
    """
    if not isinstance(table, dict):
        return None, [Problem(path, _format_value(table), "a table")]
    if cls not in _converters_by_class:
        _converters_by_class[cls] = _make_converter(cls)
    problems = [
        Problem(
            path + (field.name,),
            "nothing",
            field.metadata["check"].description,
        )
        for field in settings_of(cls)
        if field.metadata["required"] and field.name not in table
    ]
    try:
        instance = _converters_by_class[cls].structure(table, cls)
    except errors.ClassValidationError as error:
        instance = None
        for cause in error.exceptions:
            problems += _describe_cause(cause, table, cls, path)
    return (None, problems) if problems else (instance, [])


def _describe_cause(cause, table, cls, path):
    if isinstance(cause, errors.ForbiddenExtraKeysError):
        known_keys = ", ".join(field.name for field in settings_of(cls))
        for key in sorted(cause.extra_fields):
            yield Problem(
                path + (key,), "an unknown key", "one of " + known_keys
            )
        return
    notes = getattr(cause, "__notes__", ())
    name = next(
        note.name
        for note in notes
        if isinstance(note, cattrs.AttributeValidationNote)
    )
    check = attrs.fields_dict(cls)[name].metadata["check"]
    found = _format_value(table[name]) if name in table else "nothing"
    yield Problem(path + (name,), found, check.description)


def _format_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."
