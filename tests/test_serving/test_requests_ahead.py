"""Tests of requests that callers send ahead of responses on one connection."""

import asyncio
import itertools
import socket
import unittest
from unittest import mock

from camphorgated.serving import front as front_module
from camphorgated.serving.memory import Memory
from camphorgated.serving.server_connection import MAX_QUEUED_REQUESTS
from tests.hosted import encode_request, read_response
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase
from tests.test_serving.test_memory import (
    HEADER_SECONDS,
    build_connection,
    build_request,
)

# More than are parsed ahead, so that some are kept as read.
AHEAD = MAX_QUEUED_REQUESTS + 3
# More than the system buffers of this size hold, set for both ends of a connection.
SYSTEM_BUFFER_BYTES = 4096
LARGE_BYTES = 1_500_000
STREAM_FIELDS = (
    (b"x-model", b"m"),
    (b"x-token-count", b"60,66"),
    (b"x-prompt-prefix", b"5c:60"),
)


def encode_booking(number: int, body: bytes = b"sacks", *fields) -> bytes:
    """Return the bytes of a booking."""
    headers = {
        b"x-attempt-id": b"attempt-%d" % number,
        b"x-deadline": b"8000",
        **dict(fields),
    }
    return encode_request("POST", "/book/a", body, headers)


class StopTests(ScriptedWorkerCase):
    """A planned stop answers what was read."""

    async def stop_with(self, script, sent: bytes, count: int) -> list:
        """Return the responses to requests that were read before a stop."""
        app, _ = await self.start_scripted(script, engine=False)
        reader, writer = await self.open_caller(app)
        writer.write(sent)
        front = app.service("front")
        await self.eventually(lambda: front._work_by_connection)
        with mock.patch.object(front_module, "DRAIN_ACCEPT_SECONDS", 0.1):
            drain = asyncio.ensure_future(front.drain())
            responses = [await read_response(reader) for _ in range(count)]
            self.assertEqual(await asyncio.wait_for(reader.read(), 3.0), b"")
            await asyncio.wait_for(drain, 3.0)
        return responses

    async def test_requests_that_were_read_are_answered(self):
        """Guards against bookings that a stop drops without an answer."""
        sent = b"".join(encode_booking(number) for number in range(AHEAD))
        responses = await self.stop_with(["respond_late"], sent, AHEAD)
        self.assertEqual([status for status, _ in responses], [200] * AHEAD)
        closes = [headers.get("connection") for _, headers in responses]
        self.assertEqual(closes, [None] * (AHEAD - 1) + ["close"])

    async def test_partial_request_behind_others_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a request that never ends."""
        sent = encode_booking(0) + encode_booking(1) + encode_booking(2)[:-1]
        responses = await self.stop_with(["respond_late"], sent, 2)
        self.assertEqual([status for status, _ in responses], [200] * 2)

    async def test_endless_requests_end_with_the_time_for_new_ones(self):
        """Guards against a process that a busy caller keeps from its exit."""
        app, _ = await self.start_scripted([], engine=False)
        reader, writer = await self.open_caller(app)
        front = app.service("front")

        async def send() -> None:
            for number in itertools.count():
                writer.write(encode_booking(number))
                await asyncio.sleep(0.002)

        sending = asyncio.ensure_future(send())
        self.addCleanup(sending.cancel)
        await asyncio.sleep(0.1)
        with mock.patch.object(front_module, "DRAIN_ACCEPT_SECONDS", 0.2):
            drain = asyncio.ensure_future(front.drain())
            answered, headers = 0, {}
            while "connection" not in headers:
                status, headers = await read_response(reader)
                self.assertEqual(status, 200)
                answered += 1
            await asyncio.wait_for(drain, 2.0)
        self.assertEqual(headers["connection"], "close")
        self.assertGreater(answered, 20)

    async def test_booking_whose_caller_left_is_finished(self):
        """Guards against a stop that cuts work which nobody waits for."""
        app, workers = await self.start_scripted(["respond_late"], engine=False)
        _, writer = await self.open_caller(app)
        writer.write(encode_booking(0))
        front = app.service("front")
        await self.eventually(lambda: any(worker.runs for worker in workers))
        ((work, _),) = front._work_by_connection.values()
        with mock.patch.object(front_module, "DRAIN_ACCEPT_SECONDS", 0.1):
            drain = asyncio.ensure_future(front.drain())
            writer.transport.abort()
            await asyncio.wait_for(drain, 3.0)
        self.assertTrue(work.done())
        self.assertFalse(work.cancelled())


class InterimResponseTests(ScriptedWorkerCase):
    """An interim response stands before the response to its own request."""

    CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
    EXPECT = (b"expect", b"100-continue")

    async def test_interim_response_waits_for_the_response_before_it(self):
        """Guards against bytes of a later request within a stream."""
        app, _ = await self.start_scripted(
            ["respond_slowly"],
            engine=True,
            routes={"gap-aim-ms": 250, "timeout-ms": 8000},
        )
        reader, writer = await self.open_caller(app)
        booking = encode_booking(1, b"sacks", self.EXPECT)
        stream = encode_booking(0, b"prompt", *STREAM_FIELDS)
        writer.write(stream.replace(b"/book/a", b"/chat/a", 1))
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"200", head)
        writer.write(booking[: -len(b"sacks")])
        async with asyncio.timeout(6.0):
            data = await reader.readuntil(b"\r\n0\r\n\r\n")
            self.assertNotIn(b"100 Continue", data)
            self.assertEqual(
                await reader.readexactly(len(self.CONTINUE)), self.CONTINUE
            )
        writer.write(b"sacks")
        status, _ = await read_response(reader)
        self.assertNotEqual(status, 408)

    async def test_interim_response_is_sent_only_while_the_body_is_due(self):
        """Guards against an interim response that nobody waits for."""
        head = build_request(b"12345").replace(
            b"\r\n\r\n", b"\r\nExpect: 100-Continue\r\n\r\n"
        )
        for sent, written in (
            (head, b""),
            (head[:-5], self.CONTINUE),
            (head[:-1], b""),
            (head[:-5].replace(b"HTTP/1.1", b"HTTP/1.0"), b""),
        ):
            connection = build_connection(Memory())
            connection.data_received(sent)
            self.assertEqual(connection.transport.written, written, sent)
            connection.connection_lost(None)

    async def test_caller_that_waits_for_an_interim_response_is_not_late(self):
        """Guards against 408 for a body that the caller was not asked for."""
        connection = build_connection(Memory())
        held = build_request(b"12345").replace(
            b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"
        )
        connection.data_received(build_request(b"first") + held[:-5])
        await connection.next_request(1.0)
        await asyncio.sleep(2 * HEADER_SECONDS)
        self.assertEqual(connection.transport.written, b"")
        waiting = asyncio.ensure_future(connection.next_request(1.0))
        await asyncio.sleep(0)
        self.assertEqual(connection.transport.written, self.CONTINUE)
        connection.data_received(b"12345")
        self.assertEqual((await waiting).body, b"12345")
        connection.connection_lost(None)


class UnsentResponseTests(ScriptedWorkerCase):
    """A planned stop waits for callers that read slowly."""

    async def test_response_is_sent_before_the_exit(self):
        """Guards against an exit that cuts what the caller has not read yet."""
        app, _ = await self.start_scripted(
            [f"respond_large:{LARGE_BYTES}"], engine=False
        )
        reader, writer = await self.open_caller(app, SYSTEM_BUFFER_BYTES)
        writer.transport.pause_reading()
        front = app.service("front")
        await self.eventually(lambda: front._connections)
        for connection in front._connections:
            system = connection.transport.get_extra_info("socket")
            system.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SYSTEM_BUFFER_BYTES)
        writer.write(encode_booking(0))
        # The caller reads nothing, so the response stays in the buffer of the process.
        await self.eventually(
            lambda: any(
                connection.transport.get_write_buffer_size()
                for connection in front._connections
            )
        )
        with mock.patch.object(front_module, "DRAIN_ACCEPT_SECONDS", 0.1):
            drain = asyncio.ensure_future(front.drain())
            await asyncio.sleep(1.0)
            self.assertFalse(drain.done())
            writer.transport.resume_reading()
            async with asyncio.timeout(3.0):
                data = await reader.read()
            await asyncio.wait_for(drain, 2.0)
        self.assertEqual(len(data.partition(b"\r\n\r\n")[2]), LARGE_BYTES)


class EndOfReadingTests(unittest.IsolatedAsyncioTestCase):
    """A connection whose reading has ended hands over what was read whole."""

    async def test_unparsed_requests_are_handed_over(self):
        """Guards against read requests that are dropped, and a wait for more."""
        connection = build_connection(Memory())
        whole = b"".join(build_request(b"%d" % number) for number in range(AHEAD))
        connection.data_received(whole + build_request(b"partial")[:-1])
        connection.end_reading()
        for number in range(AHEAD):
            request = await connection.next_request(1.0)
            self.assertEqual(request.body, b"%d" % number)
        async with asyncio.timeout(0.5):
            self.assertIsNone(await connection.next_request(60.0))
