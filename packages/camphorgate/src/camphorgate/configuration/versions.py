"""Versions of the configuration: roots, submissions and the version in force."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from camphorgate.configuration.errors import ConflictError, PartError
from camphorgate.configuration.parts import (
    decode_digest,
    encode_digest,
    part_digest,
)
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.manifest import Manifest, ManifestIndex

ROOT_KEY = "config/root"
PART_PREFIX = "config/parts/"

# Number of tokens of the newest versions that a root carries. A submitter that got no
# answer finds its token here even if other submissions have followed.
MAX_ROOT_TOKENS = 16

# Number of manifests kept to list the changes since the base version of a conflict.
MAX_MANIFESTS = 4

MAX_CHANGE_LINES = 100


class Root(msgspec.Struct, frozen=True):
    """The root of a version.

    ``digests`` holds the digest of each part by name. ``tokens`` holds the tokens of
    the latest submissions, newest first; each submission has a unique token.
    """

    version: int
    base: int
    digests: dict[str, str]
    tokens: tuple[str, ...] = ()

    def digests_by_name(self) -> dict[str, bytes]:
        """Return the decoded digests of the parts by name.

        :raises PartError: if a digest is malformed.
        """
        return {name: decode_digest(text) for name, text in self.digests.items()}

    def version_of_token(self, token: str) -> int | None:
        """Return the version that a token's submission wrote, if it is recent."""
        if token not in self.tokens:
            return None
        return self.version - self.tokens.index(token)


def encode_root(root: Root) -> bytes:
    """Serialize a root for storage."""
    return msgspec.json.encode(root)


def decode_root(data: bytes) -> Root:
    """Deserialize a stored root.

    :raises PartError: if it is damaged.
    """
    try:
        return msgspec.json.decode(data, type=Root)
    except DECODE_ERRORS as error:
        raise PartError(f"the root is damaged: {error}") from None


def next_root(
    current: Root | None, parts_by_name: Mapping[str, bytes], token: str
) -> Root:
    """Return the root of the version that follows the current one.

    :param current: the newest root; ``None`` before the first submission.
    """
    version = current.version if current else 0
    tokens = (token, *(current.tokens if current else ()))[:MAX_ROOT_TOKENS]
    digests = {n: encode_digest(part_digest(c)) for n, c in parts_by_name.items()}
    return Root(version + 1, version, digests, tokens)


def check_base(
    current: Root | None, base_version: int, ledger: "VersionTracker"
) -> None:
    """Check that a submission is based on the newest version.

    :raises ConflictError: if it is not; lists the changes since then, if known.
    """
    version = current.version if current else 0
    if version == base_version:
        return
    raise ConflictError(base_version, version, ledger.changes_since(base_version))


class VersionTracker:
    """The highest known version and the version in force; both only increase."""

    __slots__ = ("highest_known", "index", "root", "_manifests_by_version")

    def __init__(self) -> None:
        """Start without a configuration."""
        self.highest_known = 0
        self.index: ManifestIndex | None = None
        self.root: Root | None = None
        self._manifests_by_version: dict[int, Manifest] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.index.version if self.index else 0

    def record_known(self, version: int) -> bool:
        """Record that a version exists.

        :returns: whether it is higher than all known versions.
        """
        if version <= self.highest_known:
            return False
        self.highest_known = version
        return True

    def apply(self, root: Root, manifest: Manifest) -> bool:
        """Put a version in force unless the one in force is at least as new.

        :returns: whether this call put the version in force.
        """
        self.record_known(root.version)
        if root.version <= self.version:
            return False
        self.index = ManifestIndex(manifest, root.version)
        self.root = root
        self._manifests_by_version[root.version] = manifest
        while len(self._manifests_by_version) > MAX_MANIFESTS:
            del self._manifests_by_version[min(self._manifests_by_version)]
        return True

    def changes_since(self, version: int) -> list[str]:
        """Describe the changes from a version to the one in force."""
        if self.index is None:
            return []
        if version == 0:
            return ["the first configuration was submitted"]
        before = self._manifests_by_version.get(version)
        if before is None:
            return [f"version {version} is too old to compare"]
        return list_changes(before, self.index.manifest)


def list_changes(before: Manifest, after: Manifest) -> list[str]:
    """Return one line per difference between two manifests, at most 100.

    Key digests are counted but never shown.
    """
    lines = []
    for line in _differences(msgspec.to_builtins(before), msgspec.to_builtins(after)):
        if len(lines) == MAX_CHANGE_LINES:
            return [*lines, "and more"]
        lines.append(line)
    return lines


def _differences(before: Any, after: Any, path: str = "$") -> Iterator[str]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(before.keys() | after.keys()):
            yield from _differences(before.get(name), after.get(name), f"{path}.{name}")
    elif path.endswith(".key_digests"):
        removed = len(set(before or ()) - set(after or ()))
        added = len(set(after or ()) - set(before or ()))
        yield f"{path}: {removed} keys withdrawn, {added} keys added"
    elif _all_identified(before) and _all_identified(after):
        yield from _differences(_by_name(before), _by_name(after), path)
    elif isinstance(before, dict | list) or isinstance(after, dict | list):
        change = (
            "added" if before is None else "removed" if after is None else "changed"
        )
        yield f"{path}: {change}"
    else:
        yield f"{path}: {before!r} -> {after!r}"


def _all_identified(items: Any) -> bool:
    return isinstance(items, list | tuple) and all(
        isinstance(item, dict) and ("name" in item or "id" in item) for item in items
    )


def _by_name(items: list[dict]) -> dict[str, dict]:
    return {item.get("name", item.get("id")): item for item in items}
