"""The node socket of a process: data packets and control messages."""

import time

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics
from limpetlift.protocol import envelope
from limpetlift.protocol import packet as packets
from limpetlift.transport import udp

LOG = logs.EventLogger("control")


class Node:
    """Owns the node socket and passes its datagrams to their handlers.

    Data packets and control messages share one socket, so a process that
    resumes after a pause reads them in the order in which they arrived.

    :param settings: a :class:`limpetlift.state.settings.Settings`.
    :param incarnation: start time of the process in milliseconds since the
        epoch.

    .. versionadded:: 0.1
    """

    def __init__(self, settings, incarnation):
        self.id = settings.node.id
        self.incarnation = incarnation
        self.keys = settings.security.secrets
        if settings.agent is None:
            self._decode = packets.Decoder(
                self.keys, defaults.CACHED_HEADERS
            ).decode
        else:
            # An agent uses no cache, so that the cost of a packet does not
            # depend on the number of its flows.
            self._decode = self._decode_uncached
        self._sealer = envelope.Sealer(self.id, incarnation, self.keys)
        # Streams have a sealer, and thus a counter, of their own: with a
        # common one, a frame that is read late would be outside the replay
        # window because of the datagrams received since.
        self._stream_sealer = envelope.Sealer(self.id, incarnation, self.keys)
        self._handlers_by_kind = {}
        self._on_packet = None
        self._socket = udp.UdpSocket(
            (settings.node.ip, settings.node.port), self._receive
        )
        self.address = self._socket.address

    def on_packet(self, handler):
        """Set the handler of data packets.

        :param handler: called with the
            :class:`limpetlift.protocol.packet.Packet` and the ``(ip, port)``
            of the sender.
        """
        self._on_packet = handler

    def on_message(self, kind, handler):
        """Set the handler of the control messages of one kind.

        :param kind: name of a struct of ``messages.structs``.
        :param handler: called with the opened envelope, the message and the
            ``(ip, port)`` of the sender.
        """
        self._handlers_by_kind[kind] = handler

    def send_packet(self, data, address):
        """Send an encoded data packet to ``(ip, port)``."""
        self._socket.send(data, address)

    def send(self, message, address):
        """Seal a control message and send it to ``(ip, port)``."""
        data = self._sealer.seal(message, time.time())
        metrics.CONTROL_BYTES.labels("out").inc(len(data))
        self._socket.send(data, address)

    def seal_frame(self, message):
        """Return the sealed bytes of the first message of a stream."""
        return self._stream_sealer.seal(message, time.time())

    def open_frame(self, data, kind):
        """Return the message in a sealed frame.

        :param data: bytes of the frame.
        :param kind: name of the expected struct.
        :raises ProtocolError: when the frame is forged, replayed or malformed,
            or of another kind.
        """
        try:
            sealed, message = self._stream_sealer.open(data, time.time())
            if sealed.kind != kind:
                raise exceptions.MalformedMessage(
                    "expected a frame with %s" % kind
                )
        except exceptions.ProtocolError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()
            raise
        return message

    def _receive(self, data, address):
        if data and data[0] == packets.VERSION:
            self._receive_packet(data, address)
        else:
            self._receive_message(data, address)

    def _receive_packet(self, data, address):
        try:
            packet = self._decode(data)
        except exceptions.ProtocolError as error:
            metrics.PACKETS_DROPPED.labels(error.code).inc()
            return
        if self._on_packet is not None:
            self._on_packet(packet, address)

    def _decode_uncached(self, data):
        return packets.decode(data, self.keys)

    def _receive_message(self, data, address):
        metrics.CONTROL_BYTES.labels("in").inc(len(data))
        try:
            sealed, message = self._sealer.open(data, time.time())
        except exceptions.ProtocolError as error:
            metrics.CONTROL_REJECTED.labels(error.code).inc()
            return
        handler = self._handlers_by_kind.get(sealed.kind)
        if handler is None:
            metrics.CONTROL_REJECTED.labels("unexpected").inc()
            return
        handler(sealed, message, address)

    def close(self):
        """Close the socket."""
        self._socket.close()
