"""Errors of the request path: error codes for callers, and upstream faults."""

import msgspec

from camphorgate.errors import CamphorgateError

# HTTP status of each code, and whether the request ran.
_STATUS_AND_RUN_BY_CODE = {
    "bad_request": (400, "not_run"),
    "key_missing": (401, "not_run"),
    "key_unknown": (401, "not_run"),
    "route_unknown": (404, "not_run"),
    "model_unknown": (404, "not_run"),
    "body_too_large": (413, "not_run"),
    "header_too_large": (431, "not_run"),
    "limit_exceeded": (429, "not_run"),
    "queue_full": (503, "not_run"),
    "deadline_unreachable": (503, "not_run"),
    "no_upstream": (503, "not_run"),
    "configuration_stale": (503, "not_run"),
    "claims_unavailable": (503, "not_run"),
    "shutting_down": (503, "not_run"),
    "outcome_unknown": (502, "unknown"),
    "upstream_timeout": (504, "unknown"),
    "stream_broken": (502, "unknown"),
    "internal_error": (500, "unknown"),
}
_STATUSES_WITH_RETRY_AFTER = frozenset({429, 503})
DEFAULT_RETRY_AFTER_SECONDS = 1.0


class GatewayError(CamphorgateError):
    """An error response that the gateway itself generates."""

    def __init__(
        self,
        code: str,
        message: str,
        *,
        retry_after: float = DEFAULT_RETRY_AFTER_SECONDS,
        status: int | None = None,
    ) -> None:
        """Store the code and derive the status from it.

        :param code: one of the codes in the design page, section 4.
        :param retry_after: seconds after which a caller may retry.
        :param status: HTTP status, where it differs from the code's.
        """
        super().__init__(message, code)
        default_status, self.run = _STATUS_AND_RUN_BY_CODE[code]
        self.status = status or default_status
        self.retry_after = retry_after


class UpstreamFault(CamphorgateError):
    """An exchange with an upstream failed.

    ``sent`` tells whether the request may have run: part of it may have been sent,
    and the upstream did not reject it.
    """

    code = "upstream_broken"

    def __init__(self, message: str, *, sent: bool = True) -> None:
        """Store the message and whether part of the request may have been sent."""
        super().__init__(message)
        self.sent = sent


class UpstreamRefused(UpstreamFault):
    """Connecting failed, or the upstream rejected the request without running it."""

    code = "upstream_refused"


class UpstreamOverloaded(UpstreamRefused):
    """The upstream reported that it has no capacity; it did not run the request."""

    code = "upstream_overloaded"


class StreamUnknown(UpstreamRefused):
    """The engine does not know the stream that it should resume."""

    code = "stream_unknown"


class StaleConnection(UpstreamFault):
    """A reused connection was already closed; nothing was received on it."""

    code = "stale_connection"


class UpstreamSilent(UpstreamFault):
    """The upstream sent no data before the deadline."""

    code = "upstream_silent"


class WrongRequestId(UpstreamFault):
    """The response belongs to another request."""

    code = "wrong_request_id"


def execution_status(outcome: str) -> str:
    """Return whether a request ran, from the outcome of its record.

    :returns: ``"run"``, ``"not_run"`` or ``"unknown"``.
    """
    if outcome == "ok":
        return "run"
    return _STATUS_AND_RUN_BY_CODE.get(outcome, (0, "unknown"))[1]


def encode_error(code: str, message: str, run: str, request_id: str) -> bytes:
    """Return the body of an error response."""
    error = {"code": code, "message": message, "run": run, "request_id": request_id}
    return msgspec.json.encode({"error": error})


def error_headers(status: int, retry_after: float) -> list[tuple[bytes, bytes]]:
    """Return the headers that an error response adds.

    :param retry_after: seconds; rounded up to whole seconds as HTTP requires.
    """
    headers = [(b"content-type", b"application/json")]
    if status in _STATUSES_WITH_RETRY_AFTER:
        seconds = max(1, int(-(-retry_after // 1)))
        headers.append((b"retry-after", b"%d" % seconds))
    return headers
