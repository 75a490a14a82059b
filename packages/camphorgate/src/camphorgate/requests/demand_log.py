"""What was asked for, served and refused, per pool, in short buckets."""

from collections import deque
from typing import Literal

import msgspec

BUCKET_SECONDS = 1.0
KEPT_BUCKETS = 300

Outcome = Literal["asked", "served", "refused"]


class Demand(msgspec.Struct):
    """Requests and tokens of one outcome; plain calls count as requests only."""

    requests: int = 0
    prefill_tokens: float = 0.0
    decode_tokens: float = 0.0

    def add(self, requests: int, prefill_tokens: float, decode_tokens: float) -> None:
        """Add to the counts."""
        self.requests += requests
        self.prefill_tokens += prefill_tokens
        self.decode_tokens += decode_tokens


class Bucket(msgspec.Struct):
    """The demand of one period; ``number`` is its begin over the bucket's length."""

    number: int
    asked: Demand = msgspec.field(default_factory=Demand)
    served: Demand = msgspec.field(default_factory=Demand)
    refused: Demand = msgspec.field(default_factory=Demand)


class DemandLog:
    """The recent buckets of each pool, oldest first, empty ones left out."""

    __slots__ = ("_buckets_by_pool",)

    def __init__(self) -> None:
        """Start empty."""
        self._buckets_by_pool: dict[str, deque[Bucket]] = {}

    def note(
        self,
        outcome: Outcome,
        pool: str,
        prefill_tokens: float,
        decode_tokens: float,
        now: float,
    ) -> None:
        """Count one request.

        :param outcome: ``asked`` on arrival, then ``served`` or ``refused``.
        :param now: monotonic seconds.
        """
        buckets = self._buckets_by_pool.setdefault(pool, deque(maxlen=KEPT_BUCKETS))
        number = int(now // BUCKET_SECONDS)
        if not buckets or buckets[-1].number < number:
            buckets.append(Bucket(number))
        getattr(buckets[-1], outcome).add(1, prefill_tokens, decode_tokens)

    def buckets(self, pool: str) -> list[Bucket]:
        """Return the buckets of a pool, oldest first."""
        return list(self._buckets_by_pool.get(pool, ()))

    def pools(self) -> list[str]:
        """Return the pools with any demand."""
        return sorted(self._buckets_by_pool)

    def rates(self, pool: str, outcome: Outcome, seconds: float, now: float) -> Demand:
        """Return demand per second over the last whole buckets.

        :param seconds: how far back, at least one bucket.
        """
        last = int(now // BUCKET_SECONDS)
        count = max(1, round(seconds / BUCKET_SECONDS))
        total = Demand()
        for bucket in self._buckets_by_pool.get(pool, ()):
            if last - count <= bucket.number < last:
                part = getattr(bucket, outcome)
                total.add(part.requests, part.prefill_tokens, part.decode_tokens)
        span = count * BUCKET_SECONDS
        return Demand(
            total.requests / span,
            total.prefill_tokens / span,
            total.decode_tokens / span,
        )
