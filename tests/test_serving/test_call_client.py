"""Tests of calls whose responses take long to arrive."""

import asyncio
import unittest

from camphorgated.serving.call_client import CallClient
from camphorgated.serving.errors import CallFailed
from tests.hosted import LOOPBACK

PIECE = b"x" * 1000
PIECE_SECONDS = 0.05
TIMEOUT_SECONDS = 0.2
MAX_BODY_SECONDS = 0.6


class LargeResponseTests(unittest.IsolatedAsyncioTestCase):
    """A response may take as long as a slow link needs for it."""

    async def asyncSetUp(self):
        """Serve bodies piece by piece."""
        self.pieces, self.pause_after = 10, 10**6
        self.responses: set[asyncio.Task] = set()
        server = await asyncio.start_server(self._respond, LOOPBACK, 0)
        self.addAsyncCleanup(self._close, server)
        self.address = server.sockets[0].getsockname()[:2]

    async def _close(self, server) -> None:
        server.close()
        self.pieces = 0
        await asyncio.wait(self.responses)

    async def _respond(self, reader, writer) -> None:
        self.responses.add(asyncio.current_task())
        await reader.readuntil(b"\r\n\r\n")
        size = self.pieces * len(PIECE)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
        for number in range(self.pieces):
            if number == self.pause_after:
                await asyncio.sleep(3 * TIMEOUT_SECONDS)
            writer.write(PIECE)
            await asyncio.sleep(PIECE_SECONDS)
            if writer.is_closing() or number >= self.pieces:
                break
        writer.close()

    def build_client(self) -> CallClient:
        """Return a client of the server."""
        client = CallClient(self.address, TIMEOUT_SECONDS, MAX_BODY_SECONDS)
        self.addCleanup(client.close)
        return client

    async def test_large_value_arrives_over_a_slow_link(self):
        """Guards against a configuration that an instance can never read."""
        client = self.build_client()
        call = asyncio.ensure_future(client.call("GET", "/"))
        await asyncio.sleep(5 * PIECE_SECONDS)
        self.assertTrue(client.receiving(TIMEOUT_SECONDS))
        status, body = await call
        self.assertEqual((status, len(body)), (200, self.pieces * len(PIECE)))
        self.assertFalse(client.receiving(TIMEOUT_SECONDS))

    async def fail_call(self, client: CallClient) -> float:
        """Make a call that has to fail; return how many seconds it took."""
        began = asyncio.get_running_loop().time()
        with self.assertRaises(CallFailed):
            await client.call("GET", "/")
        return asyncio.get_running_loop().time() - began

    async def test_response_that_stops_arriving_fails_in_time(self):
        """Guards against a call that waits for a store that fell silent."""
        self.pause_after = 4
        client = self.build_client()
        seconds = await self.fail_call(client)
        self.assertLess(seconds, 4 * PIECE_SECONDS + 2 * TIMEOUT_SECONDS)
        self.assertFalse(client.receiving(TIMEOUT_SECONDS))

    async def test_endless_response_fails_in_time(self):
        """Guards against a response that arrives slowly for ever."""
        self.pieces = 1000
        seconds = await self.fail_call(self.build_client())
        self.assertLess(seconds, 2 * (TIMEOUT_SECONDS + MAX_BODY_SECONDS))
