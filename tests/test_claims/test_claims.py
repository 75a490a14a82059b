"""Tests of claims by two instances with a key-value stand-in and faults."""

import asyncio
import unittest
import unittest.mock

from loguru import logger

from camphorgate.accounting.claims import (
    MAX_ANSWER_BYTES,
    MAX_BATCH_BYTES,
    ClaimsUnavailable,
    KeyReused,
    RepeatOutcomeUnknown,
    first_batch,
)
from camphorgate.application import Application
from camphorgate.errors import CamphorgateError
from camphorgate.settings import KvSettings, PlatformSettings, Settings
from camphorgate_standins.kv import KvStandin
from camphorgated.ext import claims, kv
from camphorgated.ext.claims import service
from tests.serving import serve

ADDRESS = "127.0.0.1:0"


class ClaimsCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logger.disable("camphorgate")
        self.addCleanup(logger.enable, "camphorgate")
        quick = unittest.mock.patch.object(service, "RETRY_INTERVAL_SECONDS", 0.2)
        self.enterContext(quick)
        self.standin = KvStandin()
        self.address = await self.enterAsyncContext(serve(self.standin.app()))
        self.alpha = await self.start("alpha")
        self.beta = await self.start("beta")

    async def start(self, name):
        platform = PlatformSettings(ADDRESS, ADDRESS, ADDRESS)
        settings = Settings(
            instance_id=name,
            availability_zone="zone-a",
            region="region-1",
            caller_address=ADDRESS,
            admin_address=ADDRESS,
            peer_address=ADDRESS,
            kv=KvSettings((self.address,), 200.0, 0.3),
            platform=platform,
        )
        app = Application(settings)
        kv.setup(app)
        claims.setup(app)
        await app.start()
        self.addAsyncCleanup(app.stop)
        return app.service("claims")

    def arm(self, fault, **options):
        self.standin.faults.arm({"fault": fault, **options})

    def stored(self):
        return [key for key in self.standin.store.entries_by_key if b"claims/" in key]

    async def until_claimed(self, node, *arguments):
        async with asyncio.timeout(12):
            while True:
                try:
                    return await node.claim(*arguments)
                except CamphorgateError:
                    await asyncio.sleep(0.1)


class RepeatTests(ClaimsCase):
    async def test_two_instances_race_for_a_key(self):
        """Guards against running the same booking twice (I9)."""
        attempts = [
            node.claim("north", f"key-{number}", "digest")
            for number in range(50)
            for node in (self.alpha, self.beta, self.alpha)
        ]
        results = await asyncio.gather(*attempts, return_exceptions=True)
        made = [item for item in results if isinstance(item, service.Claim)]
        self.assertEqual(len({claim.key for claim in made}), 50)
        self.assertEqual(len(made), 50)
        others = [type(r) for r in results if not isinstance(r, service.Claim)]
        self.assertEqual(others, [RepeatOutcomeUnknown] * 100)

    async def test_a_repeat_gets_the_first_answer_on_any_instance(self):
        """Guards against a repeat that runs again or gets a different answer."""
        claim = await self.alpha.claim("north", "key", "digest")
        with self.assertRaises(RepeatOutcomeUnknown):
            await self.beta.claim("north", "key", "digest")
        await self.alpha.finish(claim, b"first answer")
        for node in (self.alpha, self.beta):
            repeat = await node.claim("north", "key", "digest")
            self.assertEqual(repeat.answer, b"first answer")
        with self.assertRaises(KeyReused):
            await self.beta.claim("north", "key", "other request")
        other = await self.beta.claim("south", "key", "digest")
        self.assertIsNone(other.answer)

    async def test_an_answer_that_is_too_long_is_not_stored(self):
        """Guards against a repeat that runs again because no answer was stored."""
        claim = await self.alpha.claim("north", "key", "digest")
        await self.alpha.finish(claim, b"x" * (MAX_ANSWER_BYTES + 1))
        with self.assertRaises(RepeatOutcomeUnknown):
            await self.beta.claim("north", "key", "digest")

    async def test_claims_are_committed_in_groups(self):
        """Guards against one write per claim, which exceeds KV's write rate."""
        attempts = (self.alpha.claim("north", str(n), "digest") for n in range(300))
        await asyncio.gather(*attempts)
        self.assertLessEqual(self.standin.calls["txn"], 10)

    def test_batches_stay_within_the_services_limits(self):
        """Guards against batches that KV rejects as too large."""
        sizes = [MAX_BATCH_BYTES // 3] * 5
        self.assertEqual(len(first_batch(sizes, sizes)), 3)
        self.assertEqual(len(first_batch([1], [2 * MAX_BATCH_BYTES])), 1)


class FailureTests(ClaimsCase):
    async def test_a_lost_answer_is_not_taken_for_another_claim(self):
        """Guards against mistaking a request's own claim for another request's."""
        self.arm("lose_answers", count=1)
        results = await asyncio.gather(
            *(self.alpha.claim("north", str(n), "digest") for n in range(5))
        )
        self.assertEqual(len({claim.key for claim in results}), 5)

    async def test_without_the_service_nothing_is_claimed(self):
        """Guards against sending a request whose claim was not stored."""
        self.arm("down")
        results = await asyncio.gather(
            *(self.alpha.claim("north", str(n), "digest") for n in range(5)),
            return_exceptions=True,
        )
        self.assertEqual([type(r) for r in results], [ClaimsUnavailable] * 5)
        self.arm("none")
        await self.until_claimed(self.beta, "north", "0", "digest")

    async def test_a_claim_that_was_not_used_is_withdrawn(self):
        """Guards against reporting "outcome unknown" for a request never sent."""
        await self.alpha.claim("north", "warm-up", "digest")
        self.arm("lose_answers")
        with self.assertRaises(ClaimsUnavailable):
            await self.alpha.claim("north", "key", "digest")
        self.assertEqual(len(self.stored()), 2)
        self.arm("none")
        claim = await self.until_claimed(self.beta, "north", "key", "digest")
        self.assertIsNone(claim.answer)
        await asyncio.sleep(0.5)
        # Withdrawing the first claim must not remove the later one.
        with self.assertRaises(RepeatOutcomeUnknown):
            await self.alpha.claim("north", "key", "digest")

    async def test_a_released_claim_can_be_made_again(self):
        """Guards against blocking the key of a request that was never sent."""
        for fault in ("none", "lose_answers"):
            with self.subTest(fault):
                claim = await self.alpha.claim("north", fault, "digest")
                self.arm(fault, count=1)
                await self.alpha.release(claim)
                await self.until_claimed(self.beta, "north", fault, "digest")

    async def test_a_process_killed_after_its_claim(self):
        """Guards against running a request again that may have run before."""
        gamma = await self.start("gamma")
        await gamma.claim("north", "key", "digest")
        for task in list(gamma._app._tasks):
            task.cancel()
        with self.assertRaises(RepeatOutcomeUnknown):
            await self.beta.claim("north", "key", "digest")

    async def test_an_answer_is_stored_after_an_outage(self):
        """Guards against losing the first answer in a short outage."""
        claim = await self.alpha.claim("north", "key", "digest")
        self.arm("down")
        await self.alpha.finish(claim, b"answer")
        self.arm("none")
        repeat = await self.until_claimed(self.beta, "north", "key", "digest")
        self.assertEqual(repeat.answer, b"answer")
