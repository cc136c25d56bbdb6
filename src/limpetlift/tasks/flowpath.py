"""Tasks that carry the packets of flows."""

import time

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics
from limpetlift.protocol import hashing
from limpetlift.protocol import packet as packets
from limpetlift.state import actions
from limpetlift.state import flows
from limpetlift.state import returnpath
from limpetlift.state import servicetable
from limpetlift.transport import udp

LOG = logs.EventLogger("flowpath")

# Ends of a flow that its caller is told of.
_NOTIFIED_REASONS = ("backend_down", "stopped")


class BalancerFlows:
    """Owns the sockets at the services' addresses.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param bind_ip: replaces the services' IP when not empty.
    :param cached_headers: callers whose packet header is kept.

    .. versionadded:: 0.1
    """

    def __init__(self, node, bind_ip, cached_headers=defaults.CACHED_HEADERS):
        self._headers = packets.HeaderCache(cached_headers)
        self._encoders_by_id = {}
        self._node = node
        self._bind_ip = bind_ip
        self._sockets_by_id = {}
        self.tables_by_name = {}
        self.recorder = None
        self._to_agent = metrics.PACKETS.by_direction["to_agent"]
        self._to_caller = metrics.PACKETS.by_direction["to_caller"]
        node.on_packet(self._answer)

    def set_services(self, services):
        """Open and close sockets so that they match ``services``."""
        wanted = {service.name: service for service in services}
        for name in set(self.tables_by_name) - set(wanted):
            self._close_service(name)
        for name, service in wanted.items():
            table = self.tables_by_name.get(name)
            if table and table.service.address != service.address:
                self._close_service(name)
                table = None
            if table is None:
                self._open_service(service)
            else:
                table.service = service

    def set_members(self, name, members):
        """Replace the members of a service."""
        table = self.tables_by_name.get(name)
        if table is not None:
            table.set_members(members)

    def _open_service(self, service):
        ip, port = service.endpoint
        service_id = hashing.service_id(service.name)
        table = servicetable.ServiceTable(service)
        encoder = packets.FlowEncoder(
            service_id, self._node.address, self._node.keys[0], self._headers
        )

        def receive(data, caller):
            self._forward(table, encoder, data, caller)

        try:
            socket = udp.UdpSocket((self._bind_ip or ip, port), receive)
        except exceptions.TransportError as error:
            LOG.error("bind_failed", service=service.name, error=error)
            encoder.close()
            return
        self._encoders_by_id[service_id] = encoder
        self._sockets_by_id[service_id] = socket
        self.tables_by_name[service.name] = table

    def _close_service(self, name):
        del self.tables_by_name[name]
        service_id = hashing.service_id(name)
        self._sockets_by_id.pop(service_id).close()
        self._encoders_by_id.pop(service_id).close()

    def _forward(self, table, encoder, data, caller):
        flow_hash, packet = encoder.encode(caller, data)
        endpoint = table.endpoint(flow_hash)
        if endpoint is None:
            metrics.PACKETS_DROPPED.labels("no_target").inc()
            return
        self._node.send_packet(packet, endpoint)
        self._to_agent.count += 1
        if self.recorder is not None:
            self.recorder.on_datagram(table.service.name, caller)

    def _answer(self, packet, _address):
        socket = self._sockets_by_id.get(packet.service_id)
        if packet.kind != packets.KIND_TO_CALLER or socket is None:
            metrics.PACKETS_DROPPED.labels("unexpected").inc()
            return
        socket.send(packet.payload, packet.caller)
        self._to_caller.count += 1

    def close(self):
        """Close all sockets."""
        for name in list(self.tables_by_name):
            self._close_service(name)


@attrs.define
class _Session:
    """What the agent holds for an open flow besides its ownership."""

    socket: udp.UdpSocket
    last_packet: packets.Packet


class AgentFlows:
    """Owns one socket towards the backend server for each open flow.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param table: the :class:`limpetlift.state.flows.FlowTable`.
    :param backend: ``(ip, port)`` of the backend server.
    :param perform: carries out actions that this task does not know.
    :param reset_payload: sent to the caller of a flow that has ended with
        its agent; empty sends nothing.

    .. versionadded:: 0.1
    """

    def __init__(self, node, table, backend, perform, reset_payload=b""):
        self._node = node
        self._reset_payload = reset_payload
        self._table = table
        self._backend = backend
        self._perform_other = perform
        self._sessions_by_key = {}
        self._return_path = returnpath.ReturnPath()
        self.endpoints_by_id = {}
        self._addresses_by_id = {}
        node.on_packet(self._receive)
        for kind in flows.MESSAGE_KINDS:
            node.on_message(kind, self._receive_message)

    def perform(self, steps):
        """Carry out the actions of the flow table."""
        for step in steps:
            if isinstance(step, actions.Deliver):
                self._deliver(step.key, step.packet)
            elif isinstance(step, actions.Forward):
                self._forward(step)
            elif isinstance(step, actions.Drop):
                metrics.PACKETS_DROPPED.labels(step.reason).inc()
            elif isinstance(step, actions.Send):
                self._send(step)
            elif isinstance(step, actions.Reset):
                self._reset(step.packet)
            elif isinstance(step, actions.Close):
                self._close_session(step)
            else:
                self._perform_other(step)

    def tick(self):
        """Run the timers of the flow table."""
        now = time.monotonic()
        self._return_path.tick(now)
        self.perform(self._table.tick(now))
        metrics.FLOWS.set(self._table.flow_count)
        metrics.REDIRECTS.set(self._table.redirect_count)

    def _receive(self, packet, _address):
        if packet.kind != packets.KIND_TO_AGENT:
            metrics.PACKETS_DROPPED.labels("unexpected").inc()
            return
        now = time.monotonic()
        self._return_path.on_packet(now, packet.balancer)
        self.perform(self._table.on_packet(now, packet))

    def _receive_message(self, sealed, message, address):
        # A joining agent may write before its record arrives.
        self._addresses_by_id[sealed.sender] = address
        try:
            steps = self._table.on_message(
                time.monotonic(), sealed.sender, message
            )
        except exceptions.ProtocolError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()
            return
        self.perform(steps)

    def _endpoint(self, agent_id):
        endpoint = self.endpoints_by_id.get(agent_id)
        return endpoint or self._addresses_by_id.get(agent_id)

    def _send(self, step):
        endpoint = self._endpoint(step.agent_id)
        if endpoint is not None:
            self._node.send(step.message, endpoint)

    def _reset(self, packet):
        metrics.FLOWS_ENDED.labels("owner_gone").inc()
        if self._reset_payload:
            self._send_answer(packet, self._reset_payload)

    def _deliver(self, key, packet):
        session = self._sessions_by_key.get(key)
        if session is None:
            session = self._open_session(key, packet)
            if session is None:
                return
        session.last_packet = packet
        try:
            session.socket.send_connected(packet.payload)
        except exceptions.TransportError:
            self._backend_closed(key)

    def _open_session(self, key, packet):
        def receive(data, _address):
            self._answer(key, data)

        try:
            socket = udp.UdpSocket(
                (self._backend[0], 0),
                receive,
                connect_to=self._backend,
                on_error=lambda: self._backend_closed(key),
            )
        except exceptions.TransportError as error:
            LOG.error("session_failed", error=error)
            self._backend_closed(key)
            return None
        session = _Session(socket, packet)
        self._sessions_by_key[key] = session
        metrics.FLOWS_OPENED.inc()
        return session

    def _backend_closed(self, key):
        self.perform(
            self._table.on_closed(time.monotonic(), key, "backend_down")
        )

    def _answer(self, key, data):
        self._table.on_backend_datagram(time.monotonic(), key)
        self._send_answer(self._sessions_by_key[key].last_packet, data)

    def _send_answer(self, packet, data):
        answer = attrs.evolve(
            packet, kind=packets.KIND_TO_CALLER, hops=0, payload=data
        )
        self._node.send_packet(
            packets.encode(answer, self._node.keys[0]),
            self._return_path.choose(time.monotonic(), packet.balancer),
        )

    def _forward(self, step):
        endpoint = self._endpoint(step.agent_id)
        if endpoint is None:
            metrics.PACKETS_DROPPED.labels("unknown_agent").inc()
            return
        packet = attrs.evolve(
            step.packet,
            hops=step.packet.hops + 1,
            incarnation=step.incarnation & 0xFFFFFFFF,
            is_assigned=step.is_assigned,
        )
        self._node.send_packet(
            packets.encode(packet, self._node.keys[0]), endpoint
        )

    def _close_session(self, step):
        session = self._sessions_by_key.pop(step.key, None)
        if session is not None:
            if step.reason in _NOTIFIED_REASONS and self._reset_payload:
                self._send_answer(session.last_packet, self._reset_payload)
            session.socket.close()
            metrics.FLOWS_ENDED.labels(step.reason).inc()

    def end_all(self):
        """End the open flows and tell their callers."""
        for key in list(self._sessions_by_key):
            self.perform(
                self._table.on_closed(time.monotonic(), key, "stopped")
            )

    def close(self):
        """Close all sockets."""
        for session in self._sessions_by_key.values():
            session.socket.close()
        self._sessions_by_key.clear()
