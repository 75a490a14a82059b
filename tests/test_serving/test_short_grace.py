"""Tests of planned stops whose grace is short for the requests that still come."""

import asyncio
import contextlib

from camphorgated.serving.client_connection import connect
from tests.hosted import HostedCase
from tests.hosting_builders import build_platform_entry, build_platform_route
from tests.limited_workers import LimitedWorker

CALL_SECONDS = 0.6
CONNECTIONS = 8
INTERVAL_SECONDS = 0.05
STATUSES = {200, 503}


class ShortGraceTests(HostedCase):
    """A request that cannot end before the process does is not passed on."""

    async def stop_under_load(self, grace, path, served_before):
        """Send requests on kept and new connections through a stop.

        :param served_before: requests that end before the stop.
        :returns: the statuses of the requests that were sent after the signal, ``None``
            for one that reached the worker and got no answer.
        """
        routes = [
            build_platform_route("read", "/read/", "desk"),
            build_platform_route(
                "book", "/book/", "desk", kind="non_idempotent", **{"max-attempts": 1}
            ),
        ]
        self.configure(routes=routes)
        worker = LimitedWorker("w1")
        worker.answer_seconds = CALL_SECONDS
        await worker.start()
        self.stack.push_async_callback(worker.stop)
        entry = build_platform_entry(worker.address, slots=64)
        self.store.put("servers/w1", entry)
        self.workers["w1"] = worker
        times = {"lease_seconds": 1.5, "usage_window_seconds": 1.0}
        app = await self.start_ready(times={**times, "grace_seconds": grace})
        host, _, port = app.settings.caller_address.rpartition(":")
        for _ in range(served_before):
            self.assertEqual((await self.request(app, path)).status, 200)
        drain = asyncio.ensure_future(app.service("front").drain())
        statuses = []

        async def call(number):
            connection = None
            sent = 0
            while not drain.done():
                sent += 1
                attempt = f"a{number}-{sent}"
                status = 0
                with contextlib.suppress(OSError, TimeoutError):
                    if connection is None or connection.closed:
                        connection = await connect(host, int(port), 1.0)
                    response = await self.request_on(
                        connection,
                        path,
                        headers={b"x-attempt-id": attempt.encode()},
                    )
                    status = response.status if response.complete else 0
                if status != 200 and connection is not None:
                    connection.close()
                    connection = None
                reached = any(attempt == name for _, name, _ in worker.runs)
                if status or reached:
                    statuses.append(status or None)
                await asyncio.sleep(INTERVAL_SECONDS)

        await asyncio.gather(*(call(number) for number in range(CONNECTIONS)), drain)
        return statuses

    async def check(self, grace, path, served_before):
        """Check that each request is answered, or refused without being passed on."""
        statuses = await self.stop_under_load(grace, path, served_before)
        self.assertGreater(len(statuses), CONNECTIONS)
        self.assertLessEqual(set(statuses), STATUSES, statuses)

    async def test_bookings_in_a_grace_of_three_seconds(self):
        """Guards against bookings that are passed on and cut at the end."""
        await self.check(3.0, "/book/a", 3)

    async def test_bookings_in_a_grace_of_little_more_than_a_second(self):
        """Guards against accepting requests for longer than the grace."""
        await self.check(1.2, "/book/a", 3)

    async def test_bookings_on_a_route_that_served_none_before(self):
        """Guards against a guess of the time that is too short."""
        await self.check(3.0, "/book/a", 0)
