"""The key-value client: reads, transactions, leases and watches."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence

from camphorgate.clock import Clock
from camphorgate.kv.errors import KvConflict, KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.rate_limit import Priority
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
from camphorgate.kv.watcher import Watcher

MAX_PAGE_ENTRIES = 200
DEFAULT_WRITE_TIMEOUT_SECONDS = 5.0
# Space reserved for the token line that precedes a value.
_MAX_TOKEN_LINE_BYTES = 32


class KvClient:
    """Key-value client of one process; all calls share one rate limit."""

    __slots__ = ("_transport", "_clock", "_rng", "resolved_by_outcome")

    def __init__(
        self,
        addresses: tuple[str, ...],
        clock: Clock,
        calls_per_second: float = 20.0,
        timeout_seconds: float = 1.0,
        seed: int | None = None,
    ) -> None:
        """Create the client; the first call opens a connection.

        :param addresses: ``host:port`` of each address of the service.
        :param calls_per_second: rate limit of all calls of this process.
        :param timeout_seconds: timeout of one call.
        :param seed: seed of the jitter; random by default.
        """
        self._clock = clock
        self._rng = random.Random(seed)
        self._transport = Transport(
            addresses, calls_per_second, timeout_seconds, clock, self._rng
        )
        self.resolved_by_outcome = {"applied": 0, "not_applied": 0, "open": 0}

    async def close(self) -> None:
        """Close the connections."""
        await self._transport.close()

    @property
    def in_outage(self) -> bool:
        """Return whether consecutive failures have opened the circuit breaker."""
        return self._transport.breaker.is_open

    def statistics(self) -> dict:
        """Return counters of calls, failures and writes with a resolved outcome."""
        budget = self._transport.budget
        return {
            "calls": dict(budget.calls_by_kind),
            "failures": dict(self._transport.failures_by_kind),
            "delayed_by_budget": budget.delayed_calls,
            "resolved": dict(self.resolved_by_outcome),
            "in_outage": self.in_outage,
        }

    async def get(
        self, key: str, priority: Priority = Priority.CONFIGURATION
    ) -> KvEntry | None:
        """Return the entry of a key, or ``None`` if the key does not exist.

        :raises KvUnavailable: if the service did not respond.
        """
        body = {"key": encode_bytes(key)}
        response = await self._transport.send_with_failover(
            "/v3/kv/range", body, priority
        )
        entries = [decode_entry(item) for item in response.get("kvs", [])]
        return entries[0] if entries else None

    async def get_prefix(
        self, prefix: str, priority: Priority = Priority.CONFIGURATION
    ) -> list[KvEntry]:
        """Return all entries below a prefix, sorted by key.

        :raises KvUnavailable: if the service did not respond.
        """
        return (await self.read_prefix(prefix, priority))[0]

    async def read_prefix(
        self, prefix: str, priority: Priority = Priority.CONFIGURATION
    ) -> tuple[list[KvEntry], int]:
        """Return all entries below a prefix and the revision of the read."""
        entries: list[KvEntry] = []
        revision = 0
        start, end = encode_bytes(prefix), prefix_end(prefix)
        while True:
            body = {"key": start, "range_end": end, "limit": MAX_PAGE_ENTRIES}
            if revision:
                body["revision"] = str(revision)
            response = await self._transport.send_with_failover(
                "/v3/kv/range", body, priority
            )
            revision = revision or int(response["header"]["revision"])
            entries += [decode_entry(item) for item in response.get("kvs", [])]
            if not response.get("more"):
                return entries, revision
            start = encode_bytes(entries[-1].key + "\0")

    async def transact(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Operation],
        priority: Priority = Priority.CONFIGURATION,
        token: str | None = None,
    ) -> TransactionResult:
        """Run the operations if all conditions hold, in a single attempt.

        :param token: unique token of the write; a new one by default.
        :raises KvUnavailable: if the transaction definitely had no effect.
        :raises KvOutcomeUnknown: if it may have taken effect; see ``write_once``.
        :raises KvRefused: if the transaction is invalid.
        """
        token = token or new_token()
        for operation in operations:
            if isinstance(operation, Put) and len(operation.value) > (
                MAX_VALUE_BYTES - _MAX_TOKEN_LINE_BYTES
            ):
                raise KvRefused(f"the value of {operation.key} is too large")
        body = {
            "compare": [encode_compare(item) for item in compares],
            "success": [encode_operation(item, token) for item in operations],
            "failure": [],
        }
        response = await self._transport.send("/v3/kv/txn", body, priority)
        entries = [
            decode_entry(item)
            for operation_response in response.get("responses", [])
            for item in operation_response.get("response_range", {}).get("kvs", [])
        ]
        return TransactionResult(
            succeeded=bool(response.get("succeeded")),
            revision=int(response["header"]["revision"]),
            token=token,
            entries_by_key={entry.key: entry for entry in entries},
        )

    async def write_once(
        self,
        compares: Sequence[Compare],
        operations: Sequence[Operation],
        priority: Priority = Priority.CONFIGURATION,
        seconds: float = DEFAULT_WRITE_TIMEOUT_SECONDS,
    ) -> TransactionResult:
        """Run a transaction and determine its outcome even if responses are lost.

        After an attempt with an unknown outcome, the first written key is read back;
        its token shows whether the write took effect. If it did not, the same
        transaction is sent again with the same token. Because the conditions cover the
        written key, at most one of the attempts can take effect.

        :param compares: must cover the key of the first ``Put``.
        :param seconds: time limit of all attempts together.
        :raises KvConflict: if the conditions do not hold.
        :raises KvUnavailable: if the transaction definitely had no effect.
        :raises KvOutcomeUnknown: if the outcome could not be determined in time.
        """
        key = self._guarded_key(compares, operations)
        token = new_token()
        deadline = self._clock.monotonic() + seconds
        outcome_unknown = False
        while True:
            rejected = True
            try:
                result = await self.transact(compares, operations, priority, token)
                if result.succeeded:
                    return result
                if not outcome_unknown:
                    raise KvConflict(f"{key} was changed by another process")
            except KvUnavailable:
                if not outcome_unknown:
                    raise
                rejected = False
            except KvOutcomeUnknown:
                outcome_unknown, rejected = True, False
            except KvRefused:
                # Rejected now, so an attempt still in flight is rejected as well.
                if not outcome_unknown:
                    raise
            applied = await self._find_applied_write(key, token, priority, deadline)
            if applied is not None:
                return applied
            if rejected:
                self.resolved_by_outcome["not_applied"] += 1
                raise KvConflict(f"{key} was changed by another process", True)
            await self._sleep_before_retry(key, deadline)

    async def _find_applied_write(
        self, key: str, token: str, priority: Priority, deadline: float
    ) -> TransactionResult | None:
        """Return the result if the key holds the write's token, else ``None``."""
        while True:
            try:
                entry = await self.get(key, priority)
            except KvUnavailable:
                await self._sleep_before_retry(key, deadline)
                continue
            if entry is not None and entry.token == token:
                self.resolved_by_outcome["applied"] += 1
                return TransactionResult(True, entry.mod_revision, token)
            return None

    async def _sleep_before_retry(self, key: str, deadline: float) -> None:
        if self._clock.monotonic() >= deadline:
            self.resolved_by_outcome["open"] += 1
            raise KvOutcomeUnknown(f"the outcome of a write to {key} is unknown")
        await asyncio.sleep(self._rng.uniform(0.02, 0.1))

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
        """Write a key that must not exist yet; raises as ``write_once`` does."""
        return await self.write_once([absent(key)], [Put(key, value, lease)], priority)

    async def replace(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        priority: Priority = Priority.CONFIGURATION,
    ) -> TransactionResult:
        """Write a key that must be unchanged; raises as ``write_once`` does.

        :param mod_revision: modification revision that was read; 0 if it did not exist.
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
        """Write a key unconditionally; only for keys with a single writer."""
        return await self.transact([], [Put(key, value, lease)], priority)

    async def delete(
        self, key: str, priority: Priority = Priority.CONFIGURATION
    ) -> TransactionResult:
        """Delete a key unconditionally."""
        return await self.transact([], [Delete(key)], priority)

    async def grant(
        self, ttl_seconds: int, priority: Priority = Priority.AUTHORITY
    ) -> int:
        """Create a lease and return its id; a lease whose id is lost expires.

        :raises KvUnavailable: if the service confirmed no lease.
        """
        body = {"TTL": str(ttl_seconds), "ID": "0"}
        response = await self._transport.send_with_failover(
            "/v3/lease/grant", body, priority
        )
        return int(response["ID"])

    async def renew(
        self, lease: int, priority: Priority = Priority.AUTHORITY
    ) -> int | None:
        """Renew a lease; ``None`` means that it has expired.

        :returns: the time to live in seconds, counted from the renewal by the service.
        :raises KvUnavailable: if the service did not respond.
        """
        body = {"ID": str(lease)}
        response = await self._transport.send_with_failover(
            "/v3/lease/keepalive", body, priority
        )
        ttl = int(response["result"].get("TTL", 0))
        return ttl if ttl > 0 else None

    async def revoke(self, lease: int, priority: Priority = Priority.AUTHORITY) -> None:
        """Revoke a lease, which deletes its keys.

        :raises KvUnavailable: if the service did not respond.
        """
        body = {"ID": str(lease)}
        await self._transport.send_with_failover("/v3/lease/revoke", body, priority)

    def watch(self, prefix: str, start_revision: int = 0) -> AsyncIterator[WatchBatch]:
        """Yield the changes below a prefix for as long as the caller iterates.

        Idle timeouts, broken connections and outages are handled internally: after
        each of them the prefix is read again and a complete batch is yielded.

        :param start_revision: first revision to watch; 0 starts with a complete batch.
        """
        watcher = Watcher(self._transport, self.read_prefix, self._rng)
        return watcher.run(prefix, start_revision)
