"""Authenticated envelopes around control messages.

An envelope is a thrift ``Envelope`` followed by a keyed blake2b digest. It is
accepted when a configured key gives the same digest, its time stamp is
recent, and its counter was not seen before from the same sender.
"""

import hashlib
import hmac

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages

# A sender's counters may arrive out of order by this many messages.
_WINDOW = 1024


@attrs.define
class _Window:
    """Counters received from one incarnation of a sender."""

    incarnation: int
    highest: int = 0
    seen: int = 0

    def accept(self, counter):
        if counter > self.highest:
            shift = min(counter - self.highest, _WINDOW)
            self.seen = ((self.seen << shift) | 1) & ((1 << _WINDOW) - 1)
            self.highest = counter
            return True
        behind = self.highest - counter
        if behind >= _WINDOW or self.seen >> behind & 1:
            return False
        self.seen |= 1 << behind
        return True


@attrs.define
class Sealer:
    """Seals and opens envelopes for one process.

    :param sender: the id of this process.
    :param incarnation: start time of this process in milliseconds.
    :param keys: shared keys as bytes; the first one signs, all verify.

    .. versionadded:: 0.1
    """

    sender: str
    incarnation: int
    keys: list
    _counter: int = 0
    _windows_by_sender: dict = attrs.field(factory=dict)

    def seal(self, message, wall_time):
        """Return the sealed bytes of ``message``.

        :param wall_time: seconds since the epoch.
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
        """Return ``(envelope, message)``.

        :raises BadDigest: when no key matches.
        :raises ReplayedMessage: when it is too old or was seen before.
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
            raise exceptions.BadDigest("no key matches")
        envelope = messages.decode("Envelope", content)
        self._check_fresh(envelope, wall_time)
        return envelope, messages.decode(envelope.kind, envelope.body)

    def _check_fresh(self, envelope, wall_time):
        age = abs(wall_time - envelope.sent_ms / 1000)
        if age > defaults.MAX_ENVELOPE_AGE_S:
            raise exceptions.ReplayedMessage("%.0f s old" % age)
        window = self._windows_by_sender.get(envelope.sender)
        if window is None or envelope.incarnation > window.incarnation:
            window = _Window(envelope.incarnation)
            self._windows_by_sender[envelope.sender] = window
        if envelope.incarnation < window.incarnation:
            raise exceptions.ReplayedMessage("an earlier incarnation")
        if not window.accept(envelope.counter):
            raise exceptions.ReplayedMessage("counter seen before")


def _digest(key, data):
    return hashlib.blake2b(
        data, key=key, digest_size=defaults.ENVELOPE_DIGEST_BYTES
    ).digest()
