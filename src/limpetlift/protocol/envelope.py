"""Authenticated envelopes around control messages.

An envelope is a thrift ``Envelope`` followed by its keyed BLAKE2b digest. It
is accepted when the digest matches one of the configured keys, its timestamp
is recent, and its counter was not received before from the same sender.
"""

import hashlib
import hmac

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages

# A counter that is this far or farther below the highest one received from its
# sender is rejected.
_REPLAY_WINDOW_MESSAGES = 1024


@attrs.define
class _ReplayWindow:
    """The counters received from one incarnation of a sender.

    :param incarnation: the incarnation of the sender.
    :param highest: the highest counter received.
    :param received_bits: bit ``n`` is set if ``highest - n`` was received.
    """

    incarnation: int
    highest: int = 0
    received_bits: int = 0

    def accept(self, counter):
        """Record ``counter``; return whether it is new and in the window."""
        if counter > self.highest:
            shift = min(counter - self.highest, _REPLAY_WINDOW_MESSAGES)
            self.received_bits = ((self.received_bits << shift) | 1) & (
                (1 << _REPLAY_WINDOW_MESSAGES) - 1
            )
            self.highest = counter
            return True
        distance = self.highest - counter
        if (
            distance >= _REPLAY_WINDOW_MESSAGES
            or self.received_bits >> distance & 1
        ):
            return False
        self.received_bits |= 1 << distance
        return True


@attrs.define
class Sealer:
    """Seals and opens envelopes for one process.

    :param sender: the id of this process.
    :param incarnation: start time of this process in milliseconds.
    :param keys: shared keys as bytes; the first one signs, and all of them
        verify.

    .. versionadded:: 0.1
    """

    sender: str
    incarnation: int
    keys: list
    _counter: int = 0
    _windows_by_sender: dict = attrs.field(factory=dict)

    def seal(self, message, wall_time):
        """Return the bytes of an envelope that holds ``message``.

        :param wall_time: current time in seconds since the Unix epoch.
        """
        self._counter += 1
        data = messages.encode(
            messages.structs.Envelope(
                sender=self.sender,
                incarnation=self.incarnation,
                sent_ms=int(wall_time * 1000),
                counter=self._counter,
                kind=type(message).__name__,
                body=messages.encode(message),
            )
        )
        return data + _digest(self.keys[0], data)

    def open(self, data, wall_time):
        """Verify an envelope and return ``(envelope, message)``.

        :param data: bytes made by :meth:`seal`.
        :param wall_time: current time in seconds since the Unix epoch.
        :raises BadDigest: when the digest matches none of the keys.
        :raises ReplayedMessage: when the timestamp is not recent, the sender
            is an earlier incarnation, or the counter was received before.
        :raises MalformedMessage: when the content is not a message.
        """
        content, digest = (
            data[: -defaults.ENVELOPE_DIGEST_BYTES],
            data[-defaults.ENVELOPE_DIGEST_BYTES :],
        )
        if not any(
            hmac.compare_digest(_digest(key, content), digest)
            for key in self.keys
        ):
            raise exceptions.BadDigest(
                "the digest matches none of the configured keys"
            )
        envelope = messages.decode("Envelope", content)
        self._check_fresh(envelope, wall_time)
        return envelope, messages.decode(envelope.kind, envelope.body)

    def _check_fresh(self, envelope, wall_time):
        difference_s = abs(wall_time - envelope.sent_ms / 1000)
        if difference_s > defaults.MAX_ENVELOPE_AGE_S:
            raise exceptions.ReplayedMessage(
                "timestamp differs by %.0f s from the local clock"
                % difference_s
            )
        window = self._windows_by_sender.get(envelope.sender)
        if window is None or envelope.incarnation > window.incarnation:
            window = _ReplayWindow(envelope.incarnation)
            self._windows_by_sender[envelope.sender] = window
        if envelope.incarnation < window.incarnation:
            raise exceptions.ReplayedMessage(
                "sent by an earlier incarnation of the sender"
            )
        if not window.accept(envelope.counter):
            raise exceptions.ReplayedMessage(
                "counter was received before or is below the replay window"
            )


def _digest(key, data):
    return hashlib.blake2b(
        data, key=key, digest_size=defaults.ENVELOPE_DIGEST_BYTES
    ).digest()
