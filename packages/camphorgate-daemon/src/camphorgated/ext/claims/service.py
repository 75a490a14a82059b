"""The service ``claims``: claim, finish and release."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec

from camphorgate.accounting.claims import (
    ClaimRecord,
    ClaimsUnavailable,
    answer_repeat,
    claim_key,
    decode,
    encode,
    end,
)
from camphorgate.application import Application
from camphorgate.kv.budget import Priority
from camphorgate.kv.errors import (
    KvError,
    KvOutcomeUnknown,
    KvRefused,
)
from camphorgate.kv.records import Delete, KvEntry, Put, new_token, unchanged
from camphorgate.log import log_event
from camphorgated.ext.claims.committing import Committed, Committer, Refused

CLAIM_SECONDS = 24 * 3600
# All claims of an hour share one lease.
LEASE_REUSE_SECONDS = 3600
# Part of this process's budget of calls that each of the two committers may use.
BUDGET_SHARE = 0.4
RETRY_SECONDS = 2.0
RETRIES = 150
MAX_RETRYING = 500


class Claim(msgspec.Struct, frozen=True):
    """A claim of this process, or for a repeat the stored first answer."""

    key: str
    record: ClaimRecord
    revision: int
    answer: bytes | None = None


class ClaimsService:
    """Durable claims on idempotency keys; see section 9 of the design."""

    def __init__(self, app: Application) -> None:
        """Prepare the service; nothing runs before ``start``."""
        self._app = app
        self._clock = app.clock
        self._kv: Any = None
        self._claims: Any = None
        self._endings: Any = None
        self._owner = ""
        self._lease = 0
        self._lease_until = 0.0
        self._granting: asyncio.Task[int] | None = None
        self._retrying = 0
        self.counts = {"made": 0, "repeats": 0, "unavailable": 0, "released": 0}

    async def start(self) -> None:
        """Start the committers."""
        self._kv = self._app.service("kv")
        rate = self._app.settings.kv.calls_per_second * BUDGET_SHARE
        self._owner = self._app.settings.instance_id
        if self._app.has_service("membership"):
            incarnation = self._app.service("membership").incarnation
            self._owner = f"{self._owner}.{incarnation}"
        self._claims = Committer(self._kv, self._clock, 1.0 / rate)
        self._endings = Committer(self._kv, self._clock, 1.0 / rate)
        self._app.spawn(self._claims.run(), "claims commit")
        self._app.spawn(self._endings.run(), "claims ending commit")

    async def stop(self) -> None:
        """Give endings that are being retried a moment."""
        for _ in range(20):
            if not self._retrying:
                return
            await asyncio.sleep(0.1)

    async def claim(
        self, workspace: str, idempotency_key: str, request_digest: str
    ) -> Claim:
        """Claim a key before its request is sent.

        :param request_digest: of the whole request; a key stands for one request.
        :returns: a claim; with ``answer`` if the key's request has been answered, and
            must then not be sent.
        :raises ClaimsUnavailable: if the claim is not durable; nothing may be sent.
        :raises RepeatUnknown: if the key was claimed and has no recorded answer.
        :raises KeyReused: if the key was claimed for a different request.
        """
        key = claim_key(workspace, idempotency_key)
        record = ClaimRecord(self._owner, new_token(), request_digest)
        try:
            outcome = await self._write(self._claims, key, 0, record)
        except KvError as error:
            self.counts["unavailable"] += 1
            if isinstance(error, KvOutcomeUnknown):
                # The request is not sent, so a claim that was written after all would
                # wrongly tell a repeat that the outcome is unknown.
                withdraw = partial(self._withdraw, key, record)
                self._retry(withdraw, "claim withdrawal")
            raise ClaimsUnavailable(f"the claim is not durable: {error.code}") from None
        if isinstance(outcome, Committed):
            self.counts["made"] += 1
            return Claim(key, record, outcome.revision)
        self.counts["repeats"] += 1
        return self._repeat(key, outcome.entry, request_digest)

    async def finish(self, claim: Claim, answer: bytes | None) -> None:
        """Store the first answer; retried in the background while KV is away.

        :param answer: stored up to 64 KB; ``None`` if there is none.
        """
        record = end(claim.record, answer)

        async def store() -> None:
            await self._write(self._endings, claim.key, claim.revision, record)

        try:
            await store()
        except KvError:
            self._retry(store, "claim answer")

    async def release(self, claim: Claim) -> None:
        """Give up a claim whose request was certainly never sent."""
        self.counts["released"] += 1
        if not await self._delete(claim.key, claim.revision):
            withdraw = partial(self._withdraw, claim.key, claim.record)
            self._retry(withdraw, "claim withdrawal")

    def status(self) -> dict[str, Any]:
        """Return counts."""
        committers = [item for item in (self._claims, self._endings) if item]
        return {
            **self.counts,
            "retrying": self._retrying,
            "transactions": sum(item.transactions for item in committers),
            "changes": sum(item.changes for item in committers),
        }

    async def _write(
        self, committer: Committer, key: str, revision: int, record: ClaimRecord
    ) -> Committed | Refused:
        condition, value = unchanged(key, revision), encode(record)
        try:
            put = Put(key, value, await self._current_lease())
            return await committer.write(condition, put)
        except KvRefused:
            # The lease has ended, as after a loss of the service's data.
            self._lease = 0
            put = Put(key, value, await self._current_lease())
            return await committer.write(condition, put)

    async def _current_lease(self) -> int:
        if self._lease and self._clock.monotonic() < self._lease_until:
            return self._lease
        # One call for all who wait, and all go on at once, into one batch.
        if self._granting is None or self._granting.done():
            self._granting = asyncio.create_task(self._grant_lease())
        return await asyncio.shield(self._granting)

    async def _grant_lease(self) -> int:
        ttl = CLAIM_SECONDS + LEASE_REUSE_SECONDS
        self._lease = await self._kv.grant(ttl, Priority.CLAIM)
        self._lease_until = self._clock.monotonic() + LEASE_REUSE_SECONDS
        return self._lease

    def _repeat(self, key: str, entry: KvEntry | None, request_digest: str) -> Claim:
        if entry is None:
            raise ClaimsUnavailable("the claim of another process has just ended")
        record = decode(entry.value)
        answer = answer_repeat(record, request_digest)
        return Claim(key, record, entry.mod_revision, answer)

    async def _withdraw(self, key: str, record: ClaimRecord) -> None:
        """Delete a claim if it is the own one and its request never ran."""
        entry = await self._kv.get(key, Priority.BACKGROUND)
        own = entry is not None and decode(entry.value) == record
        if own and not await self._delete(key, entry.mod_revision):
            raise KvOutcomeUnknown(f"{key} may still be claimed")

    async def _delete(self, key: str, revision: int) -> bool:
        try:
            condition = unchanged(key, revision)
            await self._kv.transact([condition], [Delete(key)], Priority.CLAIM)
        except KvError:
            return False
        return True

    def _retry(self, attempt: Callable[[], Awaitable[None]], name: str) -> None:
        """Repeat an attempt in the background for some minutes."""
        if self._retrying >= MAX_RETRYING:
            log_event("claim_retry_dropped", level="WARNING", task=name)
            return
        self._retrying += 1
        self._app.spawn(self._repeat_attempt(attempt, name), name)

    async def _repeat_attempt(
        self, attempt: Callable[[], Awaitable[None]], name: str
    ) -> None:
        try:
            for _ in range(RETRIES):
                await asyncio.sleep(RETRY_SECONDS)
                try:
                    await attempt()
                    return
                except KvError:
                    continue
            log_event("claim_retry_ended", level="WARNING", task=name)
        finally:
            self._retrying -= 1
