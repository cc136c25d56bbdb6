"""Stored answers of requests with an idempotency key, bounded in bytes."""

import collections

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import actions


@attrs.define
class AnswerStore:
    """Encoded answers by key; the oldest are removed when space runs out.

    :param limit_bytes: maximum size of all answers together.

    .. versionadded:: 0.1
    """

    limit_bytes: int = defaults.MAX_STORED_ANSWERS_TOTAL_BYTES
    _data_by_key: collections.OrderedDict = attrs.field(
        init=False, factory=collections.OrderedDict
    )
    _size_bytes: int = attrs.field(init=False, default=0)

    def put(self, key, answer):
        """Store the answer for ``key``; one that is too large is ignored.

        :param answer: a :class:`limpetlift.state.actions.Answer`.
        """
        data = encode(answer)
        if len(data) > min(defaults.MAX_STORED_ANSWER_BYTES, self.limit_bytes):
            return
        self.drop(key)
        self._data_by_key[key] = data
        self._size_bytes += len(data)
        while self._size_bytes > self.limit_bytes:
            self.drop(next(iter(self._data_by_key)))

    def get(self, key):
        """Return the encoded answer for ``key``, or None if none is stored."""
        return self._data_by_key.get(key)

    def drop(self, key):
        """Remove the answer for ``key``, if there is one."""
        self._size_bytes -= len(self._data_by_key.pop(key, b""))


def encode(answer):
    """Encode an :class:`limpetlift.state.actions.Answer` as bytes."""
    headers = [
        messages.structs.Header(name=name, value=value)
        for name, value in answer.headers
    ]
    return messages.encode(
        messages.structs.StoredAnswer(
            status=answer.status, headers=headers, body=answer.body
        )
    )


def decode(data):
    """Decode an :class:`limpetlift.state.actions.Answer`.

    :raises StateError: when the data is not an encoded answer.
    """
    try:
        message = messages.decode("StoredAnswer", data)
    except exceptions.MalformedMessage as error:
        raise exceptions.StateError(
            "stored answer of %d bytes is malformed" % len(data)
        ) from error
    headers = tuple((header.name, header.value) for header in message.headers)
    return actions.Answer(message.status, headers, message.body)
