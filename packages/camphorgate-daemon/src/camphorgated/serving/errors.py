"""Errors of the serving extensions."""

from camphorgate.errors import CamphorgateError
from camphorgate.serving.catalog import Stage


class ExchangeError(CamphorgateError):
    """An attempt at an upstream failed; ``stage`` tells how far it had progressed."""

    code = "exchange_failed"

    def __init__(self, message: str, stage: Stage, cause: str) -> None:
        """Initialize with the stage of the attempt.

        :param cause: short name of the cause, for logs and health tracking.
        """
        super().__init__(message)
        self.stage = stage
        self.cause = cause


class BadRequest(CamphorgateError):
    """A caller sent a malformed or unacceptable request."""

    code = "bad_request"

    def __init__(self, message: str, status: int) -> None:
        """Initialize with the status of the response."""
        super().__init__(message)
        self.status = status
        self.retry_after: float | None = None


class MemoryFull(BadRequest):
    """A request is refused as the memory budget is used up; it has not run."""

    code = "memory_full"

    def __init__(self, retry_after: float) -> None:
        """Initialize with the status of a refusal.

        :param retry_after: seconds after which the caller may retry.
        """
        super().__init__("the memory budget is used up", 503)
        self.retry_after = retry_after


class InvalidStatus(CamphorgateError):
    """A server sent a status that no response has."""

    code = "invalid_status"


class CallFailed(CamphorgateError):
    """A call to an external system got no usable response.

    ``sent`` tells whether the call may have had an effect.
    """

    code = "call_failed"

    def __init__(self, message: str, sent: bool) -> None:
        """Initialize with whether the call may have been received."""
        super().__init__(message)
        self.sent = sent


class EventTooLarge(CamphorgateError):
    """An upstream sent an event that exceeds the size limit."""

    code = "endless_event"


class MalformedEvent(CamphorgateError):
    """An upstream sent bytes in a stream that are no event."""

    code = "malformed_event"
