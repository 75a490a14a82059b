"""Tests of what instances keep and send of the names of prompt parts."""

import unittest

from camphorgate.serving.loads import (
    MAX_PARTS,
    MAX_PARTS_PER_ENGINE,
    PART_CACHED_SECONDS,
    LoadTable,
)
from camphorgate.serving.part_names import MAX_KEY_CHARACTERS, bound_names, part_key
from camphorgated.serving.gossip import encode_datagram
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase

# Digits of a name that fits into the head of a request.
LONG = 15_000
# A UDP datagram carries this much.
MAX_DATAGRAM_BYTES = 65_507
REQUESTS = 12


class PartNameTests(unittest.TestCase):
    """Names have a bounded length and stay distinct."""

    def test_long_names_are_replaced_by_a_hash(self):
        """Guards against names of a size that callers choose."""
        parts = (("5c1e07a2", 800), ("a" * LONG, 410), ("b" * LONG, 250))
        bounded = bound_names(parts)
        self.assertEqual(bounded[0], parts[0])
        self.assertEqual([tokens for _, tokens in bounded], [800, 410, 250])
        self.assertEqual(len({name for name, _ in bounded}), 3)
        for name, _ in bounded:
            self.assertLessEqual(len(name), MAX_KEY_CHARACTERS)
        self.assertEqual(part_key("a" * LONG), bounded[1][0])


class TrackedPartTests(unittest.TestCase):
    """The table of loads keeps a bounded number of parts."""

    def setUp(self):
        """Start without parts."""
        self.loads = LoadTable()

    def record(self, engine: str, name: str, now: float) -> None:
        """Record that an engine caches a part."""
        self.loads.record_cached_parts(engine, ((name, 60), ("own", 60)), now)

    def test_number_of_parts_of_all_engines_is_bounded(self):
        """Guards against memory that grows with the number of engines."""
        engines = 3 * MAX_PARTS // MAX_PARTS_PER_ENGINE
        for number in range(MAX_PARTS_PER_ENGINE):
            for engine in range(engines):
                self.record(f"e{engine}", f"part-{number}", number / 1000)
        self.assertEqual(self.loads.part_count(), MAX_PARTS)
        now = MAX_PARTS_PER_ENGINE / 1000
        newest = ((f"part-{MAX_PARTS_PER_ENGINE - 1}", 60), ("own", 60))
        for engine in range(engines):
            self.assertEqual(self.loads.cached_tokens(f"e{engine}", newest, now), 60)

    def test_parts_that_no_engine_caches_any_more_are_forgotten(self):
        """Guards against names that are kept without being of use."""
        for number in range(50):
            self.record("e0", f"part-{number}", 0.0)
        self.record("e0", "later", PART_CACHED_SECONDS)
        self.assertEqual(self.loads.part_count(), 1)
        self.loads.keep_only(set())
        self.assertEqual(self.loads.part_count(), 0)

    def test_long_names_of_peers_are_ignored(self):
        """Guards against names that a peer of an older version sends."""
        self.loads.receive_cached_parts([("e0", "a" * LONG), ("e0", "5c")], 0.0)
        self.assertEqual(self.loads.part_count(), 1)


class LongNameTests(ScriptedWorkerCase):
    """Requests with long names of parts leave little behind."""

    async def test_long_names_are_neither_kept_nor_sent(self):
        """Guards against prompts that exhaust memory and silence an instance."""
        app, _ = await self.start_scripted([], engine=True)
        for number in range(REQUESTS):
            name = f"{number:08x}" * (LONG // 8)
            headers = {
                b"x-model": b"m",
                b"x-token-count": b"60,66",
                b"x-prompt-prefix": f"{name}:40,{number:x}:20".encode(),
                b"x-deadline": b"8000",
            }
            response = await self.request(
                app, "/chat/a", method="POST", headers=headers
            )
            self.assertEqual(response.status, 200)
        gossip = app.service("gossip")
        self.assertEqual(gossip.loads.part_count(), REQUESTS)
        self.assertLess(len(encode_datagram(gossip.state())), MAX_DATAGRAM_BYTES)
        names = [name for _, name in gossip.state().parts]
        self.assertLessEqual(max(map(len, names)), MAX_KEY_CHARACTERS)
