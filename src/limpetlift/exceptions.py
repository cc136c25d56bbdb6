"""The exception tree: one base, one branch for each layer.

Each class carries a ``code``, a stable short word for logs, metrics and
answers. A layer catches the errors of the layer below and raises its own.
"""


class LimpetliftError(Exception):
    """Base of all errors of the package.

    :param message: what went wrong, for a person.
    :param code: overrides the code of the class.
    """

    code = "internal"

    def __init__(self, message="", code=None):
        super().__init__(message)
        if code is not None:
            self.code = code


class TransportError(LimpetliftError):
    """A socket failed, closed or delivered an impossible frame."""

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
    """The bytes are not a known message."""

    code = "malformed"


class BadDigest(ProtocolError):
    """The keyed digest does not match any configured key."""

    code = "bad_digest"


class ReplayedMessage(ProtocolError):
    """The message is too old or was received before."""

    code = "replayed"


class PeerClosed(ProtocolError):
    """The connection to another process ended."""

    code = "peer_closed"


class Refused(ProtocolError):
    """A request was refused.

    :param refusal: the code, a key of ``refusal.refusals_by_code``.
    :param retry_at: address of an agent that may have room, or empty.
    """

    code = "refused"

    def __init__(self, refusal, message="", retry_at=""):
        super().__init__(message or refusal)
        self.refusal = refusal
        self.retry_at = retry_at


class CoordinationError(LimpetliftError):
    """Processes could not agree on something."""

    code = "coordination"


class StoreUnavailable(CoordinationError):
    """The store did not answer; a write had no effect."""

    code = "store_unavailable"


class StoreOutcomeUnknown(CoordinationError):
    """The answer to a write was lost; the write may have taken effect."""

    code = "store_outcome_unknown"


class StoreConflict(CoordinationError):
    """A compare-and-swap found another value; it had no effect.

    :param entries_by_key: the current entries of the compared and of the
        written keys, ``None`` for an absent one.
    """

    code = "store_conflict"

    def __init__(self, message="", entries_by_key=None):
        super().__init__(message)
        self.entries_by_key = entries_by_key or {}


class LeaseEnded(CoordinationError):
    """A write named a lease that has ended; it had no effect."""

    code = "lease_ended"


class ConfigIncomplete(CoordinationError):
    """The bytes of a configuration are missing or have another digest."""

    code = "config_incomplete"


class ConfigOverlap(CoordinationError):
    """Another operator changed the same settings; nothing was applied.

    :param problems: one line for each setting that both changed.
    """

    code = "config_overlap"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(self.problems))


class StateError(LimpetliftError):
    """A decision or a setting is invalid."""

    code = "state"


class SettingsError(StateError):
    """Settings or configuration are invalid.

    :param problems: one line for each problem: file, key path, expectation.
    """

    code = "settings"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(self.problems))
