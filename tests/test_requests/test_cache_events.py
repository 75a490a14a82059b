"""Tests for cache events: late ones, gaps and engine restarts."""

import unittest

from camphorgate.requests.cache_events import (
    MAX_EVENT_LAG_SECONDS,
    CacheEvent,
    CacheEventTracker,
)
from camphorgate.requests.request_state import UpstreamState

NOW = 100.0


class CacheEventTests(unittest.TestCase):
    def setUp(self):
        self.view = UpstreamState(id="engine-1", pool="models")
        self.log = CacheEventTracker()

    def take(self, *events):
        self.log.apply_events(self.view, [CacheEvent(*event) for event in events], NOW)

    def known(self):
        return set(self.view.prefix_seen_at_by_digest)

    def test_events_of_other_instances_become_evidence(self):
        """Guards against ignoring prefixes that other instances caused to be cached."""
        self.take((1, "stored", "a"), (2, "stored", "b"), (3, "removed", "a"))
        self.assertEqual(self.known(), {"b"})
        self.assertEqual((self.log.last_seq, self.log.gap_count), (3, 0))

    def test_repeated_and_late_events_change_nothing(self):
        """Guards against a late removal event that drops a prefix stored since."""
        self.take((5, "stored", "a"))
        self.take((4, "removed", "a"), (5, "removed", "a"))
        self.assertEqual((self.known(), self.log.gap_count), ({"a"}, 1))

    def test_a_removal_does_not_outrank_a_recent_dispatch(self):
        """Guards against dropping a prefix for an event older than its dispatch."""
        self.view.record_prefix("a", NOW - MAX_EVENT_LAG_SECONDS / 2)
        self.view.record_prefix("b", NOW - MAX_EVENT_LAG_SECONDS * 2)
        self.take((1, "removed", "a"), (2, "removed", "b"))
        self.assertEqual(self.known(), {"a"})

    def test_a_restarted_engine_holds_nothing(self):
        """Guards against affinity to the cache of an engine that has restarted."""
        self.take((7, "stored", "a"))
        self.log.reset(self.view)
        self.assertEqual((self.known(), self.log.last_seq), (set(), 0))
