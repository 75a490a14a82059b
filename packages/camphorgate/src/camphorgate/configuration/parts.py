"""Content-addressed parts of a manifest.

Workspaces and upstreams are distributed over buckets by a hash of their names or ids,
so that changing one of them changes only one small part. Their order in a manifest has
no meaning and is not preserved: a joined manifest lists them sorted by name or id, in
the same order on every instance.
"""

import base64
import hashlib
import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
import xxhash

from camphorgate.configuration.errors import PartError
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.manifest import Manifest, Upstream, Workspace

# Upper bound of the average number of items in a bucket. A bucket of 64 workspaces is
# about 7 KB, and the root names about 128 parts for 6,600 workspaces. With smaller
# buckets, the root would be larger than the changed part.
MAX_AVERAGE_BUCKET_ITEMS = 64

# KV rejects values above 1 MB, and the client adds a token to each value.
MAX_PART_BYTES = 900_000
# Bounds the decompressed size of a damaged or malicious part.
MAX_UNPACKED_BYTES = 32_000_000

DIGEST_BYTES = 16

_CORE_PART = "core"


def part_digest(content: bytes) -> bytes:
    """Return the digest that addresses a part."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def encode_digest(digest: bytes) -> str:
    """Encode a digest for use in keys and in the root."""
    return base64.urlsafe_b64encode(digest).decode().rstrip("=")


def decode_digest(text: str) -> bytes:
    """Decode a digest from its text form.

    :raises PartError: if the text is not a digest.
    """
    try:
        digest = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError:
        digest = b""
    if len(digest) != DIGEST_BYTES:
        raise PartError(f"{text!r} is not the digest of a part")
    return digest


def split_manifest(manifest: Manifest) -> dict[str, bytes]:
    """Split a manifest into its parts, by name.

    :raises PartError: if a part is too large for KV.
    """
    pools = [msgspec.structs.replace(p, upstreams=()) for p in manifest.pools]
    core = msgspec.structs.replace(manifest, workspaces=(), pools=tuple(pools))
    parts = {_CORE_PART: _pack(core)}
    parts |= _bucket_parts("workspaces", manifest.workspaces, "name")
    for pool in manifest.pools:
        parts |= _bucket_parts(f"upstreams/{pool.name}", pool.upstreams, "id")
    for name, content in parts.items():
        if len(content) > MAX_PART_BYTES:
            raise PartError(f"part {name} is too large: {len(content)} bytes")
    return parts


def join_manifest(contents_by_name: Mapping[str, bytes]) -> Manifest:
    """Reassemble a manifest from its parts.

    :raises PartError: if a part is missing or damaged.
    """
    return _join({name: _unpack(name, c) for name, c in contents_by_name.items()})


class PartStore:
    """The parts that an instance holds, encoded and decoded, by digest."""

    __slots__ = ("_contents_by_digest", "_decoded_by_digest")

    def __init__(self) -> None:
        """Start without parts."""
        self._contents_by_digest: dict[bytes, bytes] = {}
        self._decoded_by_digest: dict[bytes, Any] = {}

    def get(self, digest: bytes) -> bytes | None:
        """Return the encoded content of a part, ``None`` if it is not held."""
        return self._contents_by_digest.get(digest)

    def missing(self, digests: Iterable[bytes]) -> list[bytes]:
        """Return the digests whose parts are not held, in the given order."""
        return [d for d in digests if d not in self._contents_by_digest]

    def add(self, digest: bytes, content: bytes) -> bool:
        """Add a part.

        :returns: ``False`` if the content does not match the digest; it is not added.
        """
        if part_digest(content) != digest:
            return False
        self._contents_by_digest[digest] = content
        return True

    def join(self, digests_by_name: Mapping[str, bytes]) -> Manifest:
        """Return the manifest of a root; decodes only parts that are new.

        :raises PartError: if a part is missing or damaged.
        """
        decoded = {}
        for name, digest in digests_by_name.items():
            content = self._contents_by_digest.get(digest)
            if content is None:
                raise PartError(f"part {name} is missing")
            if digest not in self._decoded_by_digest:
                self._decoded_by_digest[digest] = _unpack(name, content)
            decoded[name] = self._decoded_by_digest[digest]
        return _join(decoded)

    def retain(self, digests: Iterable[bytes]) -> None:
        """Drop all parts but the given ones."""
        wanted = set(digests)
        for held in (self._contents_by_digest, self._decoded_by_digest):
            for digest in held.keys() - wanted:
                del held[digest]

    def __len__(self) -> int:
        return len(self._contents_by_digest)


def _bucket_parts(prefix: str, items: Iterable, key: str) -> dict[str, bytes]:
    items = sorted(items, key=lambda item: getattr(item, key))
    count = 1
    while count * MAX_AVERAGE_BUCKET_ITEMS < len(items):
        count *= 2
    buckets = defaultdict(list)
    for item in items:
        number = xxhash.xxh32_intdigest(getattr(item, key).encode()) % count
        buckets[f"{prefix}/{count}.{number}"].append(item)
    return {name: _pack(bucket) for name, bucket in buckets.items()}


def _join(decoded_by_name: Mapping[str, Any]) -> Manifest:
    core = decoded_by_name.get(_CORE_PART)
    if core is None:
        raise PartError("part core is missing")
    workspaces: list[Workspace] = []
    upstreams_by_pool: dict[str, list[Upstream]] = defaultdict(list)
    for name, items in decoded_by_name.items():
        kind, _, rest = name.partition("/")
        if kind == "workspaces":
            workspaces += items
        elif kind == "upstreams":
            upstreams_by_pool[rest.partition("/")[0]] += items
    workspaces.sort(key=lambda item: item.name)
    pools = []
    for pool in core.pools:
        upstreams = sorted(upstreams_by_pool[pool.name], key=lambda item: item.id)
        pools.append(msgspec.structs.replace(pool, upstreams=tuple(upstreams)))
    return msgspec.structs.replace(
        core, workspaces=tuple(workspaces), pools=tuple(pools)
    )


def _pack(value: Any) -> bytes:
    return zlib.compress(msgspec.json.encode(value, order="deterministic"), 6)


def _unpack(name: str, content: bytes) -> Any:
    types_by_prefix = {"workspaces": list[Workspace], "upstreams": list[Upstream]}
    part_type = types_by_prefix.get(name.partition("/")[0], Manifest)
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(content, MAX_UNPACKED_BYTES)
        return msgspec.json.decode(data, type=part_type)
    except (zlib.error, *DECODE_ERRORS) as error:
        raise PartError(f"part {name} is damaged: {error}") from None
