"""Sizes of the control messages that a process sends."""

from limpetlift import defaults
from limpetlift.protocol import messages


def wire_size_bytes(message):
    """Return the size of a message on the wire, headers included."""
    return len(messages.encode(message)) + defaults.MESSAGE_OVERHEAD_BYTES
