"""Results of measurements, and the registry of measurements by name."""

import math
import statistics

import attrs

from limpetlift import registry

MEASUREMENTS_BY_NAME = {}


def measurement(name):
    """Return a decorator that registers a measurement.

    A measurement is a function that takes a :class:`Scale` and returns a list
    of :class:`Figure`.

    :param name: name of the measurement on the command line and in the report.
    """
    return registry.register(MEASUREMENTS_BY_NAME, name)


@attrs.frozen
class Scale:
    """Size and duration of the runs of a measurement.

    :param run_s: duration of one timed run in seconds.
    :param repeats: number of runs of each measurement.
    :param factor: factor applied to all counts; tests use a small one.
    """

    run_s: float = 1.0
    repeats: int = 3
    factor: float = 1.0

    def count(self, full):
        """Return ``full`` multiplied by the factor, but at least 1."""
        return max(1, int(full * self.factor))


@attrs.frozen
class Figure:
    """A measured quantity with the values of all runs.

    :param name: description of the quantity.
    :param unit: unit of the values, or empty for ratios.
    :param values: one finite value per run, at least one.
    :param at_least: lower limit of the median, or None.
    :param at_most: upper limit of the median, or None.
    """

    name: str
    unit: str
    values: list = attrs.field()
    at_least: float | None = None
    at_most: float | None = None

    @values.validator
    def _check_values(self, _attribute, values):
        if not values or not all(math.isfinite(value) for value in values):
            raise ValueError(
                "figure %s needs at least one value and only finite ones: %r"
                % (self.name, values)
            )

    @property
    def median(self):
        """Median of the values."""
        return statistics.median(self.values)

    @property
    def limit_met(self):
        """Whether the median is within the limit; None without a limit."""
        if self.at_least is not None:
            return self.median >= self.at_least
        if self.at_most is not None:
            return self.median <= self.at_most
        return None

    def to_json(self):
        """Return the figure as a dict that can be written as JSON."""
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
            _format_number(self.median),
            self.unit,
            _format_number(min(self.values)),
            _format_number(max(self.values)),
        )
        if self.limit_met is None:
            return text
        relation = "at least" if self.at_least is not None else "at most"
        limit = self.at_least if self.at_most is None else self.at_most
        result = "met" if self.limit_met else "NOT MET"
        return "%s, %s %s: %s" % (
            text,
            relation,
            _format_number(limit),
            result,
        )


def _format_number(value):
    if value and abs(value) < 100:
        return "%.3g" % value
    return "{:,.0f}".format(value)


def ratios(values, baselines):
    """Return each run's value divided by the baseline of the same run."""
    return [value / base for value, base in zip(values, baselines)]
