"""Tests of the HTTP/1.1 connection classes and the event stream parser."""

import asyncio
import gc
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.clock import SystemClock
from camphorgate.serving.catalog import Limits
from camphorgated.serving.client_connection import ClientConnection
from camphorgated.serving.errors import BadRequest, EventTooLarge, MalformedEvent
from camphorgated.serving.events import MAX_EVENT_BYTES, EventStream
from camphorgated.serving.server_connection import ServerConnection

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a: b\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello"


class FakeTransport(asyncio.Transport):
    """Records what is written and whether it was closed."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closing = False

    def get_extra_info(self, name, default=None):
        """Return nothing, as there is no socket."""
        return default

    def write(self, data):
        """Record the bytes."""
        self.written += data

    def is_closing(self):
        """Return whether it was closed."""
        return self.closing

    def close(self):
        """Record the close."""
        self.closing = True

    abort = close

    def set_write_buffer_limits(self, high=None, low=None):
        """Ignore the limits."""

    def get_write_buffer_size(self):
        """Return that nothing is unsent."""
        return 0

    def pause_reading(self):
        """Accept."""

    def resume_reading(self):
        """Accept."""


def build_connection(header_bytes=400, body_bytes=100) -> ServerConnection:
    """Return a connected server connection with constant limits."""
    limits = Limits(header_bytes=header_bytes, body_bytes=body_bytes)
    connection = ServerConnection(
        lambda connection: None, SystemClock(), lambda: limits
    )
    connection.connection_made(FakeTransport())
    return connection


def split_at(data: bytes, split_points: list[int]) -> list[bytes]:
    """Split bytes at the given points, taken modulo their length."""
    offsets = sorted({cut % (len(data) + 1) for cut in split_points} | {0, len(data)})
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


async def receive_response(pieces, ending="open"):
    """Feed a response; return status, body (``None`` if truncated) and reusability."""
    connection = ClientConnection()
    connection.connection_made(FakeTransport())
    connection.send("GET", b"")
    for piece in pieces:
        connection.data_received(piece)
    if ending == "eof":
        connection.eof_received()
        connection.connection_lost(None)
    elif ending == "reset":
        connection.connection_lost(ConnectionResetError())
    status = await connection.read_head()
    body = b""
    while piece := await connection.read_piece():
        body += piece
    return status, body if piece is not None else None, connection.finish()


class ClientConnectionTests(unittest.TestCase):
    """A truncated response is detected, and extra bytes close the connection."""

    @settings(deadline=None, max_examples=60)
    @given(st.sampled_from([RESPONSE, CHUNKED]), st.lists(st.integers(0, 200)))
    def test_response_is_complete_for_any_split(self, response, split_points):
        """Guards against a parser that depends on the pieces."""
        status, body, reusable = asyncio.run(
            receive_response(split_at(response, split_points))
        )
        self.assertEqual((status, len(body), reusable), (200, 5, True))

    @settings(deadline=None, max_examples=60)
    @given(
        st.sampled_from([RESPONSE, CHUNKED]),
        st.integers(1, 200),
        st.sampled_from(["eof", "reset"]),
    )
    def test_truncated_response_is_never_complete(self, response, size, ending):
        """Guards against forwarding a truncated response as complete."""
        cut = response[: size % len(response)]
        _, body, reusable = asyncio.run(receive_response([cut], ending))
        self.assertIsNone(body)
        self.assertFalse(reusable)

    def test_unframed_response_ends_with_its_connection(self):
        """Guards against refusing a response that has no length."""
        status, body, reusable = asyncio.run(receive_response([UNFRAMED], "eof"))
        self.assertEqual((status, body, reusable), (200, b"hello", False))

    def test_unframed_response_that_is_reset_is_incomplete(self):
        """Guards against treating a reset as the end of a response."""
        _, body, _ = asyncio.run(receive_response([UNFRAMED], "reset"))
        self.assertIsNone(body)

    @settings(deadline=None, max_examples=60)
    @given(st.binary(min_size=1, max_size=40), st.lists(st.integers(0, 200)))
    def test_bytes_after_a_response_close_the_connection(self, extra, split_points):
        """Guards against an extra response delivered to the next request."""
        _, body, reusable = asyncio.run(
            receive_response(split_at(RESPONSE, split_points) + [extra])
        )
        self.assertEqual(body, b"hello")
        self.assertFalse(reusable)

    def test_bytes_on_an_idle_connection_close_it(self):
        """Guards against a late response on a persistent connection."""

        async def run():
            connection = ClientConnection()
            connection.connection_made(FakeTransport())
            connection.send("GET", b"")
            connection.data_received(RESPONSE)
            connection.finish()
            connection.data_received(RESPONSE)
            return connection.usable

        self.assertFalse(asyncio.run(run()))


LARGE_BODY_BYTES = 2**20
# What a connection itself may take in memory.
HELD_BYTES = 65536
REQUEST = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
    b"X-Attempt-Id: 1\r\n\r\nbody"
)


async def receive_request(pieces, body_bytes=100):
    """Feed a server connection and return its first request."""
    connection = build_connection(body_bytes=body_bytes)
    for piece in pieces:
        connection.data_received(piece)
    return await connection.next_request(0.05)


class ServerConnectionTests(unittest.TestCase):
    """Requests are read completely; those with conflicting framing are refused."""

    @settings(deadline=None, max_examples=60)
    @given(st.lists(st.integers(0, 200)))
    def test_request_is_parsed_for_any_split(self, split_points):
        """Guards against a parser that depends on the pieces."""
        request = asyncio.run(receive_request(split_at(REQUEST, split_points)))
        self.assertEqual(request.method, "POST")
        self.assertEqual(request.target, b"/a/b?c=d")
        self.assertEqual(request.body, b"body")

    def refusal_status(self, data, **options):
        """Return the status with which a request is refused."""
        with self.assertRaises(BadRequest) as raised:
            asyncio.run(receive_request([data], **options))
        return raised.exception.status

    def test_length_with_chunked_encoding_is_refused(self):
        """Guards against a request that is smuggled inside another."""
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        self.assertEqual(self.refusal_status(data), 400)

    def test_two_lengths_are_refused(self):
        """Guards against a request that is smuggled inside another."""
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nbody"
        )
        self.assertEqual(self.refusal_status(data), 400)

    def test_large_body_is_refused(self):
        """Guards against a body that exhausts memory."""
        self.assertEqual(self.refusal_status(REQUEST, body_bytes=3), 413)

    def test_large_chunked_body_is_refused(self):
        """Guards against an unlimited body without a content length."""
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"a\r\n0123456789\r\n0\r\n\r\n"
        )
        self.assertEqual(self.refusal_status(data, body_bytes=5), 413)

    def test_large_head_is_refused(self):
        """Guards against a head that exhausts memory."""
        data = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 1000 + b"\r\n\r\n"
        self.assertEqual(self.refusal_status(data), 431)

    def held_bytes(self, pieces, ending=None) -> int:
        """Return what a connection holds after its requests were taken."""

        async def run():
            connection = build_connection(body_bytes=LARGE_BODY_BYTES)
            gc.collect()
            gc.disable()
            tracemalloc.start()
            for piece in pieces:
                connection.data_received(piece)
            if ending is None:
                await connection.next_request(0.05)
            else:
                connection.connection_lost(ending)
                del connection
            return tracemalloc.get_traced_memory()[0]

        try:
            return asyncio.run(run())
        finally:
            tracemalloc.stop()
            gc.enable()

    def large_request(self) -> list[bytes]:
        """Return a request with a large body in pieces."""
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        data = head % LARGE_BODY_BYTES + b"x" * LARGE_BODY_BYTES
        return [data[n : n + 65536] for n in range(0, len(data), 65536)]

    @settings(deadline=None, max_examples=60)
    @given(st.lists(st.integers(0, 600)), st.booleans())
    def test_request_that_offers_an_upgrade_keeps_its_body(self, split_points, chunked):
        """Guards against requests that run without their body."""
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: 4"
        body = b"4\r\nbody\r\n0\r\n\r\n" if chunked else b"body"
        head = (
            b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\n"
            b"Upgrade: h2c\r\nX-Attempt-Id: 1\r\n" + framing + b"\r\n\r\n"
        )

        async def receive():
            connection = build_connection()
            for piece in split_at((head + body) * 2 + REQUEST, split_points):
                connection.data_received(piece)
            return [await connection.next_request(0.05) for _ in range(3)]

        requests = asyncio.run(receive())
        self.assertEqual([request.body for request in requests], [b"body"] * 3)
        self.assertTrue(all(request.keep_alive for request in requests))
        self.assertEqual(
            [request.header(b"x-attempt-id") for request in requests], [b"1"] * 3
        )

    def test_tunnel_is_refused(self):
        """Guards against a request for a tunnel that runs as another."""
        data = b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual(self.refusal_status(data), 400)

    def test_idle_connection_keeps_no_body(self):
        """Guards against kept connections that hold the bodies of past requests."""
        self.assertLess(self.held_bytes(self.large_request()), HELD_BYTES)

    def test_closed_connection_keeps_no_body(self):
        """Guards against bodies that only the garbage collector frees."""
        pieces = self.large_request()[:-1]
        self.assertLess(self.held_bytes(pieces, OSError()), HELD_BYTES)

    def test_slow_request_is_refused(self):
        """Guards against callers that occupy a connection with a partial request."""
        self.assertEqual(self.refusal_status(REQUEST[:30]), 408)


class EventStreamTests(unittest.TestCase):
    """Only complete events are forwarded, each once."""

    @given(st.integers(1, 8), st.lists(st.integers(0, 400)))
    def test_events_are_complete_for_any_split(self, count, split_points):
        """Guards against a stream that resumes inside an event."""
        data = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(count))
        stream = EventStream()
        output = b""
        for piece in split_at(data + b"id: 99\nda", split_points):
            forwarded = stream.feed(piece)
            self.assertTrue(forwarded == b"" or forwarded.endswith(b"\n\n"))
            output += forwarded
        self.assertEqual(output, data)
        self.assertEqual(stream.last_id, count - 1)
        self.assertEqual(stream.rest, b"id: 99\nda")

    @given(
        st.integers(1, 8),
        st.integers(0, 8),
        st.sampled_from(
            (b"spoiled", b"<html>\n", b"id: 3\n\x00", b"HTTP/1.1 200 OK\r\n")
        ),
        st.lists(st.integers(0, 400)),
    )
    def test_forwarded_and_resumed_events_are_the_whole_stream(
        self, count, spoiled_after, spoiled, split_points
    ):
        """Guards against losing the events that share a read with malformed bytes."""
        events = [b"id: %d\ndata: x\n\n" % number for number in range(1, count + 1)]
        sound = b"".join(events[:spoiled_after])
        stream = EventStream()
        output = b""
        with self.assertRaises(MalformedEvent):
            for piece in split_at(sound + spoiled + b"\n\n" + sound, split_points):
                output += stream.feed(piece)
                stream.raise_for_error()
        resumed = b"".join(events[stream.last_id or 0 :])
        self.assertEqual(output + resumed, b"".join(events))

    def test_events_before_an_oversized_one_are_returned(self):
        """Guards against losing the events that share a read with an endless one."""
        sound = b"id: 1\ndata: x\n\n"
        stream = EventStream()
        self.assertEqual(stream.feed(sound + b"x" * (MAX_EVENT_BYTES + 1)), sound)
        self.assertEqual(stream.last_id, 1)
        with self.assertRaises(EventTooLarge):
            stream.raise_for_error()

    def test_events_already_forwarded_are_skipped(self):
        """Guards against duplicate events after a resumption."""
        stream = EventStream(3)
        data = b"id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
        self.assertEqual(stream.feed(data), b"id: 4\ndata: d\n\n")
