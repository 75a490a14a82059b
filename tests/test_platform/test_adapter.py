"""Tests of the adapter: what it decodes, and its calls against the stand-in."""

import json
import platform
import sys
import unittest

from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.records import KvEntry, Put, absent
from camphorgate.serving.catalog import Kind, Phase, Stage
from camphorgate.serving.errors import CatalogError
from camphorgate.settings import split_address
from camphorgate_platform import decoding, headers
from camphorgate_platform.store import HistoryLost, PlatformStore
from camphorgated.serving.server_connection import Request
from tests.hosted import HostedCase
from tests.hosting_builders import (
    HOST,
    KEY,
    build_platform_configuration,
    build_platform_entry,
)


def entry(value: bytes, revision: int = 5) -> KvEntry:
    """Return a stored entry of an upstream."""
    return KvEntry("servers/u1", value, "", 1, revision)


class StandardLibraryTests(unittest.TestCase):
    """The folder of the adapter does not shadow Python's own module."""

    def test_platform_is_the_standard_library(self):
        """Guards against an ``__init__.py`` in the folder ``platform``."""
        self.assertEqual(platform.__name__, "platform")
        self.assertTrue(platform.__file__.startswith(sys.base_prefix))


class DecodingTests(unittest.TestCase):
    """Configurations and entries become the product's types."""

    def catalog(self, **changes):
        """Decode a configuration."""
        data = json.dumps(build_platform_configuration(**changes)).encode()
        return decoding.decode_catalog(data)

    def test_route_with_the_longest_prefix_wins(self):
        """Guards against a route that hides a longer one."""
        routes = build_platform_configuration()["routes"]
        routes.append({**routes[1], "name": "deep", "path-prefix": "/read/deep/"})
        catalog = self.catalog(routes=routes)
        self.assertEqual(catalog.match(HOST, "/read/deep/x").name, "deep")
        self.assertEqual(catalog.match(HOST + ":80", "/read/x").name, "read")
        self.assertIsNone(catalog.match(HOST, "/readx"))
        self.assertIsNone(catalog.match("other.example", "/read/x"))

    def test_kinds_say_what_may_be_repeated(self):
        """Guards against a booking that runs twice."""
        catalog = self.catalog()
        kinds = {
            name: catalog.match(HOST, f"/{name}/").repeatable()
            for name in ("read", "book", "chat", "draft")
        }
        expected = {"read": True, "book": False, "chat": True, "draft": False}
        self.assertEqual(kinds, expected)
        self.assertIs(catalog.match(HOST, "/book/").kind, Kind.NON_IDEMPOTENT)

    def test_configuration_that_cannot_be_read_is_an_error(self):
        """Guards against half a configuration in force."""
        for raw in (b"", b"{}", b"[1]", b'{"version": "7"}'):
            with self.assertRaises(CatalogError):
                decoding.decode_catalog(raw)

    def test_entry_becomes_an_upstream(self):
        """Guards against fields that are taken for each other."""
        value = build_platform_entry("10.0.0.1:80", phase="prefill", spot=True)
        upstream = decoding.decode_upstream(entry(value))
        self.assertEqual(upstream.id, "u1")
        self.assertIs(upstream.phase, Phase.PREFILL)
        self.assertTrue(upstream.cheap)
        self.assertEqual(upstream.revision, 5)
        self.assertEqual(upstream.started_at, 1000)

    def test_entry_of_another_writer_names_no_upstream(self):
        """Guards against work for whatever somebody left in the list."""
        good = json.loads(build_platform_entry("10.0.0.1:80"))
        odd = [
            b"\xff\xfe",
            b"{}",
            json.dumps({**good, "state": "sleeping"}).encode(),
            json.dumps({**good, "address": 7}).encode(),
            json.dumps({**good, "address": "nowhere"}).encode(),
            json.dumps({**good, "slots": "6"}).encode(),
            json.dumps({**good, "phase": "both"}).encode(),
            json.dumps({k: v for k, v in good.items() if k != "zone"}).encode(),
        ]
        for value in odd:
            with self.subTest(value=value), self.assertRaises(CatalogError):
                decoding.decode_upstream(entry(value))


class HeaderTests(unittest.TestCase):
    """Headers reach the upstream as the caller sent them, but for the system's own."""

    def request(self, **changes):
        """Return a request with headers that a caller must not set."""
        lines = {
            b"host": b"x",
            b"x-attempt-id": b"a1",
            b"x-model": b"m",
            b"x-deadline": b"8000",
            b"authorization": b"Bearer secret",
            b"x-tenant": b"forged",
            b"x-phase": b"prefill",
            b"x-kv-source": b"1.2.3.4:5/h",
            b"x-kv-hold": b"h",
            b"x-pin-ms": b"9",
            b"x-kv-backup": b"1.2.3.4:5",
            b"connection": b"keep-alive, x-private",
            b"x-private": b"1",
            **changes,
        }
        return Request("POST", b"/a", list(lines.items()), b"body", True)

    def test_own_headers_are_set_and_forged_ones_dropped(self):
        """Guards against a key, a workspace or a handle that a caller slips in."""
        lines = headers.upstream_headers(self.request(), "u1", "north", 2.5)
        sent = dict(lines)
        self.assertEqual(len(sent), len(lines))
        self.assertEqual(sent[b"x-tenant"], b"north")
        self.assertEqual(sent[b"x-expect-instance"], b"u1")
        self.assertEqual(sent[b"x-deadline"], b"2500")
        self.assertEqual(sent[b"x-model"], b"m")
        self.assertEqual(sent[b"x-attempt-id"], b"a1")
        self.assertEqual(sent[b"content-length"], b"4")
        for name in (
            b"authorization",
            b"x-phase",
            b"x-kv-source",
            b"x-kv-hold",
            b"x-pin-ms",
            b"x-kv-backup",
            b"x-private",
            b"connection",
        ):
            self.assertNotIn(name, sent)

    def test_open_route_has_no_workspace(self):
        """Guards against a workspace that the caller names itself."""
        lines = headers.upstream_headers(self.request(), "u1", None, 2.5)
        self.assertNotIn(b"x-tenant", dict(lines))

    def test_prompt_is_read(self):
        """Guards against sizes that are taken for each other."""
        lines = [
            (b"x-token-count", b"1460,80"),
            (b"x-prompt-prefix", b"5c:800,91:660"),
        ]
        facts = headers.read_request(Request("POST", b"/", lines, b"", True))
        self.assertEqual((facts.prompt_tokens, facts.output_tokens), (1460, 80))
        self.assertEqual(facts.parts, (("5c", 800), ("91", 660)))
        self.assertIsNone(facts.key)

    def test_refusals_are_told_from_answers(self):
        """Guards against "not run" for a request that ran."""
        refused = headers.read_answer(503, [(b"x-not-executed", b"1")])
        self.assertIs(refused.stage, Stage.REFUSED)
        self.assertIs(headers.read_answer(421, []).stage, Stage.REFUSED)
        self.assertIs(headers.read_answer(503, []).stage, Stage.SENT)
        keep = headers.read_answer(200, [(b"keep-alive", b"timeout=7")])
        self.assertEqual(keep.keep_seconds, 7.0)


class StoreTests(HostedCase):
    """The store's client against the stand-in."""

    async def asyncSetUp(self):
        """Connect a client."""
        await super().asyncSetUp()
        self.client = PlatformStore(split_address(self.store_address))
        self.addCleanup(self.client.close)

    async def test_write_and_read_back(self):
        """Guards against values that change on the way."""
        done = await self.client.transact([absent("a/1")], [Put("a/1", b"\0x")])
        self.assertTrue(done.succeeded)
        found = await self.client.get("a/1")
        self.assertEqual((found.value, found.mod_revision), (b"\0x", done.revision))
        self.assertIsNone(await self.client.get("a/2"))

    async def test_failed_condition_returns_the_present_entry(self):
        """Guards against a lost race that looks like a success."""
        await self.client.transact([], [Put("a/1", b"first")])
        done = await self.client.transact([absent("a/1")], [Put("a/1", b"second")])
        self.assertFalse(done.succeeded)
        self.assertEqual(done.entries_by_key["a/1"].value, b"first")

    async def test_long_prefix_is_read_in_pages(self):
        """Guards against entries beyond the first page that are missing."""
        for number in range(120):
            self.store.put(f"a/{number:03}", b"x")
        entries, revision = await self.client.read_prefix("a/")
        self.assertEqual(len(entries), 120)
        self.assertEqual(revision, self.store.revision)

    async def test_watch_sees_writes_and_removals(self):
        """Guards against changes that a watch misses."""
        watch = self.client.watch("a/", lambda: 5.0)
        first = await anext(watch)
        self.assertTrue(first.complete)
        self.store.put("a/1", b"x")
        second = await anext(watch)
        self.assertEqual([item.key for item in second.entries], ["a/1"])
        self.store.remove("a/1")
        third = await anext(watch)
        self.assertEqual(third.deleted, (("a/1", self.store.revision),))

    async def test_lost_history_reads_everything_anew(self):
        """Guards against a watch that goes on behind a gap."""
        watch = self.client.watch("a/", lambda: 5.0)
        await anext(watch)
        self.store.put("a/1", b"x")
        self.store.faults.arm({"fault": "lose_history", "count": 1})
        batch = await anext(watch)
        self.assertTrue(batch.complete)
        self.assertEqual([item.key for item in batch.entries], ["a/1"])
        self.store.faults.arm({"fault": "lose_history", "count": 1})
        with self.assertRaises(HistoryLost):
            await self.client.watch_once("a/", 1, 5.0)

    async def test_lost_answer_of_a_write_is_unknown(self):
        """Guards against taking a lost answer for a failed write."""
        self.store.faults.arm({"fault": "lose_answers", "count": 1})
        with self.assertRaises(KvOutcomeUnknown):
            await self.client.transact([], [Put("a/1", b"x")])
        self.assertIsNotNone(await self.client.get("a/1"))

    async def test_busy_store_certainly_did_nothing(self):
        """Guards against a refused write that counts as possible."""
        self.store.faults.arm({"fault": "busy", "count": 1})
        with self.assertRaises(KvUnavailable):
            await self.client.transact([], [Put("a/1", b"x")])

    async def test_write_under_an_ended_lease_is_refused(self):
        """Guards against a key that outlives its lease."""
        lease = await self.client.grant(1.0)
        await self.client.revoke(lease)
        self.assertIsNone(await self.client.renew(lease))
        with self.assertRaises(KvRefused):
            await self.client.transact([], [Put("a/1", b"x", lease)])


class KeyTests(unittest.TestCase):
    """The caller's key is read from its header only."""

    def test_key_of_another_scheme_is_none(self):
        """Guards against a password that is taken for a key."""
        basic = [(b"authorization", b"Basic " + KEY.encode())]
        request = Request("GET", b"/", basic, b"", True)
        self.assertIsNone(headers.read_request(request).key)


class OwnWordTests(unittest.TestCase):
    """What an upstream says of itself in the head of an answer."""

    def read(self, status: int, *pairs: tuple[bytes, bytes]):
        """Return the facts of an answer with some headers."""
        return headers.read_answer(status, list(pairs))

    def test_leaving_is_one_and_nothing_else(self):
        """Guards against a worker that is taken away by a header that says no."""
        self.assertTrue(self.read(500, (b"server-leaving", b" 1 ")).leaving)
        for value in (b"0", b"", b"true", b"11", b"1, 1"):
            self.assertFalse(self.read(200, (b"server-leaving", value)).leaving)
        self.assertFalse(self.read(200).leaving)

    def test_retry_after_of_every_form(self):
        """Guards against values that raise, or that pause for ever."""
        date = (b"date", b"Fri, 04 Dec 2026 12:00:00 GMT")
        expected_by_value = {
            b"2": 2.0,
            b" 0.25 ": 0.25,
            b"0": 0.0,
            b"1e300": 1e300,
            b"-1": None,
            b"nan": None,
            b"inf": None,
            b"1e999": None,
            b"": None,
            b"soon": None,
            b"\xff\xfe": None,
            b"Fri, 04 Dec 2026 12:00:03 GMT": 3.0,
            b"Fri, 04 Dec 2026 11:59:00 GMT": None,
            b"Fri, 99 Dec 2026 11:59:00 GMT": None,
        }
        for value, seconds in expected_by_value.items():
            facts = self.read(503, (b"retry-after", value), date)
            self.assertEqual(facts.pause_seconds, seconds, value)
        undated = self.read(503, (b"retry-after", b"Fri, 04 Dec 2026 12:00:03 GMT"))
        self.assertIsNone(undated.pause_seconds)

    def test_retry_after_of_another_status_asks_for_nothing(self):
        """Guards against pauses that a failure or a redirect did not ask for."""
        for status in (200, 429, 500, 301):
            self.assertIsNone(self.read(status, (b"retry-after", b"9")).pause_seconds)
