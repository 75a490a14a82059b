"""Errors of the serving extensions."""

from camphorgate.errors import CamphorgateError
from camphorgate.serving.catalog import Stage


class ExchangeError(CamphorgateError):
    """One try at an upstream failed; ``stage`` tells how far it had come."""

    code = "exchange_failed"

    def __init__(self, message: str, stage: Stage, cause: str) -> None:
        """Keep how far the try had come.

        :param cause: short name of what went wrong, for logs and health.
        """
        super().__init__(message)
        self.stage = stage
        self.cause = cause


class BadRequest(CamphorgateError):
    """The bytes of a caller are no acceptable request."""

    code = "bad_request"

    def __init__(self, message: str, status: int) -> None:
        """Keep the status of the answer."""
        super().__init__(message)
        self.status = status


class CallFailed(CamphorgateError):
    """A call to an outside system got no usable answer.

    ``sent`` tells whether the call may have had an effect.
    """

    code = "call_failed"

    def __init__(self, message: str, sent: bool) -> None:
        """Keep whether the call may have arrived."""
        super().__init__(message)
        self.sent = sent


class EndlessEvent(CamphorgateError):
    """An upstream sends an event that does not end."""

    code = "endless_event"
