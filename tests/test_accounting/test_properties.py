"""Property tests of usage accounting under arbitrary orders of steps."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorgate.accounting.windows import aggregate_shard
from tests.test_accounting.simulation import SHARDS, World

# Relative frequency of each step; kills and closed windows are rare compared with
# hand-ins.
WEIGHTS_BY_STEP = {
    "use": 6,
    "send": 6,
    "read": 5,
    "write": 5,
    "tick": 1,
    "close": 1,
    "kill": 0.5,
    "start": 1,
}
STEPS = 150
VICTIM = 0


class _Run:
    """One sequence of steps in which only the victim process is killed."""

    def __init__(self, wrong_beliefs):
        self.world = World(["a", "b", "c"])
        self.wrong_beliefs = wrong_beliefs

    def step(self, kind, one, two, first, second):
        world = self.world
        process, other = world.processes[one], world.processes[two]
        if kind == "tick":
            world.window += 1
        elif kind == "close":
            for window in range(100, world.window):
                world.close(window)
        elif kind == "kill" and one == VICTIM and process.alive:
            process.kill()
        elif kind == "start" and not process.alive:
            process.start()
        elif process.alive:
            self._act(kind, process, other, first, second)

    def _act(self, kind, process, other, first, second):
        if kind == "use":
            process.use(1 + first + 2 * second)
        elif kind == "send" and other is not process:
            process.send(other, first, second or first)
        elif kind == "read":
            process.hand_in_read(self._author(process, other), False)
        elif kind == "write":
            process.hand_in_write(self._author(process, other))

    def _author(self, process, other):
        if other is process:
            return process.author
        held = process.copies.authors()
        if not self.wrong_beliefs:
            held = [author for author in held if self.world.is_dead(author)]
        return held[0] if held else process.author


class UsageProperties(unittest.TestCase):
    def _check(self, seed, wrong_beliefs):
        source = random.Random(seed)
        run = _Run(wrong_beliefs)
        frozen = {}
        kinds, weights = zip(*WEIGHTS_BY_STEP.items(), strict=True)
        for kind in source.choices(kinds, weights, k=STEPS):
            one, two = source.randrange(3), source.randrange(3)
            run.step(kind, one, two, source.random() < 0.7, source.random() < 0.6)
            self._check_frozen(run.world, frozen)
        run.world.settle()
        self._check_frozen(run.world, frozen)
        for author, recorded in run.world.recorded.items():
            handed = run.world.handed_in(author)
            self.assertLessEqual(handed, recorded, author)
            self.assertGreaterEqual(handed, run.world.acknowledged[author], author)
            if not run.world.is_dead(author):
                self.assertEqual(handed, recorded, author)

    def _check_frozen(self, world, frozen):
        for window, rows in world.store.frozen_by_window.items():
            self.assertEqual(frozen.setdefault(window, rows), rows)
            self.assertEqual(
                aggregate_shard(world.store.parts(window), 0, SHARDS), rows
            )

    # The steps are derived from a seed, because lists of steps that hypothesis draws
    # one by one rarely reach an acknowledgement. With seeds, these tests found all
    # mutations of the ledger's and the copies' rules.
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.integers(0, 2**32))
    def test_kills_of_one_process_lose_nothing_and_count_nothing_twice(self, seed):
        """Guards against usage that is lost, doubled or changed after freezing."""
        self._check(seed, wrong_beliefs=False)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.integers(0, 2**32))
    def test_holders_that_wrongly_believe_an_author_dead_do_no_harm(self, seed):
        """Guards against double counting if author and holder both hand in usage."""
        self._check(seed, wrong_beliefs=True)
