"""Runs a program with one protection switched off, for the soak's own test.

python tests/unprotected.py PROTECTION balancer|agent
"""

import importlib
import sys

from limpetlift import registry
from limpetlift.state import hosting
from limpetlift.state import steering
from limpetlift.state import steps

switches_by_name = {}


@registry.register(switches_by_name, "drain")
def _take_flows_while_draining():
    decline_reason = hosting.FlowHosting.decline_reason

    def refuse_less(self, service_id):
        reason = decline_reason(self, service_id)
        return "" if reason == "draining" else reason

    hosting.FlowHosting.decline_reason = refuse_less


@registry.register(switches_by_name, "proof")
def _reset_without_proof():
    def reset_unknown(self, _now, segment, excluded=None):
        return [steps.Reset(segment.key, segment.ack, "guess")]

    steering.FlowSteering._search = reset_unknown


@registry.register(switches_by_name, "search")
def _leave_unknown_flows():
    def ignore(self, _now, _segment, excluded=None):
        return []

    steering.FlowSteering._search = ignore


@registry.register(switches_by_name, "routes")
def _keep_the_first_routes():
    on_routes = steering.FlowSteering.on_routes

    def keep(self, now, routes):
        return [] if self.routes.version else on_routes(self, now, routes)

    steering.FlowSteering.on_routes = keep


def main():
    """Switch a protection off and run the program."""
    _, protection, module = sys.argv
    registry.lookup(switches_by_name, protection, "protection")()
    importlib.import_module("limpetlift.platform." + module).main()


if __name__ == "__main__":
    main()
