"""Tests of which prompt parts are blocked, without a network."""

import unittest

from camphorgate.serving.quarantine import (
    BLOCKING_ENDS,
    CERTAIN_ENDS,
    MAX_ANSWERED_PARTS,
    MAX_BLOCKS,
    MAX_EVIDENCE,
    MAX_EVIDENCE_PARTS,
    MAX_EVIDENCE_SECONDS,
    PROVEN_SECONDS,
    SETTLE_SECONDS,
    SURVIVAL_SECONDS,
    TRIAL_FACTOR,
    TRIAL_SECONDS,
    Block,
    Evidence,
    QuarantineTable,
)

NOW = 1000.0


class QuarantineTableTests(unittest.TestCase):
    """A table gets ends and answers one by one."""

    def setUp(self):
        """Start with an empty table."""
        self.table = QuarantineTable()
        self.now = NOW

    def end(self, *parts, upstream=None, request=None, seconds=1.0):
        """Record the end of another upstream under another request."""
        number = len(self.table.evidence_by_id)
        self.now += seconds
        return self.table.record_end(
            (upstream or f"u{number}", 1),
            request or f"r{number}",
            parts,
            self.now - 0.05,
            self.now,
        )

    def blocked(self):
        """Return the parts that are blocked once the evidence has settled."""
        self.table.derive_blocks(self.now + SETTLE_SECONDS)
        return sorted(self.table.blocks_by_parts)

    def test_part_without_answers_is_blocked_after_three_ends(self):
        """Guards against a part that ends one upstream after the other."""
        for _ in range(BLOCKING_ENDS):
            self.assertEqual(self.blocked(), [])
            self.end("c0", "bad")
            self.table.record_answer(["c0"], self.now + 0.01)
        self.assertEqual(self.blocked(), [("bad",)])
        self.assertIsNotNone(self.table.find_block(("c1", "bad")))
        self.assertIsNone(self.table.find_block(("c0", "m1")))

    def test_answer_clears_a_part(self):
        """Guards against sound parts that are blamed for ends before their answer."""
        for _ in range(BLOCKING_ENDS):
            self.end("m1", seconds=PROVEN_SECONDS + 1.0)
            self.assertEqual(self.table.record_answer(["m1"], self.now + 0.01), ["m1"])
        self.assertEqual(self.blocked(), [])

    def test_ends_of_one_moment_count_once(self):
        """Guards against a failing rack that puts parts under suspicion."""
        for number in range(3):
            self.table.record_end(
                (f"u{number}", 1), f"r{number}", ["m1"], NOW - 1.0, NOW + number * 0.01
            )
        self.now = NOW + 1.0
        self.assertEqual(self.blocked(), [])

    def test_ends_under_one_request_or_of_one_upstream_count_once(self):
        """Guards against one unlucky request that blocks its parts."""
        for number in range(CERTAIN_ENDS):
            self.end("m1", upstream=f"u{number}", request="same")
            self.end("m2", upstream="same", request=f"r{number}")
        self.assertEqual(self.blocked(), [])

    def test_blocked_part_explains_the_ends_of_others(self):
        """Guards against the parts of requests that ran beside a crashing one."""
        for number in range(BLOCKING_ENDS + 1):
            self.end("bad", upstream=f"u{number}", request=f"bad{number}")
            if number:
                self.end(
                    "m1", upstream=f"u{number}", request=f"m{number}", seconds=0.001
                )
        self.assertEqual(self.blocked(), [("bad",)])

    def test_parts_that_only_occur_together_are_blocked_together(self):
        """Guards against a caller that has another one's part blocked."""
        for _ in range(BLOCKING_ENDS):
            self.end("bad", "victim")
        self.assertEqual(self.blocked(), [("bad", "victim")])
        self.assertIsNone(self.table.find_block(("victim",)))
        self.table.record_answer(["victim"], self.now + 2.0)
        self.assertEqual(self.blocked(), [("bad",)])

    def test_part_with_earlier_answers_needs_more_evidence(self):
        """Guards against a popular part that is blocked after some unlucky ends."""
        self.table.record_answer(["c0"], self.now)
        self.now += 60.0
        for _ in range(CERTAIN_ENDS):
            self.assertEqual(self.blocked(), [])
            self.table.report_answers(self.end("c0"))
        self.assertEqual(self.blocked(), [("c0",)])

    def test_response_of_an_upstream_refutes_its_end(self):
        """Guards against connections that were reset while the upstream lives."""
        for number in range(BLOCKING_ENDS):
            self.end("m1", upstream=f"u{number}", request=f"r{number}")
        self.assertFalse(self.table.record_response(("u2", 1), self.now + 0.01))
        alive_at = self.now + SURVIVAL_SECONDS
        self.assertTrue(self.table.record_response(("u2", 1), alive_at))
        self.assertEqual(self.blocked(), [])
        self.assertIsNone(self.end("m1", upstream="u2", request="r2"))

    def test_evidence_merges_in_any_order(self):
        """Guards against instances that derive different blocks."""
        found = [self.end("bad", f"m{number}") for number in range(BLOCKING_ENDS)]
        other = QuarantineTable()
        for evidence in (*reversed(found), *found):
            other.merge_evidence(evidence, self.now)
        other.derive_blocks(self.now + SETTLE_SECONDS)
        self.assertEqual(sorted(other.blocks_by_parts), self.blocked())

    def test_answer_lifts_a_block_and_an_older_block_does_not_return(self):
        """Guards against a block that peers bring back after it was lifted."""
        block = Block(("bad",), self.now)
        self.table.merge_block(block)
        self.assertEqual(self.table.record_answer(["bad"], self.now + 1.0), ["bad"])
        self.assertEqual(self.blocked(), [])
        self.assertFalse(self.table.merge_block(block))

    def test_trials_become_rarer(self):
        """Guards against trials that end one upstream after the other."""
        block = Block(("bad",), self.now)
        self.assertEqual(block.trial_at(), self.now + TRIAL_SECONDS)
        tried = self.table.begin_trial(block, block.trial_at())
        self.assertEqual(
            tried.trial_at(), block.trial_at() + TRIAL_SECONDS * TRIAL_FACTOR
        )
        self.assertFalse(self.table.merge_block(block))

    def test_request_is_not_sent_to_a_third_upstream(self):
        """Guards against retries that end upstreams until none is left."""
        self.assertTrue(self.table.may_send_again(("m1",), 1))
        self.assertFalse(self.table.may_send_again(("m1",), 2))
        self.table.record_answer(["m1"], self.now)
        self.assertTrue(self.table.may_send_again(("m1",), 2))

    def test_memory_is_bounded(self):
        """Guards against callers that fill the table with parts of their own."""
        for number in range(MAX_EVIDENCE + 10):
            self.end(f"p{number}", seconds=0.001, upstream=f"u{number}")
            self.table.merge_block(Block((f"p{number}",), self.now))
        self.assertLessEqual(len(self.table.evidence_by_id), MAX_EVIDENCE)
        self.assertEqual(len(self.table.blocks_by_parts), MAX_BLOCKS)
        self.table.record_answer(
            (f"a{number}" for number in range(MAX_ANSWERED_PARTS + 1)), self.now
        )
        self.assertEqual(len(self.table._answered_at_by_part), MAX_ANSWERED_PARTS)
        self.table.expire(self.now + MAX_EVIDENCE_SECONDS + 1.0)
        self.assertEqual(len(self.table.evidence_by_id), 0)

    def test_evidence_of_a_prompt_with_many_parts_is_bounded(self):
        """Guards against a caller whose prompts make news too large to send."""
        self.end("bad")
        evidence = self.end(*(f"m{number}" for number in range(500)), "bad")
        self.assertEqual(len(evidence.parts), MAX_EVIDENCE_PARTS)
        self.assertIn("bad", evidence.parts)

    def test_old_evidence_is_not_taken_over(self):
        """Guards against evidence that circulates between instances for ever."""
        evidence = Evidence(("u1", 1), "r1", NOW, NOW, ("m1",))
        later = NOW + MAX_EVIDENCE_SECONDS + 1.0
        self.assertFalse(self.table.merge_evidence(evidence, later))
