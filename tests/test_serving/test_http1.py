"""Tests of the connection classes against bytes as they may arrive."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.clock import SystemClock
from camphorgated.serving.client_connection import ClientConnection
from camphorgated.serving.errors import BadRequest
from camphorgated.serving.events import EventStream
from camphorgated.serving.server_connection import ServerConnection

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a: b\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello"


class FakeTransport(asyncio.Transport):
    """Keeps what is written and whether it was closed."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closing = False

    def get_extra_info(self, name, default=None):
        """Return nothing, as there is no socket."""
        return default

    def write(self, data):
        """Keep the bytes."""
        self.written += data

    def is_closing(self):
        """Tell whether it was closed."""
        return self.closing

    def close(self):
        """Close."""
        self.closing = True

    abort = close

    def set_write_buffer_limits(self, high=None, low=None):
        """Accept any limit."""

    def pause_reading(self):
        """Accept."""

    def resume_reading(self):
        """Accept."""


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    """Cut bytes at some places."""
    places = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


async def receive(pieces, ending="open"):
    """Feed an answer and return status, body (``None`` if cut) and reusability."""
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
    """A whole answer is told from a cut one, and extra bytes end the connection."""

    @settings(deadline=None, max_examples=60)
    @given(st.sampled_from([ANSWER, CHUNKED]), st.lists(st.integers(0, 200)))
    def test_answer_is_whole_however_it_is_split(self, answer, cuts):
        """Guards against a parser that depends on the pieces."""
        status, body, reusable = asyncio.run(receive(split(answer, cuts)))
        self.assertEqual((status, len(body), reusable), (200, 5, True))

    @settings(deadline=None, max_examples=60)
    @given(
        st.sampled_from([ANSWER, CHUNKED]),
        st.integers(1, 200),
        st.sampled_from(["eof", "reset"]),
    )
    def test_cut_answer_is_never_whole(self, answer, size, ending):
        """Guards against passing a part of an answer on as whole."""
        cut = answer[: size % len(answer)]
        _, body, reusable = asyncio.run(receive([cut], ending))
        self.assertIsNone(body)
        self.assertFalse(reusable)

    def test_unframed_answer_ends_with_its_connection(self):
        """Guards against refusing an answer that has no length."""
        status, body, reusable = asyncio.run(receive([UNFRAMED], "eof"))
        self.assertEqual((status, body, reusable), (200, b"hello", False))

    def test_unframed_answer_that_is_reset_is_cut(self):
        """Guards against taking a reset for the end."""
        _, body, _ = asyncio.run(receive([UNFRAMED], "reset"))
        self.assertIsNone(body)

    @settings(deadline=None, max_examples=60)
    @given(st.binary(min_size=1, max_size=40), st.lists(st.integers(0, 200)))
    def test_bytes_after_an_answer_end_the_connection(self, extra, cuts):
        """Guards against an extra answer that the next request would get."""
        _, body, reusable = asyncio.run(receive(split(ANSWER, cuts) + [extra]))
        self.assertEqual(body, b"hello")
        self.assertFalse(reusable)

    def test_bytes_on_an_idle_connection_end_it(self):
        """Guards against a late answer on a kept connection."""

        async def run():
            connection = ClientConnection()
            connection.connection_made(FakeTransport())
            connection.send("GET", b"")
            connection.data_received(ANSWER)
            connection.finish()
            connection.data_received(ANSWER)
            return connection.usable

        self.assertFalse(asyncio.run(run()))


REQUEST = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
    b"X-Attempt-Id: 1\r\n\r\nbody"
)


async def serve(pieces, body_bytes=100):
    """Feed a server connection and return its first request."""
    connection = ServerConnection(lambda made: None, SystemClock(), 400, body_bytes)
    connection.connection_made(FakeTransport())
    for piece in pieces:
        connection.data_received(piece)
    return await connection.next_request(0.05)


class ServerConnectionTests(unittest.TestCase):
    """Requests are read whole; those with two framings are refused."""

    @settings(deadline=None, max_examples=60)
    @given(st.lists(st.integers(0, 200)))
    def test_request_is_read_however_it_is_split(self, cuts):
        """Guards against a parser that depends on the pieces."""
        request = asyncio.run(serve(split(REQUEST, cuts)))
        self.assertEqual(request.method, "POST")
        self.assertEqual(request.target, b"/a/b?c=d")
        self.assertEqual(request.body, b"body")

    def refused(self, data, **options):
        """Return the status with which a request is refused."""
        with self.assertRaises(BadRequest) as raised:
            asyncio.run(serve([data], **options))
        return raised.exception.status

    def test_length_beside_chunks_is_refused(self):
        """Guards against a request that is smuggled inside another."""
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        self.assertEqual(self.refused(data), 400)

    def test_two_lengths_are_refused(self):
        """Guards against a request that is smuggled inside another."""
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nbody"
        )
        self.assertEqual(self.refused(data), 400)

    def test_large_body_is_refused(self):
        """Guards against a body that fills the memory."""
        self.assertEqual(self.refused(REQUEST, body_bytes=3), 413)

    def test_large_chunked_body_is_refused(self):
        """Guards against a body without an announced length."""
        data = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"a\r\n0123456789\r\n0\r\n\r\n"
        )
        self.assertEqual(self.refused(data, body_bytes=5), 413)

    def test_large_head_is_refused(self):
        """Guards against a head that fills the memory."""
        data = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 1000 + b"\r\n\r\n"
        self.assertEqual(self.refused(data), 431)

    def test_slow_request_is_refused(self):
        """Guards against callers that hold a connection with half a request."""
        self.assertEqual(self.refused(REQUEST[:30]), 408)


class EventStreamTests(unittest.TestCase):
    """Only whole events are passed on, each once."""

    @given(st.integers(1, 8), st.lists(st.integers(0, 400)))
    def test_events_are_whole_however_they_are_split(self, count, cuts):
        """Guards against a stream that resumes inside an event."""
        data = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(count))
        stream = EventStream()
        out = b""
        for piece in split(data + b"id: 99\nda", cuts):
            passed = stream.feed(piece)
            self.assertTrue(passed == b"" or passed.endswith(b"\n\n"))
            out += passed
        self.assertEqual(out, data)
        self.assertEqual(stream.last_id, count - 1)
        self.assertEqual(stream.rest, b"id: 99\nda")

    def test_events_that_were_passed_on_are_left_out(self):
        """Guards against an event twice after a resumption."""
        stream = EventStream(3)
        data = b"id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
        self.assertEqual(stream.feed(data), b"id: 4\ndata: d\n\n")
