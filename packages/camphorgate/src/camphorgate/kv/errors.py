"""Errors of the key-value client; the difference is what is known of the outcome."""

from camphorgate.errors import CamphorgateError


class KvError(CamphorgateError):
    """Base of the errors of this layer."""

    code = "kv_error"


class KvUnavailable(KvError):
    """The call failed and certainly had no effect."""

    code = "kv_unavailable"


class KvOutcomeUnknown(KvError):
    """A write was sent, and whether it took effect is not known."""

    code = "kv_outcome_unknown"


class KvRefused(KvError):
    """The service answered that the call is invalid; it had no effect."""

    code = "kv_refused"


class KvConflict(KvError):
    """The conditions of a transaction do not hold, and its write is not in effect.

    ``may_have_applied`` is true if an earlier attempt had an unknown outcome: then the
    write may have been in effect and been replaced since.
    """

    code = "kv_conflict"

    def __init__(self, message: str, may_have_applied: bool = False) -> None:
        """Keep the message and what is known of earlier attempts."""
        super().__init__(message)
        self.may_have_applied = may_have_applied
