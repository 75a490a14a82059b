"""Tests of the duty where the platform checks no fencing numbers."""

import asyncio
import socket
import unittest
from unittest import mock

from camphorgate.serving.duty_calls import MAX_LATE_SECONDS, DutyCalls, call_seconds
from camphorgated.serving.call_client import CallClient
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.platform_protocol import OrderResult
from tests.hosted import HostedCase, free_address

ACCEPTED = OrderResult(True, False, 200)


class DutyCallsTests(unittest.TestCase):
    """A call is under way only while the lease lasts."""

    def test_call_ends_with_the_lease(self):
        """Guards against a call that arrives after those of the next holder."""
        self.assertEqual(call_seconds(10.0, 1.5, 5.0), 1.5)
        self.assertEqual(call_seconds(10.0, 1.5, 9.5), 0.5)
        self.assertEqual(call_seconds(10.0, 1.5, 9.95), 0.0)
        self.assertEqual(call_seconds(10.0, 1.5, 11.0), 0.0)

    def test_duty_is_handed_over_after_all_calls_were_answered(self):
        """Guards against a call that is carried out after the next holder's."""
        calls = DutyCalls()
        self.assertTrue(calls.may_hand_over(0.0))
        calls.record_sent()
        self.assertFalse(calls.may_hand_over(0.0))
        calls.record_ended(True, 1.0)
        self.assertTrue(calls.may_hand_over(1.0))
        calls.record_sent()
        calls.record_ended(False, 2.0)
        self.assertFalse(calls.may_hand_over(4.9))
        self.assertTrue(calls.may_hand_over(2.0 + MAX_LATE_SECONDS))


class DiscardTests(unittest.IsolatedAsyncioTestCase):
    """A call that was given up is not sent later."""

    async def test_connection_of_an_unanswered_call_is_reset(self):
        """Guards against a call that the system sends once a link is healed."""
        ended = asyncio.get_running_loop().create_future()

        async def receive(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                ended.set_result(await reader.read())
            except ConnectionResetError:
                ended.set_result("reset")
            writer.close()

        host, _, port = free_address().rpartition(":")
        server = await asyncio.start_server(receive, host, int(port))
        client = CallClient((host, int(port)), 0.2)
        try:
            with self.assertRaises(CallFailed):
                await client.call("POST", "/usage", b"", timeout=0.2)
            self.assertEqual(await asyncio.wait_for(ended, 2.0), "reset")
        finally:
            server.close()

    async def test_call_is_not_sent_after_its_time(self):
        """Guards against a late connection on which an old call is sent."""
        with socket.socket() as silent:
            host, _, port = free_address().rpartition(":")
            silent.bind((host, int(port)))
            client = CallClient((host, int(port)), 1.5)
            with mock.patch(
                "camphorgated.serving.call_client.connect",
                lambda *_: asyncio.sleep(1.0),
            ):
                started_at = asyncio.get_running_loop().time()
                with self.assertRaises(CallFailed) as caught:
                    await client.call("POST", "/usage", b"", timeout=0.2)
        self.assertFalse(caught.exception.sent)
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.9)


class UnfencedDutyTests(HostedCase):
    """The holder's calls keep within its lease."""

    async def start_pair(self, require_fence: bool = False):
        """Start two daemons and return the members, those of the holder first."""
        self.configure()
        members = [
            (
                await self.start_daemon(
                    instance_id=f"entry-{number}",
                    duty={"require_fence": require_fence},
                )
            ).service("members")
            for number in (1, 2)
        ]
        await self.eventually(lambda: any(item.holds_duty() for item in members))
        return sorted(members, key=lambda item: not item.holds_duty())

    async def test_timeout_of_a_call_ends_before_the_lease(self):
        """Guards against a call of a holder that was replaced meanwhile."""
        holder, _ = await self.start_pair()
        given = []

        async def send(seconds):
            given.append(seconds)
            return ACCEPTED

        await holder.call_as_holder(holder.fencing, send)
        self.assertGreater(given[0], 0.0)
        self.assertLessEqual(given[0], holder._lease.deadline)
        deadline = holder._app.clock.monotonic() + 0.3
        with mock.patch.object(holder._lease, "deadline", deadline, create=True):
            await holder.call_as_holder(holder.fencing, send)
        self.assertLessEqual(given[1], 0.3)

    async def test_call_decided_under_an_older_number_is_not_sent(self):
        """Guards against a lower fencing number after a higher one."""
        holder, _ = await self.start_pair()
        send = mock.AsyncMock(return_value=ACCEPTED)
        with self.assertRaises(CallFailed):
            await holder.call_as_holder(holder.fencing - 1, send)
        send.assert_not_called()

    async def test_unanswered_call_delays_the_next_holder(self):
        """Guards against a late call after the next holder has acted."""
        holder, other = await self.start_pair()
        send = mock.AsyncMock(side_effect=CallFailed("no response", True))
        with self.assertRaises(CallFailed):
            await holder.call_as_holder(holder.fencing, send)
        clock = asyncio.get_running_loop()
        ended_at = clock.time()
        await holder.deregister()
        await self.eventually(other.holds_duty)
        self.assertGreater(clock.time() - ended_at, 0.5)

    async def test_answered_calls_do_not_delay_the_next_holder(self):
        """Guards against slower ordinary handovers."""
        holder, other = await self.start_pair()
        await holder.call_as_holder(
            holder.fencing, mock.AsyncMock(return_value=ACCEPTED)
        )
        clock = asyncio.get_running_loop()
        ended_at = clock.time()
        await holder.deregister()
        await self.eventually(other.holds_duty)
        self.assertLess(clock.time() - ended_at, 1.0)

    async def test_restarted_instance_does_not_act_at_once_again(self):
        """Guards against the order A, B, A of holders within a lease."""
        holder, other = await self.start_pair()
        name = holder.own.instance
        await holder._app.stop()
        await self.eventually(other.holds_duty)
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        again = await self.start_daemon(instance_id=name, duty={"require_fence": False})
        members = again.service("members")
        await self.eventually(lambda: members._noted_holder)
        await other.deregister()
        await self.eventually(members.holds_duty, seconds=8.0)
        self.assertGreater(clock.time() - started_at, 1.5 + 0.9)
