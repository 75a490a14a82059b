"""Submits manifests: validation, compare-and-swap, waiting until they are in force."""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

from camphorgate.configuration.errors import (
    OutcomeUnknownError,
    PartError,
    SubmissionError,
)
from camphorgate.configuration.parts import encode_digest, part_digest, split_manifest
from camphorgate.configuration.versions import (
    PART_PREFIX,
    ROOT_KEY,
    Root,
    check_base,
    decode_root,
    encode_root,
    next_root,
)
from camphorgate.errors import ManifestError
from camphorgate.kv.errors import (
    KvConflict,
    KvError,
    KvOutcomeUnknown,
    KvRefused,
    KvUnavailable,
)
from camphorgate.kv.records import Delete, Put, Read, new_token, unchanged
from camphorgate.log import log_event
from camphorgate.manifest_validation import Problem, parse_manifest

if TYPE_CHECKING:
    from camphorgated.ext.configuration.service import ConfigurationService

# Limits of one transaction that writes parts: KV accepts up to 128 operations in a
# transaction and a body of 1 MB.
MAX_PARTS_PER_WRITE = 64
MAX_BYTES_PER_WRITE = 900_000

# How long to wait until the newest version is in force here, so that a conflict can be
# compared with it.
CATCH_UP_TIMEOUT_SECONDS = 1.0
_CHANGE_WAIT_SECONDS = 0.25


class Submission(msgspec.Struct, frozen=True):
    """State of a version that was written to KV.

    ``accepted`` means that a majority of the listed instances runs it. ``missing``
    names the instances that are not known to run it.
    """

    version: int
    accepted: bool
    in_force_everywhere: bool
    missing: tuple[str, ...] = ()


def _read_parts(text: str) -> dict[str, bytes]:
    manifest = parse_manifest(text)
    try:
        return split_manifest(manifest)
    except PartError as error:
        raise ManifestError([Problem("$", error.message)]) from None


class Submitter:
    """Writes new versions to KV."""

    __slots__ = ("_service",)

    def __init__(self, service: "ConfigurationService") -> None:
        """Create the submitter of a configuration service."""
        self._service = service

    async def submit(
        self, text: str, base_version: int, wait_seconds: float
    ) -> Submission:
        """Submit a manifest; see ``ConfigurationService.submit``."""
        # Parsing a large manifest takes a second and must not block the event loop.
        parts_by_name = await asyncio.to_thread(_read_parts, text)
        deadline = self._service.clock.monotonic() + wait_seconds
        current, revision = await self._read_root()
        await self._check_base(current, base_version)
        await self._write_parts(current, parts_by_name.values())
        root = next_root(current, parts_by_name, new_token())
        version = await self._write_root(root, revision, base_version, deadline)
        log_event("configuration_written", version=version, base=base_version)
        for content in parts_by_name.values():
            self._service.store.add(part_digest(content), content)
        self._service.learn_root(root)
        submission = await self._wait_until_in_force(version, deadline)
        if submission.in_force_everywhere and current is not None:
            await self._remove_parts(current, revision, root)
        return submission

    async def _read_root(self) -> tuple[Root | None, int]:
        try:
            entry = await self._service.kv.get(ROOT_KEY)
            root = decode_root(entry.value) if entry else None
        except (KvError, PartError) as error:
            raise SubmissionError(f"cannot read the root: {error.message}") from None
        if root is not None:
            self._service.learn_root(root)
        return root, entry.mod_revision if entry else 0

    async def _check_base(self, current: Root | None, base_version: int) -> None:
        version = current.version if current else 0
        if version != base_version:
            await self._catch_up(version)
        check_base(current, base_version, self._service.ledger)

    async def _catch_up(self, version: int) -> None:
        """Wait briefly until a version is in force here, to compare with it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS):
                while self._service.version < version:
                    await self._wait_for_change()

    async def _write_parts(
        self, current: Root | None, contents: Iterable[bytes]
    ) -> None:
        """Write the parts that the newest root does not reference."""
        stored = set(current.digests.values()) if current else set()
        batch: list[Put] = []
        size = 0
        for content in contents:
            digest = encode_digest(part_digest(content))
            if digest in stored:
                continue
            exceeds_size = size + len(content) > MAX_BYTES_PER_WRITE
            if batch and (exceeds_size or len(batch) == MAX_PARTS_PER_WRITE):
                await self._write_batch(batch)
                batch, size = [], 0
            batch.append(Put(PART_PREFIX + digest, content))
            size += len(content)
        if batch:
            await self._write_batch(batch)

    async def _write_batch(self, batch: list[Put]) -> None:
        # Parts are content-addressed, so a write of unknown outcome can be repeated.
        for final_attempt in (False, True):
            try:
                await self._service.kv.transact([], batch)
                return
            except KvOutcomeUnknown as error:
                if final_attempt:
                    raise self._write_error(error) from None
            except (KvUnavailable, KvRefused) as error:
                raise self._write_error(error) from None

    def _write_error(self, error: KvError) -> SubmissionError:
        return SubmissionError(f"cannot write the configuration: {error.message}")

    async def _write_root(
        self, root: Root, revision: int, base_version: int, deadline: float
    ) -> int:
        """Write the root if the stored one is unchanged, and return its version.

        The root contains the submission's token, so that repeating the write cannot
        make it take effect twice and a reader can tell which submission wrote it.
        """
        outcome_unknown = False
        while True:
            try:
                await self._service.kv.write_once(
                    [unchanged(ROOT_KEY, revision)], [Put(ROOT_KEY, encode_root(root))]
                )
                return root.version
            except KvConflict:
                version = await self._resolve_conflict(root.tokens[0], base_version)
                if version is not None:
                    return version
                outcome_unknown = True
            except KvOutcomeUnknown:
                outcome_unknown = True
            except (KvUnavailable, KvRefused) as error:
                if not outcome_unknown:
                    raise self._write_error(error) from None
            if self._service.clock.monotonic() >= deadline:
                raise OutcomeUnknownError(
                    f"KV failed while writing version {root.version}; check the "
                    "status before submitting again"
                )
            await asyncio.sleep(self._service.random.uniform(0.1, 0.3))

    async def _resolve_conflict(self, token: str, base_version: int) -> int | None:
        """Determine whether this submission's root was written and then replaced.

        :returns: the version that was written, ``None`` if the root cannot be read.
        :raises ConflictError: if another submission took effect instead.
        """
        try:
            current, _ = await self._read_root()
        except SubmissionError:
            return None
        version = current.version_of_token(token) if current else None
        if version is None:
            await self._check_base(current, base_version)
        return version

    async def _wait_until_in_force(self, version: int, deadline: float) -> Submission:
        """Wait until a version is in force everywhere or the deadline has passed."""
        while True:
            submission = self._submission_status(version)
            remaining_seconds = deadline - self._service.clock.monotonic()
            if submission.in_force_everywhere or remaining_seconds <= 0:
                return submission
            await self._wait_for_change(min(remaining_seconds, _CHANGE_WAIT_SECONDS))

    async def _remove_parts(self, replaced: Root, revision: int, root: Root) -> None:
        """Remove the parts referenced only by a replaced root that no instance runs.

        :param revision: the revision of the replaced root. A part with a later revision
            was rewritten for a submission that may still be in progress, so it is kept.
            A part that is rewritten during the removal fails the condition and is kept
            as well.
        """
        stale = set(replaced.digests.values()) - set(root.digests.values())
        keys = [PART_PREFIX + digest for digest in sorted(stale)[:MAX_PARTS_PER_WRITE]]
        if not keys:
            return
        try:
            kv = self._service.kv
            read = await kv.transact([], [Read(key) for key in keys])
            entries = read.entries_by_key.values()
            stale_entries = [item for item in entries if item.mod_revision <= revision]
            conditions = [
                unchanged(item.key, item.mod_revision) for item in stale_entries
            ]
            await kv.transact(conditions, [Delete(item.key) for item in stale_entries])
        except KvError as error:
            log_event("parts_not_removed", level="WARNING", error=error.message)

    def _submission_status(self, version: int) -> Submission:
        book = self._service.membership.book
        listed = len(book.roster.listed())
        current = book.count_current(version)
        missing = tuple(book.instances_behind(version))
        return Submission(version, current * 2 > listed, not missing, missing)

    async def _wait_for_change(self, seconds: float = _CHANGE_WAIT_SECONDS) -> None:
        versions_changed = self._service.versions_changed
        versions_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await versions_changed.wait()
