"""Tests of the platform adapter: decoding, headers and the store client."""

import json
import platform
import sys
import unittest
from unittest import mock

from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.records import KvEntry, Put, absent
from camphorgate.serving.catalog import Kind, Phase, Stage
from camphorgate.serving.errors import CatalogError
from camphorgate.settings import split_address
from camphorgate_platform import decoding, headers
from camphorgate_platform.store import HistoryLost, PlatformStore
from camphorgated.serving.call_client import CallClient
from camphorgated.serving.platform_protocol import InstanceLoad
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
    """The adapter's folder does not shadow the standard library's ``platform``."""

    def test_platform_is_the_standard_library(self):
        """Guards against an ``__init__.py`` in the folder ``platform``."""
        self.assertEqual(platform.__name__, "platform")
        self.assertTrue(platform.__file__.startswith(sys.base_prefix))


class DecodingTests(unittest.TestCase):
    """Configurations and entries are decoded into catalog types."""

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

    def test_kinds_determine_what_may_be_retried(self):
        """Guards against a booking that is executed twice."""
        catalog = self.catalog()
        kinds = {
            name: catalog.match(HOST, f"/{name}/").repeatable()
            for name in ("read", "book", "chat", "draft")
        }
        expected = {"read": True, "book": False, "chat": True, "draft": False}
        self.assertEqual(kinds, expected)
        self.assertIs(catalog.match(HOST, "/book/").kind, Kind.NON_IDEMPOTENT)

    def test_invalid_configuration_is_an_error(self):
        """Guards against applying a partial configuration."""
        for raw in (b"", b"{}", b"[1]", b'{"version": "7"}'):
            with self.assertRaises(CatalogError):
                decoding.decode_catalog(raw)

    def test_entry_becomes_an_upstream(self):
        """Guards against swapped fields."""
        value = build_platform_entry("10.0.0.1:80", phase="prefill", spot=True)
        upstream = decoding.decode_upstream(entry(value))
        self.assertEqual(upstream.id, "u1")
        self.assertIs(upstream.phase, Phase.PREFILL)
        self.assertTrue(upstream.cheap)
        self.assertEqual(upstream.revision, 5)
        self.assertEqual(upstream.started_at, 1000)

    def test_invalid_entry_is_an_error(self):
        """Guards against requests to an address from an invalid entry."""
        valid = json.loads(build_platform_entry("10.0.0.1:80"))
        invalid_values = [
            b"\xff\xfe",
            b"{}",
            json.dumps({**valid, "state": "sleeping"}).encode(),
            json.dumps({**valid, "address": 7}).encode(),
            json.dumps({**valid, "address": "nowhere"}).encode(),
            json.dumps({**valid, "slots": "6"}).encode(),
            json.dumps({**valid, "phase": "both"}).encode(),
            json.dumps({k: v for k, v in valid.items() if k != "zone"}).encode(),
        ]
        for value in invalid_values:
            with self.subTest(value=value), self.assertRaises(CatalogError):
                decoding.decode_upstream(entry(value))


class HeaderTests(unittest.TestCase):
    """Headers reach the upstream unchanged, except for those that the system sets."""

    def request(self, **changes):
        """Return a request that includes headers which a caller must not set."""
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
        """Guards against forwarding a key, or a forged workspace or handle."""
        lines = headers.upstream_headers(self.request(), "u1", "north", 2.5)
        sent_headers = dict(lines)
        self.assertEqual(len(sent_headers), len(lines))
        self.assertEqual(sent_headers[b"x-tenant"], b"north")
        self.assertEqual(sent_headers[b"x-expect-instance"], b"u1")
        self.assertEqual(sent_headers[b"x-deadline"], b"2500")
        self.assertEqual(sent_headers[b"x-model"], b"m")
        self.assertEqual(sent_headers[b"x-attempt-id"], b"a1")
        self.assertEqual(sent_headers[b"content-length"], b"4")
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
            self.assertNotIn(name, sent_headers)

    def test_public_route_has_no_workspace(self):
        """Guards against a workspace header that the caller sets."""
        lines = headers.upstream_headers(self.request(), "u1", None, 2.5)
        self.assertNotIn(b"x-tenant", dict(lines))

    def test_prompt_headers_are_parsed(self):
        """Guards against swapped token counts."""
        lines = [
            (b"x-token-count", b"1460,80"),
            (b"x-prompt-prefix", b"5c:800,91:660"),
        ]
        facts = headers.read_request(Request("POST", b"/", lines, b"", True))
        self.assertEqual((facts.prompt_tokens, facts.output_tokens), (1460, 80))
        self.assertEqual(facts.parts, (("5c", 800), ("91", 660)))
        self.assertIsNone(facts.key)

    def test_refusals_are_distinguished_from_responses(self):
        """Guards against reporting "not run" for an executed request."""
        refused = headers.read_answer(503, [(b"x-not-executed", b"1")])
        self.assertIs(refused.stage, Stage.REFUSED)
        self.assertIs(headers.read_answer(421, []).stage, Stage.REFUSED)
        self.assertIs(headers.read_answer(503, []).stage, Stage.SENT)
        keep = headers.read_answer(200, [(b"keep-alive", b"timeout=7")])
        self.assertEqual(keep.keep_seconds, 7.0)


class StoreTests(HostedCase):
    """The client of the store, against the stand-in."""

    async def asyncSetUp(self):
        """Connect a client."""
        await super().asyncSetUp()
        self.client = PlatformStore(split_address(self.store_address))
        self.addCleanup(self.client.close)

    async def test_write_and_read_back(self):
        """Guards against values altered by the encoding."""
        result = await self.client.transact([absent("a/1")], [Put("a/1", b"\0x")])
        self.assertTrue(result.succeeded)
        stored = await self.client.get("a/1")
        self.assertEqual((stored.value, stored.mod_revision), (b"\0x", result.revision))
        self.assertIsNone(await self.client.get("a/2"))

    async def test_failed_condition_returns_the_present_entry(self):
        """Guards against a failed transaction that looks like a success."""
        await self.client.transact([], [Put("a/1", b"first")])
        result = await self.client.transact([absent("a/1")], [Put("a/1", b"second")])
        self.assertFalse(result.succeeded)
        self.assertEqual(result.entries_by_key["a/1"].value, b"first")

    async def test_long_prefix_is_read_in_pages(self):
        """Guards against missing entries after the first page."""
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

    async def test_lost_history_causes_a_complete_read(self):
        """Guards against a watch that continues after a gap."""
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

    async def test_lost_response_to_a_write_is_an_unknown_outcome(self):
        """Guards against treating a lost response as a failed write."""
        self.store.faults.arm({"fault": "lose_answers", "count": 1})
        with self.assertRaises(KvOutcomeUnknown):
            await self.client.transact([], [Put("a/1", b"x")])
        self.assertIsNotNone(await self.client.get("a/1"))

    async def test_invalid_response_to_a_write_is_an_unknown_outcome(self):
        """Guards against treating a write as not executed that took effect."""
        invalid = mock.AsyncMock(return_value=(200, b"{"))
        with mock.patch.object(CallClient, "call", invalid):
            with self.assertRaises(KvOutcomeUnknown):
                await self.client.transact([], [Put("a/1", b"x")])
            with self.assertRaises(KvOutcomeUnknown):
                await self.client.grant(1.0)
            with self.assertRaises(KvUnavailable):
                await self.client.get("a/1")

    async def test_busy_store_did_not_execute_the_write(self):
        """Guards against treating a refused write as possibly executed."""
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


class ApiKeyTests(unittest.TestCase):
    """The caller's key is read from a bearer ``authorization`` header only."""

    def test_credentials_of_another_scheme_are_no_key(self):
        """Guards against using a password as a key."""
        basic = [(b"authorization", b"Basic " + KEY.encode())]
        request = Request("GET", b"/", basic, b"", True)
        self.assertIsNone(headers.read_request(request).key)


class ResponseHeaderTests(unittest.TestCase):
    """``Server-Leaving`` and ``Retry-After`` in the head of a response."""

    def read(self, status: int, *pairs: tuple[bytes, bytes]):
        """Return the facts of a response with some headers."""
        return headers.read_answer(status, list(pairs))

    def test_leaving_is_set_only_by_the_value_one(self):
        """Guards against excluding a worker because of a negative or invalid value."""
        self.assertTrue(self.read(500, (b"server-leaving", b" 1 ")).leaving)
        for value in (b"0", b"", b"true", b"11", b"1, 1"):
            self.assertFalse(self.read(200, (b"server-leaving", value)).leaving)
        self.assertFalse(self.read(200).leaving)

    def test_load_is_read_only_if_every_field_is_valid(self):
        """Guards against choosing upstreams by invalid figures, and errors of them."""
        read = {
            value: self.read(200, (b"x-instance-load", value)).load
            for value in (b"3,0,6", b" 3, 1 ,6,250")
        }
        self.assertEqual(read[b"3,0,6"], InstanceLoad(3, 0, 6))
        self.assertEqual(read[b" 3, 1 ,6,250"], InstanceLoad(3, 1, 6, 2.5))
        self.assertIsNone(self.read(200).load)
        invalid = b"", b"3", b"3,0", b"3,,6", b"3,0,0", b"-1,0,6", b"3,0,6,", b"1e9,0,6"
        invalid += b"3,0,6,0", b"3,0,6,1.5", b"3,0,6,nan", b"3,0,6,99999", b"3,0,6,1,1"
        for value in (*invalid, b"9" * 5000 + b",0,6", "\u0663,0,6".encode()):
            self.assertIsNone(self.read(200, (b"x-instance-load", value)).load, value)

    def test_retry_after_of_every_form(self):
        """Guards against values that raise, or that pause indefinitely."""
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

    def test_retry_after_of_another_status_is_ignored(self):
        """Guards against pauses from responses other than a 503."""
        for status in (200, 429, 500, 301):
            self.assertIsNone(self.read(status, (b"retry-after", b"9")).pause_seconds)

    def test_limit_is_a_positive_decimal_number(self):
        """Guards against a limit that is passed over, or one that is none."""
        for value, limit in ((b"3.1", 3.1), (b"2", 2.0), (b" 0.5 ", 0.5)):
            facts = self.read(200, (b"server-limit", value))
            self.assertEqual(facts.limit_per_second, limit, value)
        for value in (b"nan", b"-3", b"abc", b"1e999", b"", b"0", b"9" * 400, b"2,3"):
            facts = self.read(200, (b"server-limit", value))
            self.assertIsNone(facts.limit_per_second, value)
        self.assertIsNone(self.read(200).limit_per_second)
