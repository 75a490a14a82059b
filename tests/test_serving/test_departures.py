"""Tests of upstreams that leave, by the list's word or by their own."""

from unittest import mock

from camphorgated.serving.pool import Pool
from tests.hosted import HostedCase

PROMPT = {
    b"x-model": b"m",
    b"x-token-count": b"14600,88",
    b"x-prompt-prefix": b"a:14600",
}


class ChosenBeforeTests(HostedCase):
    """A request that chose an upstream, and is sent only after that has left."""

    async def asyncSetUp(self):
        """Start workers of both kinds and a daemon."""
        await super().asyncSetUp()
        self.configure()
        for number in (1, 2):
            await self.add_worker(f"desk-{number}")
            await self.add_worker(f"p{number}", "models", phase="prefill")
            await self.add_worker(f"d{number}", "models", phase="decode")
        self.app = await self.start_ready()

    def leave_while_connecting(self, prefix: str) -> list[str]:
        """Remove the first worker of a kind whose connection is asked for.

        :returns: a list that takes its id.
        """
        left = []
        take = Pool.take
        table = self.app.service("directory").table

        async def slow_take(pool, upstream, most, sure):
            lease = await take(pool, upstream, most, sure)
            if not left and upstream.id.startswith(prefix):
                left.append(upstream.id)
                self.store.remove(f"servers/{upstream.id}")
                await self.eventually(lambda: upstream.id not in table.by_id)
            return lease

        self.enterContext(mock.patch.object(Pool, "take", slow_take))
        return left

    async def test_waiting_call_does_not_follow_an_upstream_that_left(self):
        """Guards against a call that is sent long after its upstream left."""
        left = self.leave_while_connecting("desk")
        reply = await self.ask(self.app, "/book/a", method="POST")
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.workers[left[0]].runs, [])
        health = self.app.service("upstreams").health.of((left[0], 1000))
        self.assertEqual(health.failures, 0)

    async def test_waiting_prompt_does_not_follow_an_upstream_that_left(self):
        """Guards against a prompt that is read where the engine leaves."""
        left = self.leave_while_connecting("p")
        reply = await self.ask(self.app, "/chat/a", method="POST", headers=PROMPT)
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.workers[left[0]].prefills, [])

    async def test_waiting_answer_does_not_follow_an_upstream_that_left(self):
        """Guards against an answer that begins where the engine leaves."""
        left = self.leave_while_connecting("d")
        reply = await self.ask(self.app, "/chat/a", method="POST", headers=PROMPT)
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.workers[left[0]].runs, [])
