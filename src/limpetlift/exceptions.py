"""The exception hierarchy: one base class and one subclass for each layer.

Each class has a ``code``, a stable short word for logs, metrics and responses.
A layer catches the errors of the layer below and raises its own.
"""


class LimpetliftError(Exception):
    """Base class of all errors of the package.

    :param message: description of the error for people.
    :param code: overrides the code of the class.
    """

    code = "internal"

    def __init__(self, message="", code=None):
        super().__init__(message)
        if code is not None:
            self.code = code


class TransportError(LimpetliftError):
    """A socket failed or was closed, or delivered an invalid frame."""

    code = "transport"


class ConnectionClosed(TransportError):
    """The peer closed the connection."""

    code = "connection_closed"


class FrameTooLarge(TransportError):
    """A frame exceeds the maximum size."""

    code = "frame_too_large"


class ProtocolError(LimpetliftError):
    """A message or packet does not follow the protocol."""

    code = "protocol"


class MalformedMessage(ProtocolError):
    """The bytes cannot be decoded as a known message."""

    code = "malformed"


class BadDigest(ProtocolError):
    """The keyed digest does not match any configured key."""

    code = "bad_digest"


class ReplayedMessage(ProtocolError):
    """The message was sent too long ago or was received before."""

    code = "replayed"


class PeerClosed(ProtocolError):
    """The connection to another process ended."""

    code = "peer_closed"


class Refused(ProtocolError):
    """A request was refused.

    :param refusal: the refusal code, a key of
        :data:`limpetlift.protocol.refusal.refusals_by_code`.
    :param retry_at: address of an agent that may have room, or an empty
        string.
    """

    code = "refused"

    def __init__(self, refusal, message="", retry_at=""):
        super().__init__(message or refusal)
        self.refusal = refusal
        self.retry_at = retry_at


class CoordinationError(LimpetliftError):
    """Shared state could not be read or changed."""

    code = "coordination"


class StoreUnavailable(CoordinationError):
    """The store did not answer; a write had no effect."""

    code = "store_unavailable"


class StoreOutcomeUnknown(CoordinationError):
    """The response to a write was lost; the write may have taken effect."""

    code = "store_outcome_unknown"


class StoreConflict(CoordinationError):
    """A compare-and-swap found another value than expected; nothing changed.

    :param entries_by_key: the current entries of the compared and written
        keys, ``None`` for a key that does not exist.
    """

    code = "store_conflict"

    def __init__(self, message="", entries_by_key=None):
        super().__init__(message)
        self.entries_by_key = entries_by_key or {}


class EraMismatch(CoordinationError):
    """Revisions of different eras of the store were compared."""

    code = "era_mismatch"


class LeaseEnded(CoordinationError):
    """A write referred to a lease that has ended; it had no effect."""

    code = "lease_ended"


class ConfigIncomplete(CoordinationError):
    """A configuration lacks bytes or does not match its digest."""

    code = "config_incomplete"


class ConfigOverlap(CoordinationError):
    """Another operator changed the same settings; nothing was applied.

    :param problems: one line for each setting that both operators changed.
    """

    code = "config_overlap"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(self.problems))


class StateError(LimpetliftError):
    """An operation, an argument or a setting is invalid."""

    code = "state"


class SettingsError(StateError):
    """Settings or a configuration are invalid.

    :param problems: one line for each problem, with the file, the path of the
        key and the expected value.
    """

    code = "settings"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(self.problems))
