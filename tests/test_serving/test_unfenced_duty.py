"""Tests of the duty where the platform checks no fencing numbers."""

import asyncio
import socket
import unittest
from unittest import mock

from camphorgate.serving.duty_calls import MAX_LATE_SECONDS, DutyCalls, call_seconds
from camphorgated.serving.call_client import CallClient
from camphorgated.serving.directory import DUTY_KEY, DUTY_TAKEN_KEY
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.members import MAX_DUTY_CALL_SECONDS, Members
from camphorgated.serving.platform_protocol import OrderResult
from tests.hosted import HostedCase, free_address

ACCEPTED = OrderResult(True, False, 200)
# The lease of the duty in these tests.
LEASE_SECONDS = 1.5


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
        holder, other = sorted(members, key=lambda item: not item.holds_duty())
        # The other one may have started when the duty was taken already. It only knows
        # that it has to rest once it has seen the entry.
        clock = other._app.clock
        await self.eventually(
            lambda: DUTY_KEY in other._directory.instance_entries_by_key
        )
        await self.eventually(lambda: not other._must_rest(clock.monotonic()))
        return holder, other

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

    async def kill(self, members) -> None:
        """End a daemon without a handover, as SIGKILL does."""
        with mock.patch.object(Members, "deregister", mock.AsyncMock()):
            await members._app.stop()

    async def restart(self, name: str):
        """Start a daemon again; return its members once it watches the duty key."""
        app = await self.start_daemon(instance_id=name, duty={"require_fence": False})
        await self.eventually(lambda: app.service("directory").follows_duty_key)
        return app.service("members")

    async def assert_not_taken_early(self, members, started_at: float) -> None:
        """Check that a started instance takes the duty, but not within a lease."""
        await self.eventually(members.holds_duty, seconds=8.0)
        held_after = asyncio.get_running_loop().time() - started_at
        self.assertGreater(held_after, LEASE_SECONDS + 0.9)

    async def test_restarted_instance_does_not_act_at_once_again(self):
        """Guards against the order A, B, A after a start beside another holder."""
        holder, other = await self.start_pair()
        await holder._app.stop()
        await self.eventually(other.holds_duty)
        started_at = asyncio.get_running_loop().time()
        members = await self.restart(holder.own.instance)
        await other.deregister()
        await self.assert_not_taken_early(members, started_at)

    @mock.patch("camphorgated.serving.members.TURN_SECONDS", 0.5)
    async def test_killed_holder_that_sees_its_own_key_does_not_act_at_once(self):
        """Guards against the order A, B, A if an instance first sees its old key."""
        self.configure()
        holder = await self.restart("entry-1")
        await self.eventually(holder.holds_duty)
        # Of the two, this instance has the first turn at a free duty.
        other = await self.restart("entry-2")
        await asyncio.sleep(LEASE_SECONDS + MAX_DUTY_CALL_SECONDS)
        await self.kill(holder)
        started_at = asyncio.get_running_loop().time()
        members = await self.restart(holder.own.instance)
        entry = members._directory.instance_entries_by_key[DUTY_KEY]
        self.assertIn(holder.own.incarnation.encode(), entry.value)
        await self.eventually(other.holds_duty)
        await other.deregister()
        await self.assert_not_taken_early(members, started_at)

    async def test_fencing_numbers_spare_the_rest_after_a_start(self):
        """Guards against time without a holder where the platform checks numbers."""
        holder, _ = await self.start_pair(require_fence=True)
        app = await self.start_daemon(instance_id="entry-3")
        members = app.service("members")
        self.assertFalse(members._must_rest(app.clock.monotonic()))
        self.assertNotIn(DUTY_TAKEN_KEY, self.store.items_by_key)
        self.assertTrue(holder.holds_duty())

    async def test_only_the_first_start_of_all_is_spared_the_rest(self):
        """Guards against a rest where nobody acted, and none where somebody did."""
        self.configure()
        first = await self.restart("entry-1")
        self.assertFalse(first._must_rest(first._app.clock.monotonic()))
        await self.eventually(first.holds_duty)
        await self.kill(first)
        again = await self.restart("entry-1")
        self.assertTrue(again._must_rest(again._app.clock.monotonic()))
        again._lose("not held")
        self.assertTrue(again._must_rest(again._app.clock.monotonic()))
