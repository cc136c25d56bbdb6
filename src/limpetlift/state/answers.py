"""Stored answers of requests with a key, bounded in bytes."""

import collections

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import actions


@attrs.define
class AnswerStore:
    """Encoded answers by key; the oldest make room for new ones.

    :param limit: bytes of all answers together.

    .. versionadded:: 0.1
    """

    limit: int = defaults.MAX_STORED_ANSWERS_TOTAL_BYTES
    _data_by_key: collections.OrderedDict = attrs.field(
        init=False, factory=collections.OrderedDict
    )
    _size: int = attrs.field(init=False, default=0)

    def put(self, key, answer):
        """Store an answer unless it is too large."""
        data = encode(answer)
        if len(data) > min(defaults.MAX_STORED_ANSWER_BYTES, self.limit):
            return
        self.drop(key)
        self._data_by_key[key] = data
        self._size += len(data)
        while self._size > self.limit:
            self.drop(next(iter(self._data_by_key)))

    def get(self, key):
        """Return the encoded answer of ``key``, or None."""
        return self._data_by_key.get(key)

    def drop(self, key):
        """Forget the answer of ``key``."""
        self._size -= len(self._data_by_key.pop(key, b""))


def encode(answer):
    """Return the bytes of an :class:`limpetlift.state.actions.Answer`."""
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
    """Return the :class:`limpetlift.state.actions.Answer` in ``data``.

    :raises StateError: when the data is not an answer.
    """
    try:
        stored = messages.decode("StoredAnswer", data)
    except exceptions.MalformedMessage as error:
        raise exceptions.StateError("stored answer is malformed") from error
    headers = tuple((header.name, header.value) for header in stored.headers)
    return actions.Answer(stored.status, headers, stored.body)
