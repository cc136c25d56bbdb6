"""Memory and time of a view of the design size."""

import random
import time

import attrs

from limpetlift.bench import figures
from limpetlift.bench import workers
from limpetlift.coordination import member as members
from limpetlift.coordination import view
from limpetlift.state import config
from limpetlift.state import servicetable

TARGETS = 14_000
SERVICES = 2_100
BALANCERS = 1_800
DATA_CENTRES = 9
REGIONS = 3
CHOICES = 100_000
CHANGES = 50
MEMORY_LIMIT_MB = 128


def agent(number, services):
    """Return the record of agent ``number`` of a fleet."""
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


def _decoded(member):
    # Records arrive as messages, so no two share a string by accident.
    return members.from_message(member.to_message())


def full_view(targets, services, balancers):
    """Return a :class:`View` with the records of a fleet."""
    found = view.View("")
    records = [agent(number, services) for number in range(targets)]
    records += [balancer(number) for number in range(balancers)]
    for record in records:
        found.merge(0.0, _decoded(record))
    found.pop_changed_services()
    return found


def build_tables(known, services):
    """Return the table of each service, not built yet."""
    tables_by_name = {}
    for number in range(services):
        name = service_name(number)
        service = config.Service(name, "10.200.0.1:%d" % (1024 + number))
        table = servicetable.ServiceTable(service)
        table.set_members(known.members_of(name))
        tables_by_name[name] = table
    return tables_by_name


def _worker(connection, targets, services, balancers, choices):
    empty = workers.resident_bytes()
    known = full_view(targets, services, balancers)
    tables_by_name = build_tables(known, services)
    tables = list(tables_by_name.values())
    records = workers.resident_bytes()
    build = _timed(lambda: [table.endpoint(0) for table in tables])
    connection.send(
        {
            "empty": empty,
            "records": records,
            "whole": workers.resident_bytes(),
            "build_s": build,
            "change_s": _change_s(known, tables_by_name),
            "choice_s": _choice_s(tables, choices),
        }
    )
    connection.close()


def _timed(work):
    started = time.perf_counter()
    work()
    return time.perf_counter() - started


def _change_s(known, tables_by_name):
    """Return the mean time to apply a member's new weight.

    Only the table of the member's service is built again.
    """
    records = [
        attrs.evolve(record, sequence=1, weight=0.5)
        for record in known.all_records()
        if record.kind == members.AGENT
    ][:CHANGES]

    def change():
        for record in records:
            known.merge(1.0, record)
            for name in known.pop_changed_services():
                table = tables_by_name[name]
                table.set_members(known.members_of(name))
                table.endpoint(0)

    return _timed(change) / len(records)


def _choice_s(tables, choices):
    generator = random.Random(1)
    calls = [
        (generator.choice(tables), generator.getrandbits(64))
        for _ in range(choices)
    ]

    def choose():
        for table, flow_hash in calls:
            table.endpoint(flow_hash)

    choose()
    return _timed(choose) / choices


@figures.measurement("view")
def measure(scale):
    """Build a view in a process of its own, three times."""
    runs = []
    for _ in range(scale.repeats):
        with workers.Worker(
            _worker,
            scale.count(TARGETS),
            scale.count(SERVICES),
            scale.count(BALANCERS),
            scale.count(CHOICES),
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
            at_most=MEMORY_LIMIT_MB,
        ),
        figure("time to build all tables", "s", "build_s", 1),
        figure("time to apply one change", "ms", "change_s", 1e3),
        figure("time for a choice", "us", "choice_s", 1e6),
    ]
