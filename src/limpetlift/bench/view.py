"""Memory and time of a view with as many members as the design assumes."""

import random
import time

import attrs

from limpetlift.bench import figures
from limpetlift.bench import workers
from limpetlift.coordination import member as members
from limpetlift.coordination import view
from limpetlift.state import config
from limpetlift.state import servicetable

AGENTS = 14_000
SERVICES = 2_100
BALANCERS = 1_800
DATA_CENTRES = 9
REGIONS = 3
ENDPOINT_LOOKUPS = 100_000
WEIGHT_CHANGES = 50
MAX_MEMORY_MB = 128


def agent(number, services):
    """Return the record of agent ``number`` of a fleet.

    :param services: number of services, to which agents are assigned in turn.
    """
    return members.Member(
        agent_id="agent-%05d" % number,
        kind=members.AGENT,
        address="10.%d.%d.%d:6000"
        % (1 + number // 65536, number // 256 % 256, number % 256),
        incarnation=1_700_000_000_000 + number,
        service=service_name(number % services),
        data_centre="dc-%d" % (number % DATA_CENTRES),
        region="region-%d" % (number % REGIONS),
        state=members.ACTIVE,
    )


def balancer(number):
    """Return the record of balancer ``number`` of a fleet."""
    return members.Member(
        agent_id="balancer-%04d" % number,
        kind=members.BALANCER,
        address="10.0.%d.%d:6000" % (number // 256, number % 256),
        incarnation=1_700_000_000_000 + number,
        data_centre="dc-%d" % (number % DATA_CENTRES),
        region="region-%d" % (number % REGIONS),
        state=members.ACTIVE,
    )


def service_name(number):
    """Return the name of service ``number``."""
    return "service-%04d" % number


def _round_trip(member):
    # Like records received from the network, decoded ones share no strings;
    # shared strings would lower the measured memory.
    return members.from_message(member.to_message())


def build_view(agents, services, balancers):
    """Return a :class:`View` with the records of a fleet.

    :param agents: number of agents.
    :param services: number of services.
    :param balancers: number of balancers.
    """
    fleet_view = view.View("")
    records = [agent(number, services) for number in range(agents)]
    records += [balancer(number) for number in range(balancers)]
    for record in records:
        fleet_view.merge(0.0, _round_trip(record))
    fleet_view.pop_changed_services()
    return fleet_view


def build_tables(fleet_view, services):
    """Return the :class:`ServiceTable` of each service by name.

    The placement of a table is computed by the first lookup in it.
    """
    tables_by_name = {}
    for number in range(services):
        name = service_name(number)
        service = config.Service(name, "10.200.0.1:%d" % (1024 + number))
        table = servicetable.ServiceTable(service)
        table.set_members(fleet_view.members_of(name))
        tables_by_name[name] = table
    return tables_by_name


def _measure_in_process(connection, agents, services, balancers, lookups):
    empty = workers.resident_bytes()
    fleet_view = build_view(agents, services, balancers)
    tables_by_name = build_tables(fleet_view, services)
    tables = list(tables_by_name.values())
    records = workers.resident_bytes()
    build = _elapsed_s(lambda: [table.endpoint(0) for table in tables])
    connection.send(
        {
            "empty": empty,
            "records": records,
            "whole": workers.resident_bytes(),
            "build_s": build,
            "change_s": _change_s(fleet_view, tables_by_name),
            "choice_s": _lookup_s(tables, lookups),
        }
    )
    connection.close()


def _elapsed_s(call):
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


def _change_s(fleet_view, tables_by_name):
    """Return the mean time to apply the new weight of an agent.

    Only the table of the agent's service is rebuilt.
    """
    records = [
        attrs.evolve(record, sequence=1, weight=0.5)
        for record in fleet_view.all_records()
        if record.kind == members.AGENT
    ][:WEIGHT_CHANGES]

    def apply_changes():
        for record in records:
            fleet_view.merge(1.0, record)
            for name in fleet_view.pop_changed_services():
                table = tables_by_name[name]
                table.set_members(fleet_view.members_of(name))
                table.endpoint(0)

    return _elapsed_s(apply_changes) / len(records)


def _lookup_s(tables, lookups):
    rng = random.Random(1)
    calls = [(rng.choice(tables), rng.getrandbits(64)) for _ in range(lookups)]

    def look_up():
        for table, flow_hash in calls:
            table.endpoint(flow_hash)

    look_up()
    return _elapsed_s(look_up) / lookups


@figures.measurement("view")
def measure(scale):
    """Build a view in a new process for each run, and measure it there."""
    runs = []
    for _ in range(scale.repeats):
        with workers.Worker(
            _measure_in_process,
            scale.count(AGENTS),
            scale.count(SERVICES),
            scale.count(BALANCERS),
            scale.count(ENDPOINT_LOOKUPS),
        ) as worker:
            runs.append(worker.first_message)

    def figure(name, unit, key, factor, **limits):
        values = [run[key] * factor for run in runs]
        return figures.Figure(name, unit, values, **limits)

    return [
        figure("memory of the process without a view", "MB", "empty", 1e-6),
        figure("memory with the records", "MB", "records", 1e-6),
        figure(
            "memory with all tables built",
            "MB",
            "whole",
            1e-6,
            at_most=MAX_MEMORY_MB,
        ),
        figure("time to build all tables", "s", "build_s", 1),
        figure("time to apply one change", "ms", "change_s", 1e3),
        figure("time for a choice", "us", "choice_s", 1e6),
    ]
