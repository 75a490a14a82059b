"""A scripted worker: each response follows a script, down to the bytes sent."""

import asyncio
import contextlib
import socket
import struct

from tests.hosted import free_address

EVENTS = 6
# Upper bound of an unbounded response, so that a test fails instead of hanging.
MAX_UNBOUNDED_BYTES = 64 * 2**20
# Pause between two events of a slow but healthy stream.
SLOW_PAUSE_SECONDS = 1.5
# Delay of a response head that uses up most of a deadline.
LATE_HEAD_SECONDS = 0.9
# How long a connection stays half closed; longer than any deadline of these tests.
HALF_CLOSED_SECONDS = 3.0
# Behaviours that begin before the body of the request has been read.
_EARLY = {"refuse_early", "respond_early"}
# SO_LINGER with a timeout of zero: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ScriptedWorker:
    """Handles each request with the next behaviour of a script shared by all workers.

    A behaviour ``x`` is implemented by the method ``act_x`` of
    :class:`ScriptedRequest`; ``x:1:2`` passes the arguments ``1`` and ``2``. ``runs``
    lists the executed requests: worker id, attempt id and received headers.
    """

    def __init__(self, worker_id: str, script: list[str], engine: bool = False) -> None:
        """Initialize without any recorded request.

        :param script: behaviours; requests after the last one get a normal response.
        :param engine: whether responses are event streams.
        """
        self.id = worker_id
        self.script = script
        self.engine = engine
        self.runs: list[tuple[str, str, dict]] = []
        self.arrivals: list[tuple[str, str]] = []
        # Bytes sent of unbounded responses, and whether one reached its upper bound.
        self.unbounded_bytes = 0
        self.unbounded_sent = False
        self.last_attempt = ""
        self.refusal_by_writer: dict[asyncio.StreamWriter, bytes] = {}
        self.address = free_address()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The daemon or the end of the test closed the connection.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        """Serve a request and return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        behaviour = self.script.pop(0) if self.script else "respond"
        name, *arguments = behaviour.split(":")
        request = ScriptedRequest(self, reader, writer, headers)
        self.arrivals.append((self.id, request.attempt))
        if name not in _EARLY:
            await reader.readexactly(int(headers.get("content-length", "0")))
        keep_alive = await getattr(request, f"act_{name}")(*arguments)
        self.last_attempt = request.attempt
        return bool(keep_alive)


class ScriptedRequest:
    """One request at a scripted worker."""

    def __init__(self, worker: ScriptedWorker, reader, writer, headers: dict) -> None:
        """Wrap a request whose head has been read."""
        self.worker = worker
        self.reader = reader
        self.writer = writer
        self.headers = headers
        self.attempt = headers.get("x-attempt-id", "")

    def record_run(self) -> None:
        """Record that this worker executed the request."""
        self.worker.runs.append((self.worker.id, self.attempt, self.headers))

    def build_body(self) -> bytes:
        """Return the complete body of a normal response."""
        if self.worker.engine:
            return b"".join(self.build_events())
        return f"ran {self.attempt} at {self.worker.id}".encode()

    def build_events(self) -> list[bytes]:
        """Return the events after the ``last-event-id`` of the request."""
        first = int(self.headers.get("last-event-id", "0")) + 1
        return [build_event(self.attempt, n) for n in range(first, EVENTS + 1)]

    def build_head(self, status: int | str, *lines: str, stamped: bool = True) -> bytes:
        """Return the head of a response."""
        rows = [f"HTTP/1.1 {status} Said", f"X-Attempt-Id: {self.attempt}", *lines]
        if stamped:
            rows.append("X-Server-Stamp: 1.2.3")
        return "\r\n".join([*rows, "", ""]).encode()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.writer.transport.abort()

    async def send_response(self, status: int = 200) -> None:
        """Send a complete response."""
        body = self.build_body() if status == 200 else b"failed"
        await self.send(self.build_head(status, f"Content-Length: {len(body)}") + body)

    async def act_respond(self):
        """Execute and respond."""
        self.record_run()
        await self.send_response()
        return True

    async def act_respond_large(self, size):
        """Execute and respond with this many bytes."""
        self.record_run()
        await self.send(self.build_head(200, f"Content-Length: {size}"))
        await self.send(b"x" * int(size))
        return True

    async def act_respond_without_body(self, size):
        """Respond to HEAD: with the length of a body that is not sent."""
        self.record_run()
        await self.send(self.build_head(200, f"Content-Length: {size}"))
        return True

    async def act_respond_in_chunks(self):
        """Execute and respond in chunks that ignore event boundaries."""
        self.record_run()
        data = self.build_head(200, "Transfer-Encoding: chunked")
        body = self.build_body()
        for begin in range(0, len(body), 7):
            piece = body[begin : begin + 7]
            data += b"%x\r\n%s\r\n" % (len(piece), piece)
        data += b"0\r\n\r\n"
        for begin in range(0, len(data), 11):
            await self.send(data[begin : begin + 11])
            await asyncio.sleep(0)
        return True

    async def act_respond_and_close(self):
        """Execute, and delimit the response by closing the connection."""
        self.record_run()
        await self.send(self.build_head(200) + self.build_body())

    async def act_respond_and_drop(self):
        """Execute, respond, and close a connection announced as persistent."""
        self.record_run()
        await self.send_response()

    async def act_respond_twice(self):
        """Execute, and send the bytes of another response after the correct one."""
        self.record_run()
        await self.send_response()
        late = "Another-1"
        extra = b"ran somebody else"
        lines = ["HTTP/1.1 200 Said", f"X-Attempt-Id: {late}", "X-Server-Stamp: 9.9.9"]
        head = "\r\n".join([*lines, f"Content-Length: {len(extra)}", "", ""]).encode()
        await self.send(head + extra)
        return True

    async def act_respond_late(self):
        """Execute, and respond after the caller's deadline."""
        self.record_run()
        await asyncio.sleep(0.9)
        await self.send_response()
        return True

    async def act_fail(self):
        """Execute, and respond with an error."""
        self.record_run()
        await self.send_response(500)
        return True

    async def act_refuse(self):
        """Refuse as not executed."""
        await self.send(self.build_head(503, "X-Not-Executed: 1", "Content-Length: 0"))
        return True

    async def act_refuse_early(self):
        """Refuse before reading the body."""
        head = self.build_head(503, "X-Not-Executed: 1", "Content-Length: 0")
        await self.send(head)

    async def act_respond_early(self, read_bytes, pause_seconds, ending):
        """Send part of a response without a length before the body has been read.

        :param read_bytes: how much of the request's body is read before.
        :param pause_seconds: pause between the response and its end.
        :param ending: ``reset``, ``close``, or ``half_close`` for an orderly end after
            which the rest of the request stays unread.
        """
        self.record_run()
        await self.reader.readexactly(int(read_bytes))
        body = self.build_events()[0] if self.worker.engine else self.build_body()[:8]
        await self.send(self.build_head(200) + body)
        if float(pause_seconds):
            await asyncio.sleep(float(pause_seconds))
        if ending == "reset":
            self.reset()
        elif ending == "half_close":
            self.writer.write_eof()
            await asyncio.sleep(HALF_CLOSED_SECONDS)

    async def act_send_status(self, status):
        """Execute, send a response with any status, then keep the connection open.

        :param status: text of the status, which need not be a valid one.
        """
        self.record_run()
        body = self.build_body()
        head = self.build_head(status, f"Content-Length: {len(body)}")
        await self.send(head + body)
        return True

    async def act_send_status_before_response(self, status):
        """Execute, send a head with any status and no body, then a normal response."""
        self.record_run()
        await self.send(self.build_head(status))
        await self.send_response()
        return True

    async def act_refuse_as_other_instance(self):
        """Refuse because the request expects another instance."""
        await self.send(self.build_head(421, "X-Not-Executed: 1", "Content-Length: 0"))
        return True

    async def act_close(self):
        """Execute, and close without a response."""
        self.record_run()

    async def act_reset(self):
        """Execute, and reset the connection."""
        self.record_run()
        self.reset()

    async def act_never_respond(self):
        """Execute, and send nothing for longer than any deadline."""
        self.record_run()
        await asyncio.sleep(3.0)

    async def act_stall_after_late_head(self):
        """Execute, send the head of the response late, and nothing after it."""
        self.record_run()
        await asyncio.sleep(LATE_HEAD_SECONDS)
        await self.send(self.build_head(200, "Content-Length: 10"))
        await asyncio.sleep(3.0)

    async def act_truncate_head(self):
        """Execute, and close within the head of the response."""
        self.record_run()
        await self.send(self.build_head(200, "Content-Length: 10")[:30])

    async def act_truncate_body(self):
        """Execute, and close within the body of the response."""
        self.record_run()
        body = self.build_body()
        await self.send(
            self.build_head(200, f"Content-Length: {len(body)}") + body[:-3]
        )

    async def act_reset_unframed(self):
        """Execute, and reset a response that is delimited by the connection's end."""
        self.record_run()
        await self.send(self.build_head(200) + self.build_body()[:-3])
        await asyncio.sleep(0.02)
        self.reset()

    async def act_truncate_between_events(self):
        """Execute, and close between two chunks."""
        self.record_run()
        pieces = self.build_events() if self.worker.engine else [self.build_body()[:4]]
        data = self.build_head(200, "Transfer-Encoding: chunked")
        for piece in pieces[:2]:
            data += b"%x\r\n%s\r\n" % (len(piece), piece)
        await self.send(data)

    async def act_truncate_within_event(self):
        """Execute, and close within a chunk."""
        self.record_run()
        body = self.build_body()
        data = self.build_head(200, "Transfer-Encoding: chunked")
        await self.send(data + b"%x\r\n%s" % (len(body), body[: len(body) // 2]))

    async def act_send_invalid_http(self):
        """Execute, and send bytes that are not HTTP."""
        self.record_run()
        await self.send(b"\x00\xffnot http at all\r\n\r\n")

    async def act_respond_for_other_attempt(self):
        """Execute, and respond with the id of another attempt."""
        self.record_run()
        self.attempt = "another"
        await self.send_response()
        return True

    async def act_respond_unstamped(self):
        """Execute, and respond without a server stamp."""
        self.record_run()
        body = self.build_body()
        head = self.build_head(200, f"Content-Length: {len(body)}", stamped=False)
        await self.send(head + body)
        return True

    async def send_unbounded(self, first: bytes, again: bytes) -> None:
        """Execute, and send bytes until the client closes the connection."""
        self.record_run()
        await self.send(first)
        for _ in range(MAX_UNBOUNDED_BYTES // len(again)):
            await self.send(again)
            self.worker.unbounded_bytes += len(again)
        self.worker.unbounded_sent = True

    async def act_unbounded_header_line(self):
        """Send one header line of unbounded length."""
        await self.send_unbounded(b"HTTP/1.1 200 Said\r\nX-A: ", b"a" * 65536)

    async def act_unbounded_header_lines(self):
        """Send an unbounded number of header lines."""
        await self.send_unbounded(b"HTTP/1.1 200 Said\r\n", b"X-A: a\r\n" * 8192)

    async def act_unbounded_interim(self):
        """Send an unbounded number of interim responses."""
        await self.send_unbounded(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048)

    async def act_unbounded_body(self):
        """Send an unbounded body that contains no event boundary."""
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        await self.send_unbounded(
            self.build_head(200, "Transfer-Encoding: chunked"), chunk
        )

    async def act_unbounded_slow_body(self):
        """Send an unbounded body, slowly enough that many are received at a time."""
        self.record_run()
        await self.send(self.build_head(200, "Transfer-Encoding: chunked"))
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        for _ in range(MAX_UNBOUNDED_BYTES // len(chunk)):
            await self.send(chunk)
            self.worker.unbounded_bytes += len(chunk)
            await asyncio.sleep(0.04)
        self.worker.unbounded_sent = True

    async def act_unbounded_extension(self):
        """Send a chunk extension of unbounded length."""
        head = self.build_head(200, "Transfer-Encoding: chunked")
        await self.send_unbounded(head + b"5;", b"a" * 65536)

    async def act_unbounded_trailer(self):
        """Send an unbounded number of trailer lines."""
        head = self.build_head(200, "Transfer-Encoding: chunked")
        await self.send_unbounded(head + b"0\r\n", b"X-A: a\r\n" * 8192)

    async def act_send_only_comments(self):
        """Execute, send one event, and then a comment every 0.1 s."""
        self.record_run()
        event = self.build_events()[0]
        head = self.build_head(200, "Transfer-Encoding: chunked")
        await self.send(head + b"%x\r\n%s\r\n" % (len(event), event))
        while True:
            await asyncio.sleep(0.1)
            await self.send(b"3\r\n:\n\n\r\n")

    async def act_respond_slowly(self):
        """Execute, and send each of the first three events after a long pause."""
        self.record_run()
        await self.send(self.build_head(200, "Transfer-Encoding: chunked"))
        for event in self.build_events()[:3]:
            await asyncio.sleep(SLOW_PAUSE_SECONDS)
            await self.send(b"%x\r\n%s\r\n" % (len(event), event))
        rest = b"".join(self.build_events()[3:])
        await self.send(b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest))
        return True

    async def act_end_unframed_within_event(self):
        """Execute, and end a response without a length within an event."""
        self.record_run()
        await self.send(self.build_head(200) + self.build_body()[:-3])

    def build_refusal(self, *lines: str) -> bytes:
        """Return the response of a worker that has not executed the request."""
        rows = ["HTTP/1.1 503 Said", "X-Not-Executed: 1", "Content-Length: 0", *lines]
        return "\r\n".join([*rows, "", ""]).encode()

    async def act_refuse_and_keep(self):
        """Refuse, and keep the refusal for a later request on this connection."""
        refusal = self.build_refusal(f"X-Attempt-Id: {self.attempt}")
        self.worker.refusal_by_writer[self.writer] = refusal
        await self.send(refusal)
        return True

    async def act_run_after_repeated_refusal(self):
        """Execute, send this connection's earlier refusal again, and respond."""
        self.record_run()
        await self.send(self.worker.refusal_by_writer.get(self.writer, b""))
        await self.send_response()
        return True

    async def act_run_after_unnamed_refusal(self):
        """Execute, send a refusal without an attempt id, and respond."""
        self.record_run()
        await self.send(self.build_refusal())
        await self.send_response()
        return True

    async def act_respond_with_text(self):
        """Execute, and send a body that is no event."""
        self.record_run()
        body = b"error"
        head = self.build_head(200, f"Content-Length: {len(body)}")
        await self.send(head + body)
        return True

    async def act_spoil_after_event(self):
        """Execute, and send two events and bytes that are no event in one write."""
        self.record_run()
        data = b"".join(self.build_events()[:2]) + b"spoiled\n\n"
        head = self.build_head(200, "Transfer-Encoding: chunked")
        await self.send(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))
        return True

    async def act_respond_with_second_head(self):
        """Execute, and send the head of an error within an unframed response."""
        self.record_run()
        error = self.build_head(500, "Content-Length: 6") + b"failed"
        await self.send(self.build_head(200) + error)

    async def act_end_framed_within_event(self):
        """Execute, and complete the framing of a response within an event."""
        self.record_run()
        body = self.build_body()[:-3]
        head = self.build_head(200, f"Content-Length: {len(body)}")
        await self.send(head + body)
        return True

    async def act_truncate_head_between_lines(self):
        """Execute, and close after a line of the response's head."""
        self.record_run()
        await self.send(b"HTTP/1.1 200 Said\r\nX-Attempt-Id: attempt-1\r\n")

    async def act_truncate_head_before_its_end(self):
        """Execute, and close before the last byte of the response's head."""
        self.record_run()
        await self.send(self.build_head(200, "Content-Length: 0")[:-1])

    async def act_repeat_last_response(self):
        """Send the worker's previous response again, then the correct one."""
        self.record_run()
        own_attempt, self.attempt = self.attempt, self.worker.last_attempt
        await self.send_response()
        self.attempt = own_attempt
        await self.send_response()
        return True


def build_event(attempt: str, number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: {attempt} says {number}\n\n".encode()


# Behaviours that take longer than the deadlines of generated requests, need arguments,
# or have an effect that cannot be distinguished from a correct response of a service
# without engines.
_NOT_GENERATED = {
    "send_only_comments",
    "respond_slowly",
    "repeat_last_response",
    "end_unframed_within_event",
    "end_framed_within_event",
    "refuse_and_keep",
    "run_after_repeated_refusal",
    "run_after_unnamed_refusal",
    "respond_with_text",
    "respond_with_second_head",
    "respond_early",
    "send_status",
    "send_status_before_response",
}
BEHAVIOURS = (
    *sorted(
        name.removeprefix("act_")
        for name in vars(ScriptedRequest)
        if name.startswith("act_") and name.removeprefix("act_") not in _NOT_GENERATED
    ),
    "respond_early:0:0:reset",
    "send_status:600",
    "send_status_before_response:000",
)
