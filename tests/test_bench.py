"""Tests of the measurements, run with small counts and short times."""

import json

import pytest

from limpetlift.bench import figures
from limpetlift.bench import runner

_TINY = figures.Scale(run_s=0.02, repeats=1, factor=0.002)


@pytest.mark.parametrize("name", sorted(figures.MEASUREMENTS_BY_NAME))
def test_measurement_gives_finite_figures(name, tmp_path):
    """Guards against a change elsewhere that breaks a measurement.

    The measurements call internal interfaces of the processes directly. The
    validator of a figure rejects values that are not finite.
    """
    report = runner.run(_TINY, name)
    path = tmp_path / "figures.json"
    runner.write(report, path)
    entry = json.loads(path.read_text())["measurements"][name]
    assert entry["figures"]
    assert all(figure["values"] for figure in entry["figures"])


def test_figure_compares_its_median_with_the_limit():
    """Guards against a limit decided by one outlier among the runs.

    A figure with a value that is not finite must be rejected.
    """
    assert not figures.Figure("a", "", [1, 1, 9], at_least=2).limit_met
    assert figures.Figure("a", "", [1, 1, 9], at_most=2).limit_met
    with pytest.raises(ValueError):
        figures.Figure("a", "", [float("nan")])
