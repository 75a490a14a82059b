"""The key-value client: reads, transactions, leases and watches."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence

from camphorgate.clock import Clock
from camphorgate.kv.budget import Priority
from camphorgate.kv.errors import KvConflict, KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.records import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    KvEntry,
    Operation,
    Put,
    TransactionResult,
    WatchBatch,
    absent,
    decode_entry,
    encode_bytes,
    encode_compare,
    encode_operation,
    new_token,
    prefix_end,
    unchanged,
)
from camphorgate.kv.transport import Transport
from camphorgate.kv.watching import Watcher

PAGE_ENTRIES = 200
WRITE_SECONDS = 5.0
# Room for the token line in front of a value.
_TOKEN_BYTES = 32


class KvClient:
    """Client of one process; every call counts towards its budget."""

    __slots__ = ("_transport", "_clock", "_random", "resolved_by_outcome")

    def __init__(
        self,
        addresses: tuple[str, ...],
        clock: Clock,
        calls_per_second: float = 20.0,
        timeout_seconds: float = 1.0,
        seed: int | None = None,
    ) -> None:
        """Prepare the client without calling the service.

        :param addresses: ``host:port`` of each address of the service.
        :param timeout_seconds: bound on one call.
        :param seed: seed of the jitter; from the system by default.
        """
        self._clock = clock
        self._random = random.Random(seed)
        self._transport = Transport(
            addresses, calls_per_second, timeout_seconds, clock, self._random
        )
        self.resolved_by_outcome = {"applied": 0, "not_applied": 0, "open": 0}

    async def close(self) -> None:
        """Close the connections."""
        await self._transport.close()

    @property
    def in_outage(self) -> bool:
        """Tell whether the service has failed to answer several times in a row."""
        return self._transport.outage.active

    def statistics(self) -> dict:
        """Return counts of calls, failures and resolved writes."""
        budget = self._transport.budget
        return {
            "calls": dict(budget.calls_by_kind),
            "failures": dict(self._transport.failures_by_kind),
            "delayed_by_budget": budget.delayed,
            "resolved": dict(self.resolved_by_outcome),
            "in_outage": self.in_outage,
        }

    async def get(
        self, key: str, priority: Priority = Priority.CONFIGURATION
    ) -> KvEntry | None:
        """Return a key's entry, or ``None`` if it does not exist.

        :raises KvUnavailable: if the service did not answer.
        """
        body = {"key": encode_bytes(key)}
        answer = await self._transport.read("/v3/kv/range", body, priority)
        entries = [decode_entry(item) for item in answer.get("kvs", [])]
        return entries[0] if entries else None

    async def get_prefix(
        self, prefix: str, priority: Priority = Priority.CONFIGURATION
    ) -> list[KvEntry]:
        """Return every entry below a prefix, in order of the keys.

        :raises KvUnavailable: if the service did not answer.
        """
        return (await self.read_prefix(prefix, priority))[0]

    async def read_prefix(
        self, prefix: str, priority: Priority = Priority.CONFIGURATION
    ) -> tuple[list[KvEntry], int]:
        """Return every entry below a prefix and the revision at which it was read."""
        entries: list[KvEntry] = []
        revision = 0
        start, end = encode_bytes(prefix), prefix_end(prefix)
        while True:
            body = {"key": start, "range_end": end, "limit": PAGE_ENTRIES}
            if revision:
                body["revision"] = str(revision)
            answer = await self._transport.read("/v3/kv/range", body, priority)
            revision = revision or int(answer["header"]["revision"])
            entries += [decode_entry(item) for item in answer.get("kvs", [])]
            if not answer.get("more"):
                return entries, revision
            start = encode_bytes(entries[-1].key + "\0")

    async def transact(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Operation],
        priority: Priority = Priority.CONFIGURATION,
        token: str | None = None,
    ) -> TransactionResult:
        """Run the operations if all conditions hold; one attempt.

        :param token: unique token of the write; a new one by default.
        :raises KvUnavailable: if it certainly had no effect.
        :raises KvOutcomeUnknown: if it may have had an effect; see ``write_once``.
        :raises KvRefused: if it is invalid.
        """
        token = token or new_token()
        for operation in operations:
            if isinstance(operation, Put) and len(operation.value) > (
                MAX_VALUE_BYTES - _TOKEN_BYTES
            ):
                raise KvRefused(f"the value of {operation.key} is too large")
        body = {
            "compare": [encode_compare(item) for item in compares],
            "success": [encode_operation(item, token) for item in operations],
            "failure": [],
        }
        answer = await self._transport.send("/v3/kv/txn", body, priority)
        read = [
            decode_entry(item)
            for response in answer.get("responses", [])
            for item in response.get("response_range", {}).get("kvs", [])
        ]
        return TransactionResult(
            succeeded=bool(answer.get("succeeded")),
            revision=int(answer["header"]["revision"]),
            token=token,
            entries_by_key={entry.key: entry for entry in read},
        )

    async def write_once(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Operation],
        priority: Priority = Priority.CONFIGURATION,
        seconds: float = WRITE_SECONDS,
    ) -> TransactionResult:
        """Run a transaction and find out its outcome even if answers are lost.

        After an attempt with an unknown outcome, the first written key is read; its
        token tells whether the write took effect. If it did not, the same transaction
        is sent again with the same token: as the conditions cover the written key, at
        most one of the attempts can take effect.

        :param compares: must cover the key of the first ``Put``.
        :param seconds: bound on all attempts.
        :raises KvConflict: if the conditions do not hold.
        :raises KvUnavailable: if it certainly had no effect.
        :raises KvOutcomeUnknown: if the outcome could not be found out in time.
        """
        key = self._guarded_key(compares, operations)
        token = new_token()
        deadline = self._clock.monotonic() + seconds
        uncertain = False
        while True:
            refused = True
            try:
                result = await self.transact(compares, operations, priority, token)
                if result.succeeded:
                    return result
                if not uncertain:
                    raise KvConflict(f"{key} was changed by another process")
            except KvUnavailable:
                if not uncertain:
                    raise
                refused = False
            except KvOutcomeUnknown:
                uncertain, refused = True, False
            except KvRefused:
                # Refused now, so an attempt that is still on its way is refused too.
                if not uncertain:
                    raise
            found = await self._resolve(key, token, priority, deadline)
            if found is not None:
                return found
            if refused:
                self.resolved_by_outcome["not_applied"] += 1
                raise KvConflict(f"{key} was changed by another process", True)
            await self._pause(key, deadline)

    async def _resolve(
        self, key: str, token: str, priority: Priority, deadline: float
    ) -> TransactionResult | None:
        """Return the result if the key holds the token, else ``None``."""
        while True:
            try:
                entry = await self.get(key, priority)
            except KvUnavailable:
                await self._pause(key, deadline)
                continue
            if entry is not None and entry.token == token:
                self.resolved_by_outcome["applied"] += 1
                return TransactionResult(True, entry.mod_revision, token)
            return None

    async def _pause(self, key: str, deadline: float) -> None:
        if self._clock.monotonic() >= deadline:
            self.resolved_by_outcome["open"] += 1
            raise KvOutcomeUnknown(f"the outcome of a write to {key} is not known")
        await asyncio.sleep(self._random.uniform(0.02, 0.1))

    def _guarded_key(
        self, compares: Sequence[Compare], operations: Sequence[Operation]
    ) -> str:
        keys = [item.key for item in operations if isinstance(item, Put)]
        if not keys or keys[0] not in {item.key for item in compares}:
            raise ValueError("a condition must cover the first key that is written")
        return keys[0]

    async def create(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        priority: Priority = Priority.CONFIGURATION,
    ) -> TransactionResult:
        """Write a key that must not exist yet; outcome as in ``write_once``."""
        return await self.write_once([absent(key)], [Put(key, value, lease)], priority)

    async def replace(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        priority: Priority = Priority.CONFIGURATION,
    ) -> TransactionResult:
        """Write a key that must be unchanged; outcome as in ``write_once``.

        :param mod_revision: the revision at which it was read; 0 if it was absent.
        """
        return await self.write_once(
            [unchanged(key, mod_revision)], [Put(key, value)], priority
        )

    async def put(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        priority: Priority = Priority.CONFIGURATION,
    ) -> TransactionResult:
        """Write a key without conditions; only for keys with a single writer."""
        return await self.transact([], [Put(key, value, lease)], priority)

    async def delete(
        self, key: str, priority: Priority = Priority.CONFIGURATION
    ) -> TransactionResult:
        """Remove a key without conditions."""
        return await self.transact([], [Delete(key)], priority)

    async def grant(
        self, ttl_seconds: int, priority: Priority = Priority.AUTHORITY
    ) -> int:
        """Create a lease and return its id; a lease whose id is lost just ends.

        :raises KvUnavailable: if no lease is known to exist.
        """
        body = {"TTL": str(ttl_seconds), "ID": "0"}
        answer = await self._transport.read("/v3/lease/grant", body, priority)
        return int(answer["ID"])

    async def renew(
        self, lease: int, priority: Priority = Priority.AUTHORITY
    ) -> int | None:
        """Renew a lease; ``None`` means that it has ended.

        :returns: the new time to live in seconds, from when the service renewed it.
        :raises KvUnavailable: if no answer came.
        """
        body = {"ID": str(lease)}
        answer = await self._transport.read("/v3/lease/keepalive", body, priority)
        ttl = int(answer["result"].get("TTL", 0))
        return ttl if ttl > 0 else None

    async def revoke(self, lease: int, priority: Priority = Priority.AUTHORITY) -> None:
        """End a lease and remove its keys.

        :raises KvUnavailable: if no answer came.
        """
        body = {"ID": str(lease)}
        await self._transport.read("/v3/lease/revoke", body, priority)

    def watch(self, prefix: str, start_revision: int = 0) -> AsyncIterator[WatchBatch]:
        """Yield the changes below a prefix for as long as the caller iterates.

        Silence, broken connections and outages are handled inside: after each of them
        the prefix is read anew and a complete batch is yielded.

        :param start_revision: first revision to show; 0 starts with a complete batch.
        """
        watcher = Watcher(self._transport, self.read_prefix, self._random)
        return watcher.run(prefix, start_revision)
