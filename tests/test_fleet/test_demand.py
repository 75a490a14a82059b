"""Demand estimates, the daily pattern, and invalid stored patterns."""

import unittest

import msgspec

from camphorgate.fleet.demand import (
    DAY_SECONDS,
    DecodeTokenCounter,
    DemandMemory,
    DemandModel,
    DemandSample,
    decode_memory,
    encode_memory,
)

STEP = 5.0


def _feed(model, at, seconds, prefill, decode):
    for number in range(int(seconds / STEP)):
        sample = DemandSample(STEP, prefill * STEP, decode * STEP, prompts=10)
        model.observe(sample, at + number * STEP)
    return at + seconds


class EstimateTests(unittest.TestCase):
    def test_half_of_the_mix_shifts_within_a_minute(self):
        """Guards against an estimator too slow to detect a shift of the mix."""
        model = DemandModel()
        at = _feed(model, 0.0, 600, 60000, 1000)
        at = _feed(model, at, 60, 20000, 2500)
        demand = model.forecast(at, 0.0)
        # Within 15% of the step, because the trend overshoots a sudden step.
        self.assertAlmostEqual(demand.prefill, 20000, delta=0.15 * 40000)
        self.assertAlmostEqual(demand.decode, 2500, delta=0.15 * 1500)

    def test_refused_and_waiting_work_is_demand(self):
        """Guards against underestimating the demand of a full pool that refuses it."""
        model = DemandModel()
        for number in range(24):
            sample = DemandSample(
                STEP, 5000, 50, 15000, 150, backlog_prefill=60000, backlog_decode=600
            )
            model.observe(sample, number * STEP)
        demand = model.forecast(120.0, 0.0, clear_seconds=60.0)
        self.assertAlmostEqual(demand.prefill, 4000 + 1000, delta=10)
        self.assertAlmostEqual(demand.decode, 40 + 10, delta=0.1)

    def test_uncertainty_is_larger_early_and_for_noise(self):
        """Guards against role changes that are based on the first few samples."""
        steady, noisy = DemandModel(), DemandModel()
        early = DemandModel()
        _feed(early, 0.0, 10, 10000, 100)
        _feed(steady, 0.0, 600, 10000, 100)
        for number in range(120):
            level = 5000 if number % 2 else 15000
            _feed(noisy, number * STEP, STEP, level, 100)
        errors = [m.forecast(600, 0).prefill_error for m in (steady, noisy, early)]
        self.assertLess(errors[0], errors[1])
        self.assertLess(errors[0], errors[2])

    def test_ledger_corrects_what_was_counted_at_the_start(self):
        """Guards against decode demand that reflects the supply of busy engines."""
        counter = DecodeTokenCounter(typical_length=100.0)
        counted = [counter.start() for _ in range(10)]
        self.assertEqual(counter.take(), 1000)
        for number in counted:
            counter.finish(number, 300.0)
        self.assertEqual(counter.take(), 2000)
        self.assertGreater(counter.typical_length, 120)


class MemoryTests(unittest.TestCase):
    def _trained_model(self):
        model = DemandModel()
        for day in range(2):
            at = float(day * DAY_SECONDS)
            at = _feed(model, at, 6 * 3600, 5000, 50)
            _feed(model, at, 18 * 3600, 40000, 400)
        return model

    def test_restored_pattern_forecasts_the_morning(self):
        """Guards against a new duty holder that ignores the stored daily pattern."""
        memory = decode_memory(encode_memory(self._trained_model().memory()))
        model = DemandModel(memory)
        now = 2 * DAY_SECONDS + 5.9 * 3600
        _feed(model, now - 600, 600, 5000, 50)
        later = model.forecast(now, 900)
        self.assertAlmostEqual(later.prefill, 40000, delta=4000)
        self.assertAlmostEqual(model.forecast(now, 0).prefill, 5000, delta=100)

    def test_memory_is_small(self):
        """Guards against a large value, because it is written to KV every minute."""
        self.assertLess(len(encode_memory(self._trained_model().memory())), 1200)

    def test_unusable_memory_is_ignored(self):
        """Guards against a daemon that fails to start on another record version."""
        self.assertIsNone(decode_memory(b"\xff\x00"))
        for memory in (DemandMemory(version=9), DemandMemory(prefill=(1,))):
            taught = msgspec.msgpack.decode(encode_memory(memory), type=DemandMemory)
            self.assertEqual(DemandModel(taught).forecast(0.0, 900).prefill, 0.0)
