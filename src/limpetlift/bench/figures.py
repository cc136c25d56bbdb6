"""Figures that measurements produce, and the registry of measurements."""

import math
import statistics

import attrs

from limpetlift import registry

MEASUREMENTS_BY_NAME = {}


def measurement(name):
    """Register a measurement: a function of a :class:`Scale`.

    It returns a list of :class:`Figure`, or raises :class:`NotRun`.
    """
    return registry.register(MEASUREMENTS_BY_NAME, name)


class NotRun(Exception):
    """The measurement cannot run; the message says why."""


@attrs.frozen
class Scale:
    """How large and how long a run is.

    :param run_s: length of one timed run in seconds.
    :param repeats: runs of each figure.
    :param factor: share of the full counts, for tests.
    """

    run_s: float = 1.0
    repeats: int = 3
    factor: float = 1.0

    def count(self, full):
        """Return the share of the count ``full``, at least 1."""
        return max(1, int(full * self.factor))


@attrs.frozen
class Figure:
    """One measured quantity.

    :param name: what was measured.
    :param unit: unit of the values.
    :param values: one value for each run.
    :param at_least: the limit that the median must reach, or None.
    :param at_most: the limit that the median must not exceed, or None.
    """

    name: str
    unit: str
    values: list = attrs.field()
    at_least: float | None = None
    at_most: float | None = None

    @values.validator
    def _check_values(self, _attribute, values):
        if not values or not all(math.isfinite(value) for value in values):
            raise ValueError("%s: %r" % (self.name, values))

    @property
    def median(self):
        """The median of the runs."""
        return statistics.median(self.values)

    @property
    def limit_met(self):
        """Whether the median keeps the limit; None without a limit."""
        if self.at_least is not None:
            return self.median >= self.at_least
        if self.at_most is not None:
            return self.median <= self.at_most
        return None

    def to_json(self):
        """Return the figure as a JSON object."""
        return dict(
            attrs.asdict(self),
            median=self.median,
            low=min(self.values),
            high=max(self.values),
            limit_met=self.limit_met,
        )

    def __str__(self):
        text = "%-52s %s %s (%s to %s)" % (
            self.name,
            _number(self.median),
            self.unit,
            _number(min(self.values)),
            _number(max(self.values)),
        )
        if self.limit_met is None:
            return text
        word = "at least" if self.at_least is not None else "at most"
        limit = self.at_least if self.at_most is None else self.at_most
        verdict = "met" if self.limit_met else "NOT MET"
        return "%s, %s %s: %s" % (text, word, _number(limit), verdict)


def _number(value):
    if value and abs(value) < 100:
        return "%.3g" % value
    return "{:,.0f}".format(value)


def ratios(values, baselines):
    """Return the ratio of each run to the baseline of the same run."""
    return [value / base for value, base in zip(values, baselines)]
