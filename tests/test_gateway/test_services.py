"""Service calls under failure run at most once and get their own whole response."""

import asyncio
import socket
import struct

from camphorgate.manifest import Pool
from tests.builders import build_upstream
from tests.test_gateway.harness import BEARER, Caller, GatewayTestCase


class FailureTests(GatewayTestCase):
    async def test_a_call_under_failure(self):
        """Guards against double bookings, and cut or swapped responses."""
        cases = [
            ("short_answer", "POST", 502, "outcome_unknown", 1),
            ("short_answer", "GET", 200, None, 0),
            ("wrong_request_id", "POST", 502, "outcome_unknown", 1),
            ("wrong_request_id", "GET", 200, None, 0),
            ("lose_answers", "POST", 502, "outcome_unknown", 1),
            ("lose_answers", "GET", 200, None, 0),
            ("accept_and_hang", "POST", 502, "outcome_unknown", 1),
            ("accept_and_hang", "GET", 504, "upstream_timeout", 0),
        ]
        for fault, method, status, code, booked in cases:
            with self.subTest(fault=fault, method=method):
                for worker in self.workers:
                    worker.bookings.clear()
                self.reset_health()
                count = 100 if fault == "accept_and_hang" else 1
                self.arm(self.workers[:1], fault, count=count)
                self.arm(self.workers[1:], fault, count=count - 1)
                self.configuration.change_pool("desk", routing="least_outstanding")
                loop = asyncio.get_running_loop()
                calls = 0
                for _ in range(2):
                    calls += 1
                    started_at = loop.time()
                    response = await self.call(method, "/booking/bookings")
                    if response.status != 200:
                        break
                # Within the service's deadline of one second.
                self.assertLess(loop.time() - started_at, 1.0)
                self.assertEqual(response.status, status)
                if code:
                    self.assertEqual(response.error, (code, "unknown"))
                self.assertEqual(len(self.bookings()), booked * calls)
                self.arm(self.workers, "none")

    async def test_a_booking_that_hangs_runs_once(self):
        """Guards against a booking that is resent after a timeout."""
        self.arm(self.workers, "accept_and_hang")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await self.call("POST", "/booking/bookings", body=b"one sack")
        self.assertLess(loop.time() - started_at, 1.0)
        self.assertEqual((response.status, response.error[0]), (502, "outcome_unknown"))
        self.assertEqual(len(self.bookings()), 1)

    async def test_refused_connections_are_not_a_run(self):
        """Guards against lost bookings and a wrong "not_run" when a worker is gone."""
        self.servers[2].servers[0].close()
        for _ in range(4):
            response = await self.call("POST", "/booking/bookings")
            self.assertEqual(response.status, 200)
        self.assertEqual(len(self.bookings()), 4)
        self.servers[3].servers[0].close()
        # Polls may still reach both workers over connections that were open before.
        response = await self.call("POST", "/booking/bookings")
        self.assertEqual(response.error, ("no_upstream", "not_run"))
        self.assertGreaterEqual(int(response.headers["retry-after"]), 1)
        self.assertEqual(len(self.bookings()), 4)

    async def test_bodies_are_streamed_in_both_directions(self):
        """Guards against buffering whole bodies, and against lost bytes."""
        caller = await Caller.connect(self.address)
        headers = {**BEARER, "transfer-encoding": "chunked"}
        caller.send("PUT", "/booking/echo", headers)
        caller.writer.write(b"5\r\nfirst\r\n")
        async with asyncio.timeout(5):
            await caller.reader.readuntil(b"first")
        piece = bytes(range(256)) * 128
        caller.writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(piece), piece))
        async with asyncio.timeout(5):
            received = await caller.reader.readuntil(b"0\r\n\r\n")
        self.assertIn(piece[:1000], received)
        large_body = piece * 32
        response = await self.call("PUT", "/booking/echo", body=large_body)
        self.assertEqual((response.is_complete, response.body), (True, large_body))

    async def test_methods_and_queries_pass_through(self):
        """Guards against a gateway that changes methods or parameters."""
        for method in ("GET", "HEAD", "PUT", "PATCH", "DELETE", "OPTIONS"):
            caller = await Caller.connect(self.address)
            caller.send(method, "/booking/x%20y?a=1&api_key=s&b=%2F", BEARER)
            if method == "HEAD":
                head = await caller.reader.readuntil(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 200"))
            else:
                self.assertEqual((await caller.read()).status, 200)
            caller.close()
            seen = [
                request["url"]
                for worker in self.workers
                for request in worker.requests
                if request["method"] == method
            ]
            self.assertEqual(len(seen), 1)
            self.assertTrue(seen[0].endswith("?a=1&b=%2F"), seen)


class RawUpstreamTests(GatewayTestCase):
    """One upstream that replies with exactly the bytes that the test sets."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.replies = []
        self.connections = []
        # Bytes of a body that are read before the reply, and how the connection ends
        # after it; by default it stays open.
        self.read_bytes, self.ending = 0, None
        # The connection of each request; load polls use other connections.
        self.request_connections = []
        self.raw = await asyncio.start_server(self._reply, "127.0.0.1", 0)
        address = f"127.0.0.1:{self.raw.sockets[0].getsockname()[1]}"
        upstream = build_upstream("raw", address=address)
        pool = Pool("desk", "service", echoes_request_id=False, upstreams=(upstream,))
        self.configuration.change(pools=(self.configuration.manifest.pools[0], pool))

    async def asyncTearDown(self):
        await super().asyncTearDown()
        self.raw.close()
        for writer in self.connections:
            writer.transport.abort()

    async def _reply(self, reader, writer):
        self.connections.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /control"):
                    writer.write(b"HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n")
                    continue
                self.request_connections.append(writer)
                reply = self.replies.pop(0)
                await reader.readexactly(self.read_bytes)
                writer.write(reply or b"")
                if self.ending is not None:
                    await self._end(writer)
                    break
                if reply is None or reply.endswith(b"CUT"):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def _end(self, writer):
        await writer.drain()
        if self.ending == "reset":
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        elif self.ending == "half_close":
            writer.write_eof()
            await asyncio.sleep(0.5)

    async def test_cut_responses_are_never_whole(self):
        """Guards against a cut response that is forwarded as a complete one."""
        long = b"x" * 70000
        cases = [
            (b"HTTP/1.1 200 OK\r\ncontent-length: 90000\r\n\r\n" + long, False),
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\nfirst",
                False,
            ),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", 502),
            (b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n", 502),
            (b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n", 502),
            (b"garbage\r\n\r\n", 502),
            (None, 502),
        ]
        for reply, expected in cases:
            with self.subTest(reply=reply and reply[:60]):
                self.reset_health()
                self.replies = [reply + b"CUT" if reply else None]
                response = await self.call("POST", "/booking/x")
                if expected is False:
                    self.assertFalse(response.is_complete)
                else:
                    self.assertEqual(response.status, expected)
                    self.assertEqual(response.error, ("outcome_unknown", "unknown"))

    async def test_invalid_statuses_are_never_passed_on(self):
        """Guards against the status of an upstream in trouble as a response."""
        rest = b"content-length: 2\r\n\r\nok"
        whole = b"HTTP/1.1 200 OK\r\n" + rest
        statuses = (b"000", b"099", b"600", b"999", b"2", b"2000", b"101")
        for status in statuses:
            for reply in (rest, b"\r\n" + whole):
                with self.subTest(status=status, reply=reply):
                    self.reset_health()
                    line = b"HTTP/1.1 %b Said\r\n" % status
                    self.replies = [line + reply]
                    response = await self.call("POST", "/booking/x")
                    self.assertEqual(response.status, 502)
                    self.assertEqual(response.error, ("outcome_unknown", "unknown"))
                    connection = self.request_connections[-1]
                    await self.wait_until(connection.transport.is_closing)
        self.reset_health()
        self.replies = [b"HTTP/1.1 600 Said\r\n" + rest, whole]
        self.assertEqual((await self.call("GET", "/booking/x")).body, b"ok")

    async def test_partial_response_to_an_upload_is_not_a_success(self):
        """Guards against a partial body that a caller receives as a complete one."""
        body = b"x" * 4_000_000
        head = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n"
        for ending in ("reset", "close", "half_close"):
            for read_bytes in (0, 100_000):
                with self.subTest(ending=ending, read_bytes=read_bytes):
                    self.reset_health()
                    self.ending, self.read_bytes = ending, read_bytes
                    self.replies = [head + b"a part"]
                    response = await self.call("POST", "/booking/x", body=body)
                    self.assertEqual(response.status, 502)
                    self.assertEqual(response.error, ("outcome_unknown", "unknown"))

    async def test_late_bytes_reach_no_other_request(self):
        """Guards against surplus bytes that the next request would read."""
        whole = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"
        self.replies = [
            whole + b"one!" + whole + b"late",
            whole + b"two!",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"4\r\ntri!\r\n0\r\nx-late: yes\r\nx-more: yes\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + whole + b"four",
        ]
        for expected in (b"one!", b"two!", b"tri!", b"four"):
            response = await self.call("GET", "/booking/x")
            self.assertEqual(response.body, expected)

    async def test_a_dead_pooled_connection(self):
        """Guards against calls that fail or run twice on a closed pooled connection."""
        whole = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        self.replies = [whole, None, whole, whole]
        self.assertEqual((await self.call("GET", "/booking/x")).status, 200)
        # The pooled connection closes upon the second request; a GET is resent.
        self.assertEqual((await self.call("GET", "/booking/x")).status, 200)
        # A booking never uses a pooled connection, as it could not be resent.
        before = list(self.connections)
        self.assertEqual((await self.call("POST", "/booking/x")).status, 200)
        _, dead, second, booking = self.request_connections
        self.assertIsNot(second, dead)
        # A load poll may have opened a connection, too.
        self.assertNotIn(booking, before)
        self.assertEqual(self.replies, [])
