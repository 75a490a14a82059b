"""One caller request: reads its body and writes its response."""

import asyncio
from typing import Any

from starlette.types import Receive, Scope, Send

from camphorgate.manifest import Workspace
from camphorgated.ext.gateway.errors import GatewayError, encode_error, error_headers
from camphorgated.ext.gateway.protocol import SCOPE_KEY, CallerProtocol
from camphorgated.ext.gateway.records import RequestRecord

# An unread rest of a body up to this size is drained to keep the connection open.
MAX_DRAINED_BODY_BYTES = 65536


class CallerDisconnected(Exception):
    """The caller closed its connection before its body was complete."""


class RequestContext:
    """Reads from and writes to one caller.

    ``response_started`` tells whether the status was sent. From then on an error can
    only be reported by aborting the connection, or within a stream.
    """

    __slots__ = (
        "gateway",
        "scope",
        "record",
        "arrived_at",
        "response_started",
        "response_complete",
        "detached",
        "_receive",
        "_send",
        "_protocol",
        "_task",
        "_body_done",
        "_body_bytes",
    )

    def __init__(self, gateway: Any, scope: Scope, receive: Receive, send: Send):
        """Wrap a request whose headers are complete."""
        self.gateway = gateway
        self.scope = scope
        self.arrived_at = gateway.now()
        self.record = RequestRecord(
            gateway.next_request_id(), self.arrived_at, scope["method"], scope["path"]
        )
        self.response_started = False
        self.response_complete = False
        self.detached = False
        self._receive = receive
        self._send = send
        self._protocol: CallerProtocol | None = scope["extensions"][SCOPE_KEY]
        self._task = asyncio.current_task()
        self._body_done = False
        self._body_bytes = 0
        self._protocol.on_disconnected = self._on_caller_disconnected

    @property
    def dispatch_id(self) -> str:
        """Return the id of the current dispatch, which contains the request's id."""
        return f"{self.record.request_id}.{self.record.attempts}"

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the caller's headers, names in lower case."""
        return self.scope["headers"]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def check_body_length(self) -> int | None:
        """Return the declared length of the body, ``None`` if it is chunked.

        :raises GatewayError: if it is over the limit.
        """
        announced = self.header(b"content-length")
        if announced is None:
            return None if self.header(b"transfer-encoding") is not None else 0
        length = int(announced)
        if length > self.gateway.limits.body_bytes:
            raise self._too_large()
        return length

    async def read(self) -> bytes:
        """Return the next chunk of the body, ``b""`` at its end.

        :raises CallerDisconnected: if the caller closed its connection.
        :raises GatewayError: if the body is over the limit.
        """
        while not self._body_done:
            self._protocol.body_awaited_since = self.gateway.now()
            try:
                message = await self._receive()
            finally:
                self._protocol.body_awaited_since = None
            if message["type"] == "http.disconnect":
                raise CallerDisconnected
            self._body_done = not message["more_body"]
            body = message["body"]
            self._body_bytes += len(body)
            if self._body_bytes > self.gateway.limits.body_bytes:
                raise self._too_large()
            if body:
                return body
        return b""

    async def read_all(self) -> bytes:
        """Return the whole body."""
        self.check_body_length()
        chunks = []
        while chunk := await self.read():
            chunks.append(chunk)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    async def start_response(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send status and headers, with X-Request-Id added."""
        self.response_started = True
        self.record.status = status
        headers.append((b"x-request-id", self.record.request_id.encode()))
        if self.gateway.leaving:
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, body: bytes, more: bool = True) -> None:
        """Send a part of the response body.

        :param more: whether more of the body follows.
        """
        if not more:
            self.response_complete = True
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    def try_write(self, body: bytes) -> bool:
        """Send a part of a chunked response body without waiting.

        Frames the chunk as uvicorn would; uvicorn's ``send`` costs more than the write.

        :returns: whether that was possible; if not, :meth:`write` waits until the
            caller has read what was sent before.
        """
        protocol = self._protocol
        if protocol.flow.write_paused or not protocol.cycle.chunked_encoding:
            return False
        if not protocol.cycle.disconnected:
            protocol.transport.write(b"%x\r\n%b\r\n" % (len(body), body))
        return True

    async def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        headers.append((b"content-length", b"%d" % len(body)))
        await self.start_response(status, headers)
        await self.write(body, more=False)

    async def send_error(self, error: GatewayError) -> None:
        """Send an error response, or abort the connection if a response has started."""
        self.record.outcome = error.code
        if self.response_started:
            if not self.response_complete:
                self.abort()
            return
        message = error.message
        body = encode_error(error.code, message, error.run, self.record.request_id)
        headers = error_headers(error.status, error.retry_after)
        if self._has_large_unread_body():
            # Draining the rest of the body would take too long.
            headers.append((b"connection", b"close"))
        await self.send_response(error.status, headers, body)

    def abort(self) -> None:
        """Abort the caller's connection, so that a truncated response is detectable."""
        self.response_complete = True
        if self._protocol is not None:
            self._protocol.abort()

    def close(self) -> None:
        """Stop watching the caller's connection."""
        if self._protocol is not None:
            self._protocol.on_disconnected = None

    def set_workspace(self, workspace: Workspace) -> None:
        """Record the workspace that the request runs for."""
        self.record.workspace = workspace.name
        self.record.weight = workspace.weight

    def _has_large_unread_body(self) -> bool:
        """Return whether a large part of the body may still be unread."""
        if self._body_done:
            return False
        if self.header(b"transfer-encoding") is not None:
            return True
        rest = int(self.header(b"content-length") or 0) - self._body_bytes
        return rest > MAX_DRAINED_BODY_BYTES

    def _on_caller_disconnected(self) -> None:
        if not self.detached and not self.response_complete:
            self._task.cancel()

    def _too_large(self) -> GatewayError:
        limit = self.gateway.limits.body_bytes
        return GatewayError("body_too_large", f"the body exceeds {limit} bytes")
