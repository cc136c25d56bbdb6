"""Handlers that apply the events of a trace to the simulation."""

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


def apply(simulation, event):
    """Apply an event of the trace at the present virtual time.

    :param simulation: the :class:`limpetlift.replay.simulation.Simulation`.
    :param event: a :class:`limpetlift.replay.trace.Event`.
    """
    _handlers_by_event[type(event)](simulation, event)


def _get_process(simulation, event):
    return simulation.network.processes_by_id[event.process]


def _record_service_change(simulation, process):
    if process.kind == members.AGENT:
        simulation.record_service_change(process.service.name)


def _get_changed_process(simulation, event):
    """Record a change of the process's service; return the process."""
    process = _get_process(simulation, event)
    _record_service_change(simulation, process)
    return process


@_handles(trace.Flows)
def _open_flows(simulation, event):
    for _index in range(event.count):
        caller = simulation.new_caller()
        delay_s = event.over_s * simulation.rng.random()
        simulation.clock.after(
            delay_s,
            _send_flow_datagrams,
            simulation,
            event.service,
            caller,
            event.every_s,
        )


def _send_flow_datagrams(simulation, service, caller, every_s):
    """Send a datagram of a flow and schedule the next one."""
    simulation.send_caller_datagram(service, caller)
    if simulation.clock.now + every_s < simulation.end:
        simulation.clock.after(
            every_s, _send_flow_datagrams, simulation, service, caller, every_s
        )


@_handles(trace.Flow)
def _send_recorded_datagram(simulation, event):
    ip, _, port = event.caller.rpartition(":")
    simulation.send_caller_datagram(event.service, (ip, int(port)))


@_handles(trace.Requests)
def _send_requests(simulation, event, until_time=None):
    """Send a request and schedule the next one, as a Poisson process."""
    until_time = until_time or simulation.clock.now + event.for_s
    simulation.callers.start(_new_job(simulation, event))
    interval_s = simulation.rng.expovariate(event.per_s)
    if simulation.clock.now + interval_s < until_time:
        simulation.clock.after(
            interval_s, _send_requests, simulation, event, until_time
        )


def _new_job(simulation, event):
    """Draw the properties of the next request of a ``requests`` event."""
    is_long = simulation.rng.random() < event.long_share
    work_s = event.work_ms / 1000 * simulation.rng.uniform(0.5, 1.5)
    key = ""
    if event.keyed:
        key = "key-%d" % len(simulation.callers.jobs)
    return requests.Job(
        service=event.service,
        work_s=work_s * event.long_factor if is_long else work_s,
        deadline=simulation.clock.now
        + event.deadline_ms / 1000 * (event.long_factor if is_long else 1.0),
        sent_at=simulation.clock.now,
        key=key,
        is_long=is_long,
        is_declared=event.declared,
        retries_left=event.retries,
    )


@_handles(trace.Request)
def _send_recorded_request(simulation, event):
    simulation.callers.start(
        requests.Job(
            service=event.service,
            work_s=event.work_ms / 1000,
            deadline=simulation.clock.now + event.deadline_ms / 1000,
            sent_at=simulation.clock.now,
            key=event.key,
            is_long=event.long,
            is_declared=event.declared,
            retries_left=event.retries,
        )
    )


@_handles(trace.Slow)
def _slow(simulation, event):
    process = _get_process(simulation, event)
    process.slowness = event.factor
    simulation.clock.after(event.for_s, setattr, process, "slowness", 1.0)


@_handles(trace.Kill)
def _kill(simulation, event):
    process = _get_changed_process(simulation, event)
    process.died_at = simulation.clock.now
    process.kill()


@_handles(trace.Start)
def _start(simulation, event):
    _get_changed_process(simulation, event).start()


@_handles(trace.Stop)
def _stop(simulation, event):
    _get_changed_process(simulation, event).stop()


@_handles(trace.Join)
def _join(simulation, event):
    data_centres = simulation.header.data_centres
    data_centre_spec = data_centres[
        len(simulation.network.processes_by_id) % len(data_centres)
    ]
    if event.service:
        process = nodes.Agent(
            simulation,
            event.process,
            data_centre_spec,
            simulation.service(event.service),
        )
    else:
        process = nodes.Balancer(simulation, event.process, data_centre_spec)
    simulation.add(process)
    process.start()
    _record_service_change(simulation, process)


@_handles(trace.Drain)
def _drain(simulation, event):
    _get_changed_process(simulation, event).drain()


@_handles(trace.Weight)
def _weight(simulation, event):
    _get_changed_process(simulation, event).set_weight(event.weight)


@_handles(trace.Pause)
def _pause(simulation, event):
    _get_changed_process(simulation, event).pause(event.for_s)


@_handles(trace.Lag)
def _lag(simulation, event):
    simulation.network.lag(event.process, event.delay_s, event.for_s)


@_handles(trace.Cut)
def _cut(simulation, event):
    simulation.network.cut(event.left, event.right, event.for_s)


@_handles(trace.Store)
def _store(simulation, event):
    simulation.store.fail(event.state, simulation.clock.now + event.for_s)
