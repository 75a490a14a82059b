"""uvicorn's HTTP protocol with header limits, clear errors and timeouts."""

from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from camphorgated.ext.gateway.errors import GatewayError, encode_error, error_headers

MAX_HEAD_SECONDS = 10.0
# Timeout for a caller that reads nothing, or sends nothing of a declared body.
MAX_CALLER_SILENCE_SECONDS = 30.0
SCOPE_KEY = "camphorgate.protocol"


class _HeadRejected(Exception):
    """Aborts parsing from within a parser callback."""


class CallerProtocol(HttpToolsProtocol):
    """One connection of a caller."""

    gateway: Any = None

    def connection_made(self, transport) -> None:
        """Start to wait for a request head."""
        super().connection_made(transport)
        self.on_disconnected = None
        self.body_awaited_since: float | None = None
        self._refusal = GatewayError("bad_request", "the request is malformed")
        self._head_bytes = 0
        self._head_since: float | None = self.gateway.now()
        self._paused_since: float | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the running request that its caller has disconnected."""
        on_disconnected, self.on_disconnected = self.on_disconnected, None
        super().connection_lost(exc)
        if on_disconnected is not None:
            on_disconnected()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, with a size limit for an incomplete head."""
        if self.parser is None or self.transport.is_closing():
            return
        if self._head_since is None and self.cycle is None:
            self._head_since = self.gateway.now()
        super().data_received(data)
        if self._head_since is None:
            return
        self._head_bytes += len(data)
        if self._head_bytes > 2 * self.gateway.limits.header_bytes:
            self._set_header_size_refusal()
            self.send_400_response("")

    def on_message_begin(self) -> None:
        """Start a new request head."""
        super().on_message_begin()
        self._head_bytes = 0
        self._head_since = self.gateway.now()
        self.scope["extensions"] = {SCOPE_KEY: self}

    def on_url(self, url: bytes) -> None:
        """Append a part of the target and check its length."""
        super().on_url(url)
        if len(self.url) > self.gateway.limits.header_bytes:
            self._set_header_size_refusal()
            raise _HeadRejected

    def on_headers_complete(self) -> None:
        """Check the head and begin the request."""
        size = len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers)
        if size > self.gateway.limits.header_bytes:
            self._set_header_size_refusal()
            raise _HeadRejected
        if self.parser.should_upgrade():
            message = "protocol upgrades and tunnels are not offered"
            self._refusal = GatewayError("bad_request", message)
            raise _HeadRejected
        self._head_since = None
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Send an error for an invalid request, and close the connection."""
        if self.cycle is not None and not self.cycle.response_complete:
            # A response is being sent, and a second head would corrupt it.
            self.transport.abort()
            return
        error = self._refusal
        request_id = self.gateway.next_request_id()
        body = encode_error(error.code, error.message, error.run, request_id)
        headers = [
            *error_headers(error.status, 0),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
            (b"x-request-id", request_id.encode()),
        ]
        lines = [STATUS_LINE[error.status]]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        self.transport.write(b"".join([*lines, b"\r\n", body]))
        self.transport.close()

    def abort(self) -> None:
        """Abort the connection, so that a truncated response does not seem complete."""
        self.transport.abort()

    def check_timeouts(self, now: float) -> None:
        """Abort the connection if its caller has exceeded a timeout."""
        if self.flow is None or self.transport.is_closing():
            return
        if not self.flow.write_paused:
            self._paused_since = None
        elif self._paused_since is None:
            self._paused_since = now
        timeouts = (
            (self._head_since, MAX_HEAD_SECONDS),
            (self._paused_since, MAX_CALLER_SILENCE_SECONDS),
            (self.body_awaited_since, MAX_CALLER_SILENCE_SECONDS),
        )
        if any(
            started_at is not None and now - started_at > limit
            for started_at, limit in timeouts
        ):
            self.transport.abort()

    def _set_header_size_refusal(self) -> None:
        limit = self.gateway.limits.header_bytes
        message = f"the request line and headers exceed {limit} bytes"
        self._refusal = GatewayError("header_too_large", message)


def make_protocol(gateway: Any) -> type[CallerProtocol]:
    """Return the protocol class of one gateway."""
    return type("GatewayProtocol", (CallerProtocol,), {"gateway": gateway})
