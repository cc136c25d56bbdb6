"""What the events of a trace do to the world of a replay."""

from limpetlift.coordination import member as members
from limpetlift.replay import nodes
from limpetlift.replay import requests
from limpetlift.replay import trace

_handlers_by_event = {}


def _handles(event):
    def decorate(function):
        _handlers_by_event[event] = function
        return function

    return decorate


def apply(world, event):
    """Let an event of the trace happen now.

    :param world: the :class:`limpetlift.replay.world.World`.
    """
    _handlers_by_event[type(event)](world, event)


def _process(world, event):
    return world.network.processes_by_id[event.process]


def _note(world, process):
    if process.kind == members.AGENT:
        world.note_change(process.service.name)


def _changing(world, event):
    """Return the process of an event that changes its service."""
    process = _process(world, event)
    _note(world, process)
    return process


@_handles(trace.Flows)
def _open_flows(world, event):
    for index in range(event.count):
        caller = world.new_caller()
        start = event.over_s * world.rng.random()
        world.clock.after(
            start, _send_flow, world, event.service, caller, event.every_s
        )


def _send_flow(world, service, caller, every_s):
    world.datagram(service, caller)
    if world.clock.now + every_s < world.end:
        world.clock.after(every_s, _send_flow, world, service, caller, every_s)


@_handles(trace.Flow)
def _recorded_flow(world, event):
    ip, _, port = event.caller.rpartition(":")
    world.datagram(event.service, (ip, int(port)))


@_handles(trace.Requests)
def _send_requests(world, event, until=None):
    until = until or world.clock.now + event.for_s
    world.callers.start(_job(world, event))
    pause = world.rng.expovariate(event.per_s)
    if world.clock.now + pause < until:
        world.clock.after(pause, _send_requests, world, event, until)


def _job(world, event):
    long = world.rng.random() < event.long_share
    work_s = event.work_ms / 1000 * world.rng.uniform(0.5, 1.5)
    key = ""
    if event.keyed:
        key = "key-%d" % len(world.callers.jobs)
    return requests.Job(
        service=event.service,
        work_s=work_s * event.long_factor if long else work_s,
        deadline=world.clock.now
        + event.deadline_ms / 1000 * (event.long_factor if long else 1.0),
        sent_at=world.clock.now,
        key=key,
        long=long,
        declared=event.declared,
        retries_left=event.retries,
    )


@_handles(trace.Request)
def _recorded_request(world, event):
    world.callers.start(
        requests.Job(
            service=event.service,
            work_s=event.work_ms / 1000,
            deadline=world.clock.now + event.deadline_ms / 1000,
            sent_at=world.clock.now,
            key=event.key,
            long=event.long,
            declared=event.declared,
            retries_left=event.retries,
        )
    )


@_handles(trace.Slow)
def _slow(world, event):
    process = _process(world, event)
    process.slowness = event.factor
    world.clock.after(event.for_s, setattr, process, "slowness", 1.0)


@_handles(trace.Kill)
def _kill(world, event):
    process = _changing(world, event)
    process.died_at = world.clock.now
    process.kill()


@_handles(trace.Start)
def _start(world, event):
    _changing(world, event).start()


@_handles(trace.Stop)
def _stop(world, event):
    _changing(world, event).stop()


@_handles(trace.Join)
def _join(world, event):
    sites = world.header.data_centres
    site = sites[len(world.network.processes_by_id) % len(sites)]
    if event.service:
        process = nodes.Agent(
            world, event.process, site, world.service(event.service)
        )
    else:
        process = nodes.Balancer(world, event.process, site)
    world.add(process)
    process.start()
    _note(world, process)


@_handles(trace.Drain)
def _drain(world, event):
    _changing(world, event).drain()


@_handles(trace.Weight)
def _weight(world, event):
    _changing(world, event).set_weight(event.weight)


@_handles(trace.Pause)
def _pause(world, event):
    _changing(world, event).pause(event.for_s)


@_handles(trace.Lag)
def _lag(world, event):
    world.network.lag(event.process, event.delay_s, event.for_s)


@_handles(trace.Cut)
def _cut(world, event):
    world.network.cut(event.left, event.right, event.for_s)


@_handles(trace.Store)
def _store(world, event):
    world.store.fail(event.state, world.clock.now + event.for_s)
