"""Tests of how instances encode, split and reassemble a configuration."""

import random
import unittest

import zstandard

from camphorgate.serving.catalog_encoding import (
    MAX_RAW_BYTES,
    EncodedCatalog,
    decode_catalog,
    encode_catalog,
)
from camphorgate.serving.catalog_history import MAX_WAITING_PATCHES, CatalogHistory
from camphorgated.serving.catalog_parts import (
    MAX_INCOMPLETE,
    MAX_PARTS,
    CatalogParts,
    split_catalog,
)
from camphorgated.serving.messages import CatalogPart


def build_versions(count: int, seed: int = 1) -> dict[int, bytes]:
    """Return versions of a text of 300 kB that differ in a few bytes each."""
    source = random.Random(seed)
    raw = source.randbytes(150_000).hex().encode()
    raw_by_version = {}
    for number in range(count):
        start = source.randrange(len(raw))
        raw = raw[:start] + source.randbytes(20).hex().encode() + raw[start + 7 :]
        raw_by_version[3 * number + 1] = raw
    return raw_by_version


class CatalogEncodingTests(unittest.TestCase):
    """An encoded configuration is decoded exactly or not at all."""

    def setUp(self):
        """Build two versions."""
        self.old, self.new = build_versions(2).values()

    def test_size_of_a_patch_follows_from_the_change(self):
        """Guards against changes that cost as much as the whole configuration."""
        patch = encode_catalog(4, self.new, 1, self.old)
        self.assertLess(len(patch.data), 300)
        self.assertEqual(decode_catalog(patch, self.old), self.new)
        complete = encode_catalog(4, self.new)
        self.assertEqual(complete.base, 0)
        self.assertEqual(decode_catalog(complete), self.new)

    def test_patch_of_another_base_is_refused(self):
        """Guards against a configuration that is neither the old nor the new one."""
        patch = encode_catalog(4, self.new, 1, self.old)
        for base in (b"", self.new, self.old[:-1] + b"x", self.old[1:]):
            with self.assertRaises(ValueError):
                decode_catalog(patch, base)

    def test_corrupt_data_is_refused(self):
        """Guards against a truncated or forged encoding that exhausts memory."""
        data = encode_catalog(4, self.new).data
        bomb = zstandard.compress(b"0" * (MAX_RAW_BYTES + 1))
        unsized = zstandard.ZstdCompressor(write_content_size=False).compress(b"0")
        flipped = data[:5000] + bytes([data[5000] ^ 1]) + data[5001:]
        for corrupt in (b"", b"text", data[:-9], flipped, bomb, unsized):
            with self.assertRaises(ValueError):
                decode_catalog(EncodedCatalog(4, 0, corrupt))


class CatalogHistoryTests(unittest.TestCase):
    """Any order of patches leads to the newest version or to a fetch."""

    def test_patches_are_applied_in_the_order_of_versions(self):
        """Guards against changes in quick succession that are lost or reordered."""
        raw_by_version = build_versions(6)
        versions = sorted(raw_by_version)
        sender = CatalogHistory()
        patches = []
        for version in versions:
            sender.add(version, raw_by_version[version])
            patches.append(sender.encode_change())
        for seed in range(30):
            receiver = CatalogHistory()
            receiver.add(versions[0], raw_by_version[versions[0]])
            arriving = patches[1:] * 2
            random.Random(seed).shuffle(arriving)
            for encoded in arriving:
                while encoded is not None and encoded.version > receiver.version:
                    raw = receiver.decode(encoded)
                    if raw is None:
                        break
                    self.assertEqual(raw, raw_by_version[encoded.version])
                    receiver.add(encoded.version, raw)
                    encoded = receiver.pop_waiting()
            self.assertEqual(receiver.version, versions[-1], seed)

    def test_receiver_of_an_older_version_gets_a_complete_encoding(self):
        """Guards against a patch that its receiver cannot apply."""
        raw_by_version = build_versions(3)
        sender = CatalogHistory()
        for version, raw in raw_by_version.items():
            sender.add(version, raw)
        bases = {version: sender.encode(version).base for version in (0, 1, 2, 4, 5)}
        self.assertEqual(bases, {0: 0, 1: 0, 2: 0, 4: 4, 5: 0})

    def test_patches_that_wait_are_bounded(self):
        """Guards against memory that grows with patches that never apply."""
        receiver = CatalogHistory()
        for version in range(10, 40):
            receiver.decode(EncodedCatalog(version + 1, version, b""))
        self.assertEqual(len(receiver._waiting_by_base), MAX_WAITING_PATCHES)
        receiver.add(100, b"{}")
        self.assertEqual(receiver._waiting_by_base, {})


class CatalogPartTests(unittest.TestCase):
    """A configuration sent in parts is reassembled completely or not at all."""

    def setUp(self):
        """Split a configuration that does not compress well."""
        data = random.Random(3).randbytes(5000)
        self.encoded = EncodedCatalog(4, 0, data)
        self.parts = split_catalog("entry-1", "zone-a", self.encoded)

    def test_any_order_gives_the_complete_catalog(self):
        """Guards against confusing one part with another."""
        self.assertGreater(len(self.parts), 3)
        for seed in range(20):
            assembler = CatalogParts()
            parts = self.parts + self.parts[:2]
            random.Random(seed).shuffle(parts)
            assembled = [
                encoded
                for part in parts
                if (encoded := assembler.take(part)) is not None
            ]
            self.assertEqual(assembled[:1], [self.encoded])

    def test_parts_of_two_encodings_are_not_joined(self):
        """Guards against a configuration that mixes two versions or two bases."""
        data = self.encoded.data[::-1]
        for version, base in ((5, 0), (4, 3)):
            other = EncodedCatalog(version, base, data)
            parts = split_catalog("entry-1", "zone-a", other)
            assembler = CatalogParts()
            for part in (*self.parts[:-1], *parts[1:]):
                self.assertIsNone(assembler.take(part))
            self.assertEqual(assembler.take(parts[0]), other)
            self.assertEqual(assembler.take(self.parts[-1]), self.encoded)

    def test_foreign_parts_are_refused(self):
        """Guards against forged parts that exhaust memory."""
        assembler = CatalogParts()
        for number, parts in ((-1, 3), (3, 3), (0, 0), (0, MAX_PARTS + 1)):
            part = CatalogPart("entry-1", "zone-a", 4, 0, number, parts, b"x")
            self.assertIsNone(assembler.take(part))
        for version in range(50):
            assembler.take(CatalogPart("entry-1", "zone-a", version, 0, 0, 2, b"x"))
        self.assertEqual(len(assembler._pieces_by_encoding), MAX_INCOMPLETE)

    def test_parts_of_known_versions_are_dropped(self):
        """Guards against memory that is kept for versions that arrived otherwise."""
        assembler = CatalogParts()
        for part in self.parts[1:]:
            assembler.take(part)
        assembler.drop_older(4)
        self.assertIsNone(assembler.take(self.parts[0]))
