"""Tests of connecting to upstreams."""

import asyncio
import unittest

from camphorgated.ext.gateway.connection_pool import UpstreamConnector, parse_address


class ConnectorTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_is_never_lost_while_connecting(self):
        """Guards against a request that continues after its caller has disconnected."""
        for loop_iterations in range(4):
            with self.subTest(loop_iterations=loop_iterations):
                connector = UpstreamConnector(connect_seconds=1.0)
                connection = connector.pool.create_connection()
                connected = asyncio.Event()

                async def connect(*arguments, connected=connected):
                    await connected.wait()

                connection.connect = connect
                connector.pool.create_connection = lambda item=connection: item
                url = parse_address("127.0.0.1:9")

                async def request(url=url, connector=connector):
                    await connector.open(url, new_connection=True)
                    await asyncio.sleep(5)

                task = asyncio.create_task(request())
                await asyncio.sleep(0.01)
                connected.set()
                for _ in range(loop_iterations):
                    await asyncio.sleep(0)
                task.cancel()
                done, _ = await asyncio.wait([task], timeout=1.0)
                self.assertTrue(done and task.cancelled())
