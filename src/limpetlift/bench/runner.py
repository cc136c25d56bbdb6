"""Runs the measurements, prints their figures and writes the report."""

import json
import os
import pathlib
import platform
import time

from limpetlift.bench import claims
from limpetlift.bench import control
from limpetlift.bench import figures
from limpetlift.bench import flows
from limpetlift.bench import packets
from limpetlift.bench import requests
from limpetlift.bench import store
from limpetlift.bench import view
from limpetlift import registry

# Importing a module registers its measurement.
MODULES = (packets, flows, view, control, requests, claims, store)


def run(scale, only=""):
    """Run the measurements and return a report that can be written as JSON.

    :param scale: a :class:`limpetlift.bench.figures.Scale`.
    :param only: name of a single measurement to run, or empty for all.
    """
    names = [only] if only else list(figures.MEASUREMENTS_BY_NAME)
    report = {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "measurements": {name: _run_one(name, scale) for name in names},
    }
    return report


def _run_one(name, scale):
    measure = registry.lookup(
        figures.MEASUREMENTS_BY_NAME, name, "measurement"
    )
    load_average = os.getloadavg()[0]
    started_s = time.monotonic()
    print("%s (load average %.1f)" % (name, load_average), flush=True)
    results = measure(scale)
    for figure in results:
        print("  %s" % figure, flush=True)
    return {
        "load_average": load_average,
        "seconds": time.monotonic() - started_s,
        "figures": [figure.to_json() for figure in results],
    }


def write(report, path):
    """Write ``report`` as JSON to the file at ``path``."""
    pathlib.Path(path).write_text(
        json.dumps(report, indent=1) + "\n", encoding="utf-8"
    )
