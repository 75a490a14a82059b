"""Time series of the requested, served and refused demand of each pool."""

from collections import deque
from typing import Literal

import msgspec

BUCKET_SECONDS = 1.0
MAX_BUCKETS = 300

Outcome = Literal["asked", "served", "refused"]


class Demand(msgspec.Struct):
    """Requests and tokens of one outcome; a plain service call has no tokens."""

    requests: int = 0
    prefill_tokens: float = 0.0
    decode_tokens: float = 0.0

    def add(self, requests: int, prefill_tokens: float, decode_tokens: float) -> None:
        """Add to the counts."""
        self.requests += requests
        self.prefill_tokens += prefill_tokens
        self.decode_tokens += decode_tokens


class Bucket(msgspec.Struct):
    """Demand in one time bucket.

    ``index`` is the start of the bucket divided by ``BUCKET_SECONDS``.
    """

    index: int
    asked: Demand = msgspec.field(default_factory=Demand)
    served: Demand = msgspec.field(default_factory=Demand)
    refused: Demand = msgspec.field(default_factory=Demand)


class DemandHistory:
    """Recent buckets of each pool, oldest first; buckets without demand are omitted."""

    __slots__ = ("_buckets_by_pool",)

    def __init__(self) -> None:
        """Start without any demand."""
        self._buckets_by_pool: dict[str, deque[Bucket]] = {}

    def record_request(
        self,
        outcome: Outcome,
        pool: str,
        prefill_tokens: float,
        decode_tokens: float,
        now: float,
    ) -> None:
        """Count one request with an outcome.

        :param outcome: ``asked`` on arrival, later ``served`` or ``refused``.
        :param now: monotonic seconds.
        """
        buckets = self._buckets_by_pool.setdefault(pool, deque(maxlen=MAX_BUCKETS))
        index = int(now // BUCKET_SECONDS)
        if not buckets or buckets[-1].index < index:
            buckets.append(Bucket(index))
        getattr(buckets[-1], outcome).add(1, prefill_tokens, decode_tokens)

    def buckets(self, pool: str) -> list[Bucket]:
        """Return the buckets of a pool, oldest first."""
        return list(self._buckets_by_pool.get(pool, ()))

    def pools(self) -> list[str]:
        """Return the sorted names of the pools that have had any demand."""
        return sorted(self._buckets_by_pool)

    def rates(self, pool: str, outcome: Outcome, seconds: float, now: float) -> Demand:
        """Return the average demand per second over the last complete buckets.

        :param seconds: length of the period, rounded to at least one bucket.
        """
        last = int(now // BUCKET_SECONDS)
        count = max(1, round(seconds / BUCKET_SECONDS))
        total = Demand()
        for bucket in self._buckets_by_pool.get(pool, ()):
            if last - count <= bucket.index < last:
                part = getattr(bucket, outcome)
                total.add(part.requests, part.prefill_tokens, part.decode_tokens)
        span = count * BUCKET_SECONDS
        return Demand(
            total.requests / span,
            total.prefill_tokens / span,
            total.decode_tokens / span,
        )
