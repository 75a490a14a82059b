"""Tests of the validation of manifests and settings."""

import unittest

import json5
import msgspec

from camphorgate.errors import ManifestError, SettingsError
from camphorgate.manifest import ManifestIndex
from camphorgate.manifest_validation import decode_text, parse_manifest
from camphorgate.settings import validate_settings
from tests.builders import KEYS_BY_WORKSPACE, build_manifest

BROKEN = """{
  // a comment
  deployment: "test",
  availability_zones: [{name: "zone-a", region: "r"}],
  pools: [
    {
      name: "models",
      kind: "engine",
      upstreams: [
        {id: "e1", address: "127.0.0.1:1",
         availability_zone: "zone-x", slots: "many"},
      ],
    },
  ],
  workspaces: [{name: "north", wieght: 2}],
}
"""


def _problems(text):
    try:
        parse_manifest(text)
    except ManifestError as error:
        return {problem.path: problem.line for problem in error.problems}
    return {}


class ManifestTests(unittest.TestCase):
    def test_every_type_error_is_listed_with_its_line(self):
        """Guards against operators having to submit once per error."""
        self.assertEqual(
            _problems(BROKEN),
            {
                "$.pools.0.kind": 8,
                "$.pools.0.upstreams.0.slots": 11,
                "$.workspaces.0.wieght": 15,
            },
        )

    def test_key_of_two_workspaces_is_rejected(self):
        """Guards against a key that could run requests for the wrong workspace."""
        manifest = build_manifest()
        first, second = manifest.workspaces
        second = msgspec.structs.replace(second, key_digests=first.key_digests)
        text = msgspec.json.encode(
            msgspec.structs.replace(manifest, workspaces=(first, second))
        ).decode()
        self.assertIn("$.workspaces.1.key_digests.0", _problems(text))

    def test_negative_cost_is_rejected(self):
        """Guards against routing that prefers an upstream for its negative cost."""
        text = msgspec.json.encode(build_manifest()).decode()
        broken = text.replace('"cheap_cost":0.35', '"cheap_cost":-1', 1)
        self.assertNotEqual(broken, text)
        self.assertEqual(set(_problems(broken)), {"$.pools.0.capacity.cheap_cost"})

    def test_invalid_json_is_reported_with_its_line(self):
        """Guards against a parser error without a line."""
        self.assertEqual(_problems("{\n  a: [1,\n"), {"$": 3})

    def test_validated_manifest_is_unchanged(self):
        """Guards against validation that drops or changes fields."""
        manifest = build_manifest()
        text = msgspec.json.encode(manifest).decode()
        self.assertEqual(parse_manifest(text), manifest)


class ManifestIndexTests(unittest.TestCase):
    def setUp(self):
        self.index = ManifestIndex(build_manifest(), version=3)

    def test_key_maps_only_to_its_workspace(self):
        """Guards against requests that run for another workspace."""
        for name, key in KEYS_BY_WORKSPACE.items():
            self.assertEqual(self.index.find_workspace_by_key(key).name, name)
        self.assertIsNone(self.index.find_workspace_by_key("other"))

    def test_route_matches_whole_path_segments(self):
        """Guards against /bookings reaching the service of /booking."""
        self.assertIsNone(self.index.find_service_by_path("/bookings"))
        self.assertEqual(self.index.find_service_by_path("/booking/1").name, "booking")

    def test_post_is_not_idempotent_without_a_rule(self):
        """Guards against a retried booking on a service without rules."""
        service = self.index.find_service_by_path("/booking")
        self.assertFalse(self.index.is_idempotent(service, "POST", "/booking/new"))
        self.assertTrue(self.index.is_idempotent(service, "GET", "/booking/stock"))


class SettingsTests(unittest.TestCase):
    FIELDS = {
        "instance_id": "i-1",
        "availability_zone": "zone-a",
        "region": "region-1",
        "caller_address": "127.0.0.1:8001",
        "admin_address": "127.0.0.1:8002",
        "peer_address": "127.0.0.1:8003",
        "kv": {"addresses": ["127.0.0.1:2379"]},
        "platform": {
            "list_address": "127.0.0.1:7000",
            "capacity_address": "127.0.0.1:7000",
            "usage_address": "127.0.0.1:7000",
        },
    }

    def test_unknown_field_is_rejected_with_its_path(self):
        """Guards against a misspelt setting that silently has no effect."""
        fields = {**self.FIELDS, "limits": {"body_byte": 1}}
        with self.assertRaisesRegex(SettingsError, r"body_byte.*\$\.limits"):
            validate_settings(fields)

    def test_invalid_address_is_rejected_with_its_path(self):
        """Guards against a daemon that starts but is unreachable."""
        fields = {**self.FIELDS, "peer_address": "127.0.0.1"}
        with self.assertRaisesRegex(SettingsError, r"\$\.peer_address"):
            validate_settings(fields)


class DecodingTests(unittest.TestCase):
    TEXTS = (
        '{"a": [1, 2.5, true, null, "x // y"]}',
        "{a: 1, /* c */ 'b': 'it''s'.x, }",
        "{a: [1, 2,], b_$1: {c: 'x',},}  // end",
        '{"a": 1 // comment\n, "b": [],}',
        "{a: +1, b: .5, c: 0x10, d: Infinity}",
        '{"a": "\\u00e9\\n", "a": 2}',
        "[,]",
        "{,}",
        "{a: 1,, b: 2}",
        "{true: 1}",
        '{"a": 1} x',
        '{"a": 1 /',
        "{a b: 1}",
        "",
        '"\\x41"',
    )

    def test_fast_path_matches_json5(self):
        """Guards against a manifest that is decoded differently by the fast path."""
        for text in self.TEXTS:
            with self.subTest(text=text):
                self.assertEqual(_outcome(decode_text, text), _outcome(_json5, text))


def _json5(text):
    return json5.loads(text)


def _outcome(decode, text):
    try:
        return repr(decode(text))
    except ValueError:
        return "refused"
