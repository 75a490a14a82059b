"""Tests of when an instance fetches a configuration that its watchers broadcast."""

import json
import unittest
from unittest import mock

from camphorgate.application import Application
from camphorgate.clock import ManualClock
from camphorgate_platform import decoding
from camphorgated.serving.catalog_state import (
    ARRIVAL_GAP_SECONDS,
    MAX_ARRIVAL_SECONDS,
    CatalogState,
)
from camphorgated.serving.messages import CatalogPart
from tests.hosting_builders import build_platform_configuration

STEP_SECONDS = 0.1


class CatalogStateTests(unittest.TestCase):
    """A newer configuration is fetched only if it does not arrive by itself."""

    def setUp(self):
        """Build the state of an instance that has version 1."""
        self.clock = ManualClock()
        app = Application(mock.Mock(), self.clock)
        app.provide("dialect", decoding)
        app.declare_event("configuration-changed")
        self.state = CatalogState(app)
        self.state.apply(self.encode(1), "store")

    def encode(self, version: int) -> bytes:
        """Return a configuration as the store holds it."""
        return json.dumps(build_platform_configuration(version)).encode()

    def receive_first_of(self, version: int, parts: int = 3) -> None:
        """Receive the first part of a version."""
        part = CatalogPart("entry-1", "zone-a", version, 0, 0, parts, b"x")
        self.state.receive_part(part)

    def test_version_that_is_arriving_is_not_fetched(self):
        """Guards against a fetch by every instance of a zone at each change."""
        self.assertFalse(self.state.needs_fetch())
        self.state.record_report(2, "entry-1")
        self.assertTrue(self.state.needs_fetch())
        self.receive_first_of(2)
        self.assertFalse(self.state.needs_fetch())
        self.clock.advance(ARRIVAL_GAP_SECONDS)
        self.assertTrue(self.state.needs_fetch())

    def test_duplicates_do_not_delay_the_fetch(self):
        """Guards against parts that arrive again and again without the missing one."""
        self.state.record_report(2, "entry-1")
        self.receive_first_of(2)
        self.clock.advance(ARRIVAL_GAP_SECONDS)
        self.receive_first_of(2)
        self.assertTrue(self.state.needs_fetch())

    def test_version_that_never_completes_is_fetched_in_time(self):
        """Guards against waiting while parts of ever newer versions arrive.

        Found by seed 1012 of the soak of configurations: 5.3 s without a fetch.
        """
        self.state.record_report(2, "entry-1")
        for step in range(round(MAX_ARRIVAL_SECONDS / STEP_SECONDS) + 1):
            self.receive_first_of(2 + step)
            self.clock.advance(STEP_SECONDS)
        self.assertTrue(self.state.needs_fetch())

    def test_patches_without_their_base_do_not_delay_the_fetch(self):
        """Guards against waiting for parts that cannot bring a version into force."""
        self.state.record_report(9, "entry-1")
        self.receive_first_of(9)
        self.clock.advance(ARRIVAL_GAP_SECONDS)
        self.state.receive_part(CatalogPart("entry-1", "zone-a", 9, 8, 0, 2, b"x"))
        self.assertTrue(self.state.needs_fetch())

    def test_only_missing_parts_are_requested(self):
        """Guards against one lost datagram that costs a whole configuration."""
        self.assertIsNone(self.state.missing_parts())
        received = [
            CatalogPart("entry-1", "zone-a", 3, 0, number, 9, b"x")
            for number in range(9)
            if number not in (2, 7)
        ]
        for part in received:
            self.state.receive_part(part)
        missing = self.state.missing_parts()
        self.assertEqual((missing.version, missing.numbers), (3, [2, 7]))

    def test_parts_of_a_patch_without_its_base_are_not_requested(self):
        """Guards against a fetch whose answer cannot be applied."""
        for number in range(8):
            part = CatalogPart("entry-1", "zone-a", 9, 8, number, 9, b"x")
            self.state.receive_part(part)
        self.assertIsNone(self.state.missing_parts())

    def test_state_is_behind_until_the_newest_reported_version(self):
        """Guards against a lagging watcher that reassures the zone."""
        self.state.record_report(3, "entry-1")
        self.state.apply(self.encode(2), "entry-2")
        self.state.record_report(2, "entry-2")
        self.assertTrue(self.state.needs_fetch())
        self.state.apply(self.encode(3), "entry-1")
        self.assertFalse(self.state.needs_fetch())
        self.assertIsNone(self.state.behind_seconds())
