"""Claims on idempotency keys, which keep a repeated request from running twice."""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Literal, TypeVar
from urllib.parse import quote

import msgspec

from camphorgate.errors import CamphorgateError

CLAIM_PREFIX = "claims/"
MAX_ANSWER_BYTES = 65536
# etcd refuses transactions with more than 128 operations and requests above 1.5 MB.
MAX_BATCH_ITEMS = 100
MAX_BATCH_BYTES = 500_000

T = TypeVar("T")


class ClaimsUnavailable(CamphorgateError):
    """The claim could not be stored durably, so the request must not be sent."""

    code = "claims_unavailable"


class RepeatOutcomeUnknown(CamphorgateError):
    """The key was already claimed, and no answer to that request is stored."""

    code = "outcome_unknown"


class KeyReused(CamphorgateError):
    """The key was already claimed for a different request."""

    code = "bad_request"


class ClaimRecord(msgspec.Struct, frozen=True):
    """The record of a claim in the key-value service.

    ``owner`` is the incarnation that made the claim. ``nonce`` is unique to each
    attempt, so that withdrawing an attempt never removes a later one. ``state`` is
    ``"claimed"`` until the request has ended. ``answer`` stays empty if the answer is
    too long to be stored.
    """

    owner: str
    nonce: str
    request_digest: str
    state: Literal["claimed", "ended"] = "claimed"
    answer: bytes | None = None


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the storage key of a claim; it holds only a hash of the caller's key."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{quote(workspace, safe='')}/{digest}"


def encode_claim(record: ClaimRecord) -> bytes:
    """Serialize a record for storage."""
    return msgspec.msgpack.encode(record)


def decode_claim(data: bytes) -> ClaimRecord:
    """Deserialize a stored record."""
    return msgspec.msgpack.decode(data, type=ClaimRecord)


def end_claim(record: ClaimRecord, answer: bytes | None) -> ClaimRecord:
    """Return the record after the request ended.

    :param answer: the answer to the request; not kept if it is longer than 64 KB.
    """
    if answer is not None and len(answer) > MAX_ANSWER_BYTES:
        answer = None
    return msgspec.structs.replace(record, state="ended", answer=answer)


def stored_answer(record: ClaimRecord, request_digest: str) -> bytes:
    """Return the stored answer for a repeated request.

    :raises KeyReused: if the repeated request differs from the first one.
    :raises RepeatOutcomeUnknown: if no answer is stored.
    """
    if record.request_digest != request_digest:
        raise KeyReused("the Idempotency-Key was used for a different request")
    if record.answer is None:
        reason = "has no recorded answer"
        if record.state == "claimed":
            reason = "has not ended, or its outcome is not known"
        raise RepeatOutcomeUnknown(
            f"the first request with this Idempotency-Key {reason}"
        )
    return record.answer


def first_batch(items: Sequence[T], sizes: Iterable[int]) -> list[T]:
    """Return the leading items that fit into one transaction, at least one.

    :param sizes: the size of each item in bytes.
    """
    batch: list[T] = []
    total = 0
    for item, size in zip(items, sizes, strict=False):
        total += size
        if batch and (total > MAX_BATCH_BYTES or len(batch) >= MAX_BATCH_ITEMS):
            break
        batch.append(item)
    return batch
