"""Content-addressed parts of a manifest.

Workspaces and upstreams are spread over buckets by a hash of their names, so that a
change of one of them changes one small part. Their order in a manifest has no meaning
and is not kept: a joined manifest lists them by name, the same on every instance.
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
from camphorgate.manifest import Manifest, Upstream, Workspace

# A bucket of 64 workspaces is about 7 KB; the root then names about 128 parts for 6,600
# workspaces. Smaller buckets would make the root larger than the part that changed.
BUCKET_ITEMS = 64

# KV refuses values above 1 MB; the client adds a token.
MAX_PART_BYTES = 900_000
# Bound on what a damaged or hostile part may unpack to.
MAX_UNPACKED_BYTES = 32_000_000

DIGEST_BYTES = 16

_CORE = "core"


def digest_of(content: bytes) -> bytes:
    """Return the address of a part."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def encode_digest(digest: bytes) -> str:
    """Return the form of a digest in keys and in the root."""
    return base64.urlsafe_b64encode(digest).decode().rstrip("=")


def decode_digest(text: str) -> bytes:
    """Return a digest from its form in keys.

    :raises PartError: if it is not one.
    """
    try:
        digest = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError:
        digest = b""
    if len(digest) != DIGEST_BYTES:
        raise PartError(f"{text!r} is not the digest of a part")
    return digest


def split_manifest(manifest: Manifest) -> dict[str, bytes]:
    """Return the parts of a manifest by name.

    :raises PartError: if a part is too large for KV.
    """
    pools = [msgspec.structs.replace(p, upstreams=()) for p in manifest.pools]
    core = msgspec.structs.replace(manifest, workspaces=(), pools=tuple(pools))
    parts = {_CORE: _pack(core)}
    parts |= _bucket_parts("workspaces", manifest.workspaces, "name")
    for pool in manifest.pools:
        parts |= _bucket_parts(f"upstreams/{pool.name}", pool.upstreams, "id")
    for name, content in parts.items():
        if len(content) > MAX_PART_BYTES:
            raise PartError(f"part {name} is too large: {len(content)} bytes")
    return parts


def join_manifest(contents_by_name: Mapping[str, bytes]) -> Manifest:
    """Return the manifest that was split.

    :raises PartError: if a part is missing or damaged.
    """
    return _join({name: _unpack(name, c) for name, c in contents_by_name.items()})


class PartStore:
    """The parts that an instance holds, by digest, packed and decoded."""

    __slots__ = ("_contents_by_digest", "_decoded_by_digest")

    def __init__(self) -> None:
        """Start without parts."""
        self._contents_by_digest: dict[bytes, bytes] = {}
        self._decoded_by_digest: dict[bytes, Any] = {}

    def get(self, digest: bytes) -> bytes | None:
        """Return a part, if it is held."""
        return self._contents_by_digest.get(digest)

    def missing(self, digests: Iterable[bytes]) -> list[bytes]:
        """Return the digests whose parts are not held, in order."""
        return [d for d in digests if d not in self._contents_by_digest]

    def add(self, digest: bytes, content: bytes) -> bool:
        """Take in a part.

        :returns: false if the content does not match the digest; it is then dropped.
        """
        if digest_of(content) != digest:
            return False
        self._contents_by_digest[digest] = content
        return True

    def join(self, digests_by_name: Mapping[str, bytes]) -> Manifest:
        """Return the manifest of a root; only parts that are new are decoded.

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

    def keep_only(self, digests: Iterable[bytes]) -> None:
        """Drop every part that no kept root names."""
        wanted = set(digests)
        for held in (self._contents_by_digest, self._decoded_by_digest):
            for digest in held.keys() - wanted:
                del held[digest]

    def __len__(self) -> int:
        return len(self._contents_by_digest)


def _bucket_parts(prefix: str, items: Iterable, key: str) -> dict[str, bytes]:
    items = sorted(items, key=lambda item: getattr(item, key))
    count = 1
    while count * BUCKET_ITEMS < len(items):
        count *= 2
    buckets = defaultdict(list)
    for item in items:
        number = xxhash.xxh32_intdigest(getattr(item, key).encode()) % count
        buckets[f"{prefix}/{count}.{number}"].append(item)
    return {name: _pack(bucket) for name, bucket in buckets.items()}


def _join(decoded_by_name: Mapping[str, Any]) -> Manifest:
    core = decoded_by_name.get(_CORE)
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
    kinds = {"workspaces": list[Workspace], "upstreams": list[Upstream]}
    kind = kinds.get(name.partition("/")[0], Manifest)
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(content, MAX_UNPACKED_BYTES)
        return msgspec.json.decode(data, type=kind)
    except (zlib.error, msgspec.DecodeError) as error:
        raise PartError(f"part {name} is damaged: {error}") from None
