"""Tests of prompts that end every engine that begins to answer them."""

import asyncio
import contextlib
from unittest import mock

from camphorgate.serving.quarantine import TRIAL_SECONDS, Block
from camphorgate_cli.client import AdminClient
from camphorgate_cli.errors import CommandError
from camphorgated.serving import daemon
from camphorgated.serving.quarantine import BLOCKED
from tests.crashing_engines import CRASHING_PART, CrashingFleet
from tests.hosted import HostedCase, free_address
from tests.hosting_builders import build_platform_entry
from tests.scripted_worker import ScriptedWorker

# The users' bound on the news of five ends (Akmola), and the sends after it.
CONTACT_SECONDS = 3.0
ENDS = 5
MAX_LATE_SENDS = 3
ENGINES = 10
INSTANCES = 3
SOUND_PER_SECOND = 25.0
CRASHING_PER_SECOND = 4.0
# The ends come within two seconds at this rate; the rest is judged.
RUN_SECONDS = 10.0
# Sound requests are judged from twice the bound after the fifth end.
MIN_SOUND_SHARE = 0.95


def build_prompt_headers(number: int, *shared: str) -> dict:
    """Return the headers of a generation whose prompt has these shared parts."""
    parts = [*shared, f"own{number}"]
    return {
        b"x-attempt-id": b"attempt-%d" % number,
        b"x-model": b"m",
        b"x-token-count": b"%d,66" % (60 * len(parts)),
        b"x-prompt-prefix": ",".join(f"{part}:60" for part in parts).encode(),
        b"x-deadline": b"4000",
    }


class CrashingPromptCase(HostedCase):
    """Several daemons before engines that a prompt part ends."""

    async def start_fleet(self, instances=INSTANCES, engines=ENGINES, seed=7):
        """Start engines and daemons that know each other."""
        self.configure()
        self.fleet = CrashingFleet(self.store, seed)
        self.stack.push_async_callback(self.fleet.stop)
        for _ in range(engines):
            await self.fleet.add_engine()
        apps = [
            await self.start_ready(instance_id=f"entry-{number}")
            for number in range(instances)
        ]
        await self.eventually(
            lambda: all(
                len(app.service("gossip").live_states()) >= instances - 1
                and len(app.service("directory").table.by_id) >= engines
                for app in apps
            )
        )
        return apps

    async def send_at_rate(self, apps, path, rate, seconds, *shared, first=0):
        """Send requests with shared parts at a steady rate.

        :returns: pairs of the time of sending and the response, ``None`` if there was
            none.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        answers = []

        async def send(number):
            sent_at = loop.time()
            response = None
            with contextlib.suppress(OSError, TimeoutError):
                response = await self.request(
                    apps[number % len(apps)],
                    path,
                    method="POST",
                    headers=build_prompt_headers(first + number, *shared),
                    seconds=6.0,
                )
            answers.append((sent_at, response))

        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * seconds)):
                await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
                group.create_task(send(number))
        return answers

    def served_share(self, answers, since):
        """Return the share of the requests sent since a time that are complete."""
        judged = [item for sent_at, item in answers if sent_at >= since]
        self.assertGreater(len(judged), 20)
        return sum(
            item is not None and item.status == 200 and item.complete for item in judged
        ) / len(judged)


class CrashingPromptTests(CrashingPromptCase):
    """A part that ended engines is not sent to further ones."""

    async def check_route(self, path):
        """Send crashing prompts beside sound ones and judge what engines see."""
        apps = await self.start_fleet()
        sound, _ = await asyncio.gather(
            self.send_at_rate(apps, path, SOUND_PER_SECOND, RUN_SECONDS, "c0", "m0"),
            self.send_at_rate(
                apps,
                path,
                CRASHING_PER_SECOND,
                RUN_SECONDS,
                "c0",
                CRASHING_PART,
                first=10_000,
            ),
        )
        late = self.fleet.late_arrivals(ENDS, CONTACT_SECONDS)
        self.assertLessEqual(
            len(late), MAX_LATE_SENDS, f"{len(self.fleet.ends)} engines ended"
        )
        since = self.fleet.ends[min(ENDS, len(self.fleet.ends)) - 1]
        share = self.served_share(sound, since + CONTACT_SECONDS)
        self.assertGreaterEqual(share, MIN_SOUND_SHARE)

    async def test_crashing_part_is_not_sent_to_further_engines(self):
        """Guards against a prompt part that ends one engine after the other."""
        await self.check_route("/draft/a")

    async def test_crashing_part_is_not_resumed_on_further_engines(self):
        """Guards against resumption that carries a crashing part to further engines."""
        await self.check_route("/chat/a")

    async def test_blocked_part_is_refused_as_not_run_with_a_reason(self):
        """Guards against refusals that are untrue or that nobody can explain."""
        app = (await self.start_fleet(instances=1, engines=2))[0]
        quarantine = app.service("quarantine")
        now = app.service("gossip").synchronized_now()
        quarantine.table.merge_block(Block((CRASHING_PART,), now, 0, 3))
        answers = await self.send_at_rate(
            [app], "/chat/a", 100.0, 0.01, "c0", CRASHING_PART
        )
        response = answers[0][1]
        self.assertEqual(response.status, 503)
        self.assertIn(BLOCKED.encode(), response.body)
        self.assertGreater(float(response.headers[b"retry-after"]), 50.0)
        self.assertEqual(self.fleet.arrivals, [])
        self.assertEqual(quarantine.dump()["blocks"][0]["parts"], [CRASHING_PART])

    async def test_operator_sees_a_block_and_lifts_it_everywhere(self):
        """Guards against a block that operators can neither see nor end."""
        with mock.patch.object(daemon, "OPERATOR_SECONDS", 0.0):
            self.configure()
            apps = [
                await self.start_daemon(
                    instance_id=f"entry-{number}", operator_address=free_address()
                )
                for number in range(2)
            ]
            await self.eventually(
                lambda: all(app.service("gossip").live_states() for app in apps)
            )
            now = apps[0].service("gossip").synchronized_now() - 1.0
            for app in apps:
                block = Block((CRASHING_PART,), now, 0, 3)
                app.service("quarantine").table.merge_block(block)
            client = AdminClient(apps[0].settings.operator_address)
            await asyncio.sleep(2.0)
            answer = await client.get("/admin/quarantine")
            self.assertEqual(answer["blocks"][0]["parts"], [CRASHING_PART])
            answer = await client.lift_block(CRASHING_PART)
            self.assertEqual(answer["blocks"], [])
            await self.eventually(
                lambda: (
                    not any(
                        app.service("quarantine").table.blocks_by_parts for app in apps
                    )
                )
            )
            with self.assertRaises(CommandError):
                await client.lift_block(CRASHING_PART)

    async def test_one_request_of_all_instances_tests_a_block(self):
        """Guards against a trial by each instance of a large fleet."""
        apps = await self.start_fleet()
        for app in apps:
            since = app.service("gossip").synchronized_now() - TRIAL_SECONDS
            block = Block((CRASHING_PART,), since, 0, 3)
            app.service("quarantine").table.merge_block(block)
        await self.send_at_rate(apps, "/chat/a", 20.0, 2.0, "c0", CRASHING_PART)
        self.assertEqual(len(self.fleet.arrivals), 1)

    async def test_block_of_a_part_that_is_sound_again_ends_with_its_trial(self):
        """Guards against a part that stays blocked after its cause was mended."""
        apps = await self.start_fleet()
        self.fleet.crashing_part = "none"
        for app in apps:
            since = app.service("gossip").synchronized_now() - TRIAL_SECONDS
            block = Block((CRASHING_PART,), since, 0, 3)
            app.service("quarantine").table.merge_block(block)
        await self.send_at_rate(apps, "/chat/a", 20.0, 1.5, "c0", CRASHING_PART)
        answers = await self.send_at_rate(
            apps, "/chat/a", 20.0, 1.5, "c0", CRASHING_PART, first=1000
        )
        self.assertEqual(self.served_share(answers, 0.0), 1.0)

    async def test_call_that_ends_its_servers_is_blocked(self):
        """Guards against a path and body that end one server after the other."""
        self.configure()
        scripted = [ScriptedWorker(f"w{n}", ["reset"] * 99) for n in range(5)]
        for worker in scripted:
            await worker.start()
            self.stack.push_async_callback(worker.stop)
            entry = build_platform_entry(worker.address)
            self.store.put(f"servers/{worker.id}", entry)
            self.workers[worker.id] = worker
        app = await self.start_ready()
        for number in range(8):
            headers = {b"x-attempt-id": b"attempt-%d" % number}
            response = await self.request(app, "/read/bad", headers=headers)
            await asyncio.sleep(0.3)
        self.assertEqual(response.status, 503)
        self.assertIn(BLOCKED.encode(), response.body)
