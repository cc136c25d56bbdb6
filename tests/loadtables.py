"""Prints the tables of the design notes.

``python tests/loadtables.py speeds`` prints the one of learned speeds, and
``python tests/loadtables.py kinds`` that of admission by priority. Run it with
``src`` and ``tests`` on the module path.
"""

import itertools
import sys

import test_fastest
import test_priority


def print_speeds():
    """Print p50 and p99 in ms by load, age of the reports and policy."""
    policies = ("random", "least", "weighted", "fastest", "central")
    variants = [("asked", {})] + [
        (
            "reports every %d ms" % (1000 * interval_s),
            {"asked": 0, "compared": 5, "report_interval_s": interval_s},
        )
        for interval_s in (0.02, 0.1, 0.4)
    ]
    print("| loads known by | load |", " | ".join(policies), "|")
    test_fastest.register_weighted()
    for name, fields in variants:
        for load in (0.5, 0.7, 0.85, 0.95):
            cells = [
                "%.0f, %.0f" % test_fastest.latencies(policy, load, **fields)
                for policy in policies
            ]
            print("| %s | %s | %s |" % (name, load, " | ".join(cells)))
            sys.stdout.flush()


def print_kinds():
    """Print the shares in time and late by peak, load and policy."""
    print("| queue | peak of | load | reads, writes before | after | worth |")
    for queue_limit, peak in itertools.product(
        (6, 3), ("all", "reads", "writes")
    ):
        for load in test_priority.LOADS:
            before, after = (
                test_priority.outcome(policy, peak, load, queue_limit)
                for policy in ("timely", "priority")
            )
            cells = [
                "%.2f + %.2f, %.2f + %.2f" % (*one["safe"], *one["unsafe"])
                for one in (before, after)
            ]
            worths = "%.3f, %.3f" % (before["worth"], after["worth"])
            names = (str(queue_limit), peak)
            print("|", " | ".join((*names, str(load), *cells, worths)), "|")
            sys.stdout.flush()


if __name__ == "__main__":
    {"speeds": print_speeds, "kinds": print_kinds}[sys.argv[1]]()
