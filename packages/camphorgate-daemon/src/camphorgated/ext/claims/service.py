"""The service ``claims``: claims, finishes and releases idempotency keys."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec

from camphorgate.accounting.claims import (
    ClaimRecord,
    ClaimsUnavailable,
    claim_key,
    decode_claim,
    encode_claim,
    end_claim,
    stored_answer,
)
from camphorgate.application import Application
from camphorgate.kv.errors import (
    KvError,
    KvOutcomeUnknown,
    KvRefused,
)
from camphorgate.kv.rate_limit import Priority
from camphorgate.kv.records import Delete, KvEntry, Put, new_token, unchanged
from camphorgate.log import log_event
from camphorgated.ext.claims.committing import Committed, Committer, Refused

CLAIM_TTL_SECONDS = 24 * 3600
# New claims share one key-value lease for an hour.
LEASE_REUSE_SECONDS = 3600
# Share of this process's call budget that each of the two committers may use.
COMMITTER_BUDGET_SHARE = 0.4
RETRY_INTERVAL_SECONDS = 2.0
MAX_RETRIES = 150
MAX_PENDING_RETRIES = 500


class Claim(msgspec.Struct, frozen=True):
    """A claim on an idempotency key.

    ``answer`` is the stored first answer if the request is a repeat.
    """

    key: str
    record: ClaimRecord
    revision: int
    answer: bytes | None = None


class ClaimsService:
    """Manages durable claims on idempotency keys; see section 9 of the design."""

    def __init__(self, app: Application) -> None:
        """Create the service; its tasks are started by ``start``."""
        self._app = app
        self._clock = app.clock
        self._kv: Any = None
        self._claim_committer: Any = None
        self._finish_committer: Any = None
        self._owner = ""
        self._lease_id = 0
        self._lease_until = 0.0
        self._grant_task: asyncio.Task[int] | None = None
        self._pending_retries = 0
        self.counts = {"made": 0, "repeats": 0, "unavailable": 0, "released": 0}

    async def start(self) -> None:
        """Start the committers."""
        self._kv = self._app.service("kv")
        rate = self._app.settings.kv.calls_per_second * COMMITTER_BUDGET_SHARE
        self._owner = self._app.settings.instance_id
        if self._app.has_service("membership"):
            incarnation = self._app.service("membership").incarnation
            self._owner = f"{self._owner}.{incarnation}"
        self._claim_committer = Committer(self._kv, self._clock, 1.0 / rate)
        self._finish_committer = Committer(self._kv, self._clock, 1.0 / rate)
        self._app.supervise(self._claim_committer.run, "claims commit")
        self._app.supervise(self._finish_committer.run, "claims ending commit")

    async def stop(self) -> None:
        """Wait up to two seconds for writes that are being retried."""
        for _ in range(20):
            if not self._pending_retries:
                return
            await asyncio.sleep(0.1)

    async def claim(
        self, workspace: str, idempotency_key: str, request_digest: str
    ) -> Claim:
        """Claim a key before its request is sent.

        :param request_digest: digest of the whole request, which tells a repeat from
            a different request under the same key.
        :returns: the claim. If it has an ``answer``, the request was answered before
            and must not be sent again.
        :raises ClaimsUnavailable: if the claim is not durable; the request must not be
            sent.
        :raises RepeatOutcomeUnknown: if the key is claimed but has no recorded answer.
        :raises KeyReused: if the key is claimed for a different request.
        """
        key = claim_key(workspace, idempotency_key)
        record = ClaimRecord(self._owner, new_token(), request_digest)
        try:
            outcome = await self._write(self._claim_committer, key, 0, record)
        except KvError as error:
            self.counts["unavailable"] += 1
            if isinstance(error, KvOutcomeUnknown):
                # The request is not sent. If the claim was written after all, a repeat
                # would wrongly be told that the outcome is unknown.
                withdraw = partial(self._withdraw, key, record)
                self._retry_in_background(withdraw, "claim withdrawal")
            raise ClaimsUnavailable(f"the claim is not durable: {error.code}") from None
        if isinstance(outcome, Committed):
            self.counts["made"] += 1
            return Claim(key, record, outcome.revision)
        self.counts["repeats"] += 1
        return self._claim_for_repeat(key, outcome.entry, request_digest)

    async def finish(self, claim: Claim, answer: bytes | None) -> None:
        """Store the first answer, with retries in the background if that fails.

        :param answer: the answer, stored if it is at most 64 KB; ``None`` if there is
            none.
        """
        record = end_claim(claim.record, answer)

        async def store() -> None:
            await self._write(self._finish_committer, claim.key, claim.revision, record)

        try:
            await store()
        except KvError:
            self._retry_in_background(store, "claim answer")

    async def release(self, claim: Claim) -> None:
        """Delete a claim whose request was certainly never sent."""
        self.counts["released"] += 1
        if not await self._delete(claim.key, claim.revision):
            withdraw = partial(self._withdraw, claim.key, claim.record)
            self._retry_in_background(withdraw, "claim withdrawal")

    def status(self) -> dict[str, Any]:
        """Return the counters shown to operators."""
        committers = [
            item for item in (self._claim_committer, self._finish_committer) if item
        ]
        return {
            **self.counts,
            "retrying": self._pending_retries,
            "transactions": sum(item.transactions for item in committers),
            "changes": sum(item.changes for item in committers),
        }

    async def _write(
        self, committer: Committer, key: str, revision: int, record: ClaimRecord
    ) -> Committed | Refused:
        condition, value = unchanged(key, revision), encode_claim(record)
        try:
            put = Put(key, value, await self._current_lease())
            return await committer.write(condition, put)
        except KvRefused:
            # The lease has expired, for example because the key-value service lost
            # its data.
            self._lease_id = 0
            put = Put(key, value, await self._current_lease())
            return await committer.write(condition, put)

    async def _current_lease(self) -> int:
        if self._lease_id and self._clock.monotonic() < self._lease_until:
            return self._lease_id
        # All waiting callers share one call and resume together, so that their changes
        # end up in the same batch.
        if self._grant_task is None or self._grant_task.done():
            self._grant_task = asyncio.create_task(self._grant_lease())
        return await asyncio.shield(self._grant_task)

    async def _grant_lease(self) -> int:
        ttl = CLAIM_TTL_SECONDS + LEASE_REUSE_SECONDS
        self._lease_id = await self._kv.grant(ttl, Priority.CLAIM)
        self._lease_until = self._clock.monotonic() + LEASE_REUSE_SECONDS
        return self._lease_id

    def _claim_for_repeat(
        self, key: str, entry: KvEntry | None, request_digest: str
    ) -> Claim:
        if entry is None:
            raise ClaimsUnavailable(
                "the claim of another process ended during this call"
            )
        record = decode_claim(entry.value)
        answer = stored_answer(record, request_digest)
        return Claim(key, record, entry.mod_revision, answer)

    async def _withdraw(self, key: str, record: ClaimRecord) -> None:
        """Delete a claim of this process whose request was never sent."""
        entry = await self._kv.get(key, Priority.BACKGROUND)
        own = entry is not None and decode_claim(entry.value) == record
        if own and not await self._delete(key, entry.mod_revision):
            raise KvOutcomeUnknown(f"{key} may still be claimed")

    async def _delete(self, key: str, revision: int) -> bool:
        try:
            condition = unchanged(key, revision)
            await self._kv.transact([condition], [Delete(key)], Priority.CLAIM)
        except KvError:
            return False
        return True

    def _retry_in_background(
        self, attempt: Callable[[], Awaitable[None]], name: str
    ) -> None:
        """Retry an operation in the background for some minutes."""
        if self._pending_retries >= MAX_PENDING_RETRIES:
            log_event("claim_retry_dropped", level="WARNING", task=name)
            return
        self._pending_retries += 1
        self._app.spawn(self._run_retries(attempt, name), name)

    async def _run_retries(
        self, attempt: Callable[[], Awaitable[None]], name: str
    ) -> None:
        try:
            for _ in range(MAX_RETRIES):
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                try:
                    await attempt()
                    return
                except KvError:
                    continue
            log_event("claim_retry_ended", level="WARNING", task=name)
        finally:
            self._pending_retries -= 1
