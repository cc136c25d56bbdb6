"""Runs a program with one protection switched off.

The tests of the soak use it to check that the soak detects what the
protection prevents.

    python tests/unprotected.py PROTECTION balancer|agent
"""

import importlib
import sys

from limpetlift import registry
from limpetlift.scheduling import evacuation
from limpetlift.state import hosting
from limpetlift.state import steering
from limpetlift.state import steps

switches_by_name = {}


@registry.register(switches_by_name, "drain")
def _accept_flows_while_draining():
    decline_reason = hosting.FlowHosting.decline_reason

    def ignore_draining(self, now, service_id):
        reason = decline_reason(self, now, service_id)
        return "" if reason == "draining" else reason

    hosting.FlowHosting.decline_reason = ignore_draining


@registry.register(switches_by_name, "service")
def _accept_flows_of_other_services():
    decline_reason = hosting.FlowHosting.decline_reason

    def ignore_service(self, now, _service_id):
        return decline_reason(self, now, self._service_id)

    hosting.FlowHosting.decline_reason = ignore_service


@registry.register(switches_by_name, "proof")
def _reset_without_proof():
    def reset_unknown(self, _now, segment, excluded=None):
        return [steps.Reset(segment.key, segment.ack, "guess")]

    steering.FlowSteering._search = reset_unknown


@registry.register(switches_by_name, "search")
def _drop_unknown_flows():
    def drop_unknown(self, _now, _segment, excluded=None):
        return []

    steering.FlowSteering._search = drop_unknown


@registry.register(switches_by_name, "routes")
def _keep_first_routes():
    on_routes = steering.FlowSteering.on_routes

    def keep_first(self, now, routes):
        return [] if self.routes.version else on_routes(self, now, routes)

    steering.FlowSteering.on_routes = keep_first


@registry.register(switches_by_name, "evacuation")
def _place_in_evacuated_data_centres():
    evacuation.Evacuations.covers = lambda self, data_centre: False


def main():
    """Switch off the protection and run the program that sys.argv names."""
    _, protection, module = sys.argv
    registry.lookup(switches_by_name, protection, "protection")()
    importlib.import_module("limpetlift.platform." + module).main()


if __name__ == "__main__":
    main()
