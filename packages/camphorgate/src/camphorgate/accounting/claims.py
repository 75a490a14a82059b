"""Claims on idempotency keys: who runs a request, and what a repeat is told."""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Literal, TypeVar
from urllib.parse import quote

import msgspec

from camphorgate.errors import CamphorgateError

PREFIX = "claims/"
MAX_ANSWER_BYTES = 65536
# etcd refuses transactions with more than 128 operations and requests above 1.5 MB.
MAX_BATCH_ITEMS = 100
MAX_BATCH_BYTES = 500_000

T = TypeVar("T")


class ClaimsUnavailable(CamphorgateError):
    """The claim could not be made durable; the request must not be sent."""

    code = "claims_unavailable"


class RepeatUnknown(CamphorgateError):
    """The key was claimed before and no answer of its request is recorded."""

    code = "outcome_unknown"


class KeyReused(CamphorgateError):
    """The key was claimed before for a different request."""

    code = "bad_request"


class ClaimRecord(msgspec.Struct, frozen=True):
    """What the key-value service keeps of a claim.

    ``owner`` is the incarnation that made it, and ``nonce`` is unique to the attempt:
    an attempt that is withdrawn must never remove a later one. ``state`` is
    ``"claimed"`` until the request ended; an answer that is too long to be stored
    leaves ``answer`` empty.
    """

    owner: str
    nonce: str
    request_digest: str
    state: Literal["claimed", "ended"] = "claimed"
    answer: bytes | None = None


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the key under which a claim is stored; keys are never stored as such."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{PREFIX}{quote(workspace, safe='')}/{digest}"


def encode(record: ClaimRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> ClaimRecord:
    """Return a record from its stored form."""
    return msgspec.msgpack.decode(data, type=ClaimRecord)


def end(record: ClaimRecord, answer: bytes | None) -> ClaimRecord:
    """Return the record after the request ended.

    :param answer: the first answer; left out if it is longer than 64 KB.
    """
    if answer is not None and len(answer) > MAX_ANSWER_BYTES:
        answer = None
    return msgspec.structs.replace(record, state="ended", answer=answer)


def answer_repeat(record: ClaimRecord, request_digest: str) -> bytes:
    """Return the stored first answer for a repeat.

    :raises KeyReused: if the repeat is a different request.
    :raises RepeatUnknown: if there is no stored answer.
    """
    if record.request_digest != request_digest:
        raise KeyReused("the Idempotency-Key was used for a different request")
    if record.answer is None:
        words = "has no recorded answer"
        if record.state == "claimed":
            words = "has not ended, or its outcome is not known"
        raise RepeatUnknown(f"the first request with this Idempotency-Key {words}")
    return record.answer


def first_batch(items: Sequence[T], sizes: Iterable[int]) -> list[T]:
    """Return as many of the first items as fit one transaction, at least one.

    :param sizes: bytes of each item.
    """
    batch: list[T] = []
    total = 0
    for item, size in zip(items, sizes, strict=False):
        total += size
        if batch and (total > MAX_BATCH_BYTES or len(batch) >= MAX_BATCH_ITEMS):
            break
        batch.append(item)
    return batch
