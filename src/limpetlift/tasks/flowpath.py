"""Forwarding of the packets of flows, at balancers and agents."""

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

# When a flow ends for one of these reasons, its caller gets the reset payload.
_RESET_REASONS = ("backend_down", "stopped")


class BalancerFlows:
    """Passes datagrams of callers to agents, and the answers back.

    It owns one socket for each service, at the service's address.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param bind_ip: used instead of the IPs of the services if not empty.
    :param cached_headers: maximum number of cached packet headers.

    .. versionadded:: 0.1
    """

    def __init__(self, node, bind_ip, cached_headers=defaults.CACHED_HEADERS):
        self._header_cache = packets.HeaderCache(cached_headers)
        self._encoders_by_id = {}
        self._node = node
        self._bind_ip = bind_ip
        self._sockets_by_id = {}
        self.tables_by_name = {}
        self.recorder = None
        self._to_agent = metrics.PACKETS.by_direction["to_agent"]
        self._to_caller = metrics.PACKETS.by_direction["to_caller"]
        node.on_packet(self._on_answer)

    def set_services(self, services):
        """Open and close sockets so that they match ``services``.

        :param services: :class:`limpetlift.state.config.Service` objects.
        """
        services_by_name = {service.name: service for service in services}
        for name in set(self.tables_by_name) - set(services_by_name):
            self._close_service(name)
        for name, service in services_by_name.items():
            table = self.tables_by_name.get(name)
            if table and table.service.address != service.address:
                self._close_service(name)
                table = None
            if table is None:
                self._open_service(service)
            else:
                table.service = service

    def set_members(self, name, members):
        """Replace the member records of the service called ``name``."""
        table = self.tables_by_name.get(name)
        if table is not None:
            table.set_members(members)

    def _open_service(self, service):
        ip, port = service.endpoint
        service_id = hashing.service_id(service.name)
        table = servicetable.ServiceTable(service)
        encoder = packets.FlowEncoder(
            service_id,
            self._node.address,
            self._node.keys[0],
            self._header_cache,
        )

        def on_caller_datagram(data, caller):
            self._forward(table, encoder, data, caller)

        try:
            socket = udp.UdpSocket(
                (self._bind_ip or ip, port), on_caller_datagram
            )
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

    def _on_answer(self, packet, _address):
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
class _BackendSession:
    """Connection of an open flow to the backend server.

    :param socket: connected to the backend server.
    :param last_packet: latest packet of the caller; names the balancer that
        gets the answers.
    """

    socket: udp.UdpSocket
    last_packet: packets.Packet


class AgentFlows:
    """Passes packets to the backend server and to other agents.

    It owns one socket, connected to the backend server, for each open flow.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param table: the :class:`limpetlift.state.flows.FlowTable`.
    :param backend_address: ``(ip, port)`` of the backend server.
    :param perform_other: called with each action of another kind.
    :param reset_payload: sent to the caller of a flow that has ended with its
        agent or its backend server; nothing is sent if it is empty.

    .. versionadded:: 0.1
    """

    def __init__(
        self, node, table, backend_address, perform_other, reset_payload=b""
    ):
        self._node = node
        self._reset_payload = reset_payload
        self._table = table
        self._backend_address = backend_address
        self._perform_other = perform_other
        self._sessions_by_key = {}
        self._return_path = returnpath.ReturnPath()
        self.endpoints_by_id = {}
        self._source_endpoints_by_id = {}
        node.on_packet(self._on_packet)
        for kind in flows.MESSAGE_KINDS:
            node.on_message(kind, self._on_message)

    def perform(self, new_actions):
        """Carry out actions, see :mod:`limpetlift.state.actions`."""
        for action in new_actions:
            if isinstance(action, actions.Deliver):
                self._send_to_backend(action.key, action.packet)
            elif isinstance(action, actions.Forward):
                self._forward(action)
            elif isinstance(action, actions.Drop):
                metrics.PACKETS_DROPPED.labels(action.reason).inc()
            elif isinstance(action, actions.Send):
                self._send(action)
            elif isinstance(action, actions.Reset):
                self._reset_flow(action.packet)
            elif isinstance(action, actions.Close):
                self._close_session(action)
            else:
                self._perform_other(action)

    def tick(self):
        """Run the timers and update the metrics of flows."""
        now = time.monotonic()
        self._return_path.tick(now)
        self.perform(self._table.tick(now))
        metrics.FLOWS.set(self._table.flow_count)
        metrics.REDIRECTS.set(self._table.redirect_count)

    def _on_packet(self, packet, _address):
        if packet.kind != packets.KIND_TO_AGENT:
            metrics.PACKETS_DROPPED.labels("unexpected").inc()
            return
        now = time.monotonic()
        self._return_path.on_packet(now, packet.balancer)
        self.perform(self._table.on_packet(now, packet))

    def _on_message(self, sealed, message, address):
        # A joining agent may send messages before its record arrives.
        self._source_endpoints_by_id[sealed.sender] = address
        try:
            new_actions = self._table.on_message(
                time.monotonic(), sealed.sender, message
            )
        except exceptions.ProtocolError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()
            return
        self.perform(new_actions)

    def _find_endpoint(self, agent_id):
        endpoint = self.endpoints_by_id.get(agent_id)
        return endpoint or self._source_endpoints_by_id.get(agent_id)

    def _send(self, action):
        endpoint = self._find_endpoint(action.agent_id)
        if endpoint is not None:
            self._node.send(action.message, endpoint)

    def _reset_flow(self, packet):
        metrics.FLOWS_ENDED.labels("owner_gone").inc()
        if self._reset_payload:
            self._send_to_caller(packet, self._reset_payload)

    def _send_to_backend(self, key, packet):
        session = self._sessions_by_key.get(key)
        if session is None:
            session = self._open_session(key, packet)
            if session is None:
                return
        session.last_packet = packet
        try:
            session.socket.send_connected(packet.payload)
        except exceptions.TransportError:
            self._on_backend_closed(key)

    def _open_session(self, key, packet):
        def on_backend_datagram(data, _address):
            self._on_answer(key, data)

        try:
            socket = udp.UdpSocket(
                (self._backend_address[0], 0),
                on_backend_datagram,
                connect_to=self._backend_address,
                on_error=lambda: self._on_backend_closed(key),
            )
        except exceptions.TransportError as error:
            LOG.error("session_failed", error=error)
            self._on_backend_closed(key)
            return None
        session = _BackendSession(socket, packet)
        self._sessions_by_key[key] = session
        metrics.FLOWS_OPENED.inc()
        return session

    def _on_backend_closed(self, key):
        self.perform(
            self._table.on_closed(time.monotonic(), key, "backend_down")
        )

    def _on_answer(self, key, data):
        self._table.on_backend_datagram(time.monotonic(), key)
        self._send_to_caller(self._sessions_by_key[key].last_packet, data)

    def _send_to_caller(self, packet, data):
        answer = attrs.evolve(
            packet, kind=packets.KIND_TO_CALLER, hops=0, payload=data
        )
        self._node.send_packet(
            packets.encode(answer, self._node.keys[0]),
            self._return_path.choose(time.monotonic(), packet.balancer),
        )

    def _forward(self, action):
        endpoint = self._find_endpoint(action.agent_id)
        if endpoint is None:
            metrics.PACKETS_DROPPED.labels("unknown_agent").inc()
            return
        packet = attrs.evolve(
            action.packet,
            hops=action.packet.hops + 1,
            incarnation=action.incarnation & 0xFFFFFFFF,
            is_assigned=action.is_assigned,
        )
        self._node.send_packet(
            packets.encode(packet, self._node.keys[0]), endpoint
        )

    def _close_session(self, action):
        session = self._sessions_by_key.pop(action.key, None)
        if session is not None:
            if action.reason in _RESET_REASONS and self._reset_payload:
                self._send_to_caller(session.last_packet, self._reset_payload)
            session.socket.close()
            metrics.FLOWS_ENDED.labels(action.reason).inc()

    def end_all_flows(self):
        """End all open flows and send the reset payload to their callers."""
        for key in list(self._sessions_by_key):
            self.perform(
                self._table.on_closed(time.monotonic(), key, "stopped")
            )

    def close(self):
        """Close all sockets."""
        for session in self._sessions_by_key.values():
            session.socket.close()
        self._sessions_by_key.clear()
