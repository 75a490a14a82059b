"""Cache events: late, with gaps, and after an engine's restart."""

import unittest

from camphorgate.requests.cache_events import (
    EVENT_LAG_SECONDS,
    CacheEvent,
    CacheEventLog,
)
from camphorgate.requests.views import UpstreamView

NOW = 100.0


class CacheEventTests(unittest.TestCase):
    def setUp(self):
        self.view = UpstreamView(id="engine-1", pool="models")
        self.log = CacheEventLog()

    def take(self, *events):
        self.log.take(self.view, [CacheEvent(*event) for event in events], NOW)

    def known(self):
        return set(self.view.prefix_seen_at_by_digest)

    def test_events_of_other_instances_become_evidence(self):
        """Guards against routing that knows only its own dispatches."""
        self.take((1, "stored", "a"), (2, "stored", "b"), (3, "removed", "a"))
        self.assertEqual(self.known(), {"b"})
        self.assertEqual((self.log.after, self.log.gaps), (3, 0))

    def test_repeated_and_late_events_change_nothing(self):
        """Guards against an old removal that drops what was stored again."""
        self.take((5, "stored", "a"))
        self.take((4, "removed", "a"), (5, "removed", "a"))
        self.assertEqual((self.known(), self.log.gaps), ({"a"}, 1))

    def test_a_removal_does_not_outrank_a_recent_dispatch(self):
        """Guards against evidence lost to an event that is older than it."""
        self.view.note_prefix("a", NOW - EVENT_LAG_SECONDS / 2)
        self.view.note_prefix("b", NOW - EVENT_LAG_SECONDS * 2)
        self.take((1, "removed", "a"), (2, "removed", "b"))
        self.assertEqual(self.known(), {"a"})

    def test_a_restarted_engine_holds_nothing(self):
        """Guards against affinity to a cache that is gone."""
        self.take((7, "stored", "a"))
        self.log.restart(self.view)
        self.assertEqual((self.known(), self.log.after), (set(), 0))
