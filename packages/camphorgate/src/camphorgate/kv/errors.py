"""Errors of the key-value client, divided by what is known about the outcome."""

from camphorgate.errors import CamphorgateError


class KvError(CamphorgateError):
    """Base class of the errors of the key-value client."""

    code = "kv_error"


class KvUnavailable(KvError):
    """The call failed and definitely had no effect."""

    code = "kv_unavailable"


class KvCallsBounded(KvUnavailable):
    """The call was not sent, as calls to a failing service are bounded."""

    code = "kv_calls_bounded"


class KvOutcomeUnknown(KvError):
    """A write was sent, but it is not known whether it took effect."""

    code = "kv_outcome_unknown"


class KvRefused(KvError):
    """The service rejected the call as invalid; it had no effect."""

    code = "kv_refused"


class KvConflict(KvError):
    """The conditions of a transaction do not hold, and its write is not in effect.

    ``may_have_applied`` is true if an earlier attempt had an unknown outcome: the write
    may then have been applied and overwritten since.
    """

    code = "kv_conflict"

    def __init__(self, message: str, may_have_applied: bool = False) -> None:
        """Store the message and whether an earlier attempt may have been applied."""
        super().__init__(message)
        self.may_have_applied = may_have_applied
