"""Entries, conditions and operations of the KV service, and their JSON encoding.

Every stored value starts with a line that holds the unique token of its write. A
process that lost the response to a write reads the token back to find out whether the
write took effect.
"""

import base64
import secrets
from typing import Literal

import msgspec

MAX_VALUE_BYTES = 1_000_000
_TOKEN_PREFIX = b"token="


class KvEntry(msgspec.Struct, frozen=True):
    """A stored key with its value, revisions and lease."""

    key: str
    value: bytes
    token: str
    create_revision: int
    mod_revision: int
    lease: int = 0


class Compare(msgspec.Struct, frozen=True):
    """A condition on the revision of a key; revision 0 means that it does not exist."""

    key: str
    target: Literal["MOD", "CREATE"]
    revision: int


class Put(msgspec.Struct, frozen=True):
    """Write a key; ``lease`` 0 attaches no lease."""

    key: str
    value: bytes
    lease: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Remove a key."""

    key: str


class Read(msgspec.Struct, frozen=True):
    """Read a key within a transaction."""

    key: str


Operation = Put | Delete | Read


class TransactionResult(msgspec.Struct, frozen=True):
    """Result of a transaction; ``entries_by_key`` holds the entries that it read."""

    succeeded: bool
    revision: int
    token: str
    entries_by_key: dict[str, KvEntry] = {}


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes below a prefix.

    If ``complete`` is true, ``entries`` holds every key below the prefix, and keys that
    it lacks no longer exist. Otherwise it holds only the keys that changed.
    """

    entries: tuple[KvEntry, ...]
    deleted: tuple[str, ...]
    revision: int
    complete: bool


def unchanged(key: str, mod_revision: int) -> Compare:
    """Return the condition that a key is still at a modification revision."""
    return Compare(key, "MOD", mod_revision)


def absent(key: str) -> Compare:
    """Return the condition that a key does not exist."""
    return Compare(key, "CREATE", 0)


def new_token() -> str:
    """Return a random token that identifies one write."""
    return secrets.token_hex(8)


def encode_bytes(data: bytes | str) -> str:
    """Return data in base64, as the JSON gateway of the KV service expects it."""
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode()


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the key range of a prefix, in base64."""
    end = bytearray(prefix.encode())
    while end:
        if end[-1] < 0xFF:
            end[-1] += 1
            return encode_bytes(bytes(end))
        end.pop()
    return encode_bytes(b"\0")


def encode_compare(compare: Compare) -> dict:
    """Return a condition in the JSON encoding of the gateway."""
    field = {"MOD": "mod_revision", "CREATE": "create_revision"}[compare.target]
    return {
        "key": encode_bytes(compare.key),
        "target": compare.target,
        "result": "EQUAL",
        field: str(compare.revision),
    }


def encode_operation(operation: Operation, token: str) -> dict:
    """Return an operation in the JSON encoding of the gateway.

    :param token: unique token of the write, stored with the value.
    """
    key = encode_bytes(operation.key)
    if isinstance(operation, Read):
        return {"request_range": {"key": key}}
    if isinstance(operation, Delete):
        return {"request_delete_range": {"key": key}}
    value = _TOKEN_PREFIX + token.encode() + b"\n" + operation.value
    body = {"key": key, "value": encode_bytes(value)}
    if operation.lease:
        body["lease"] = str(operation.lease)
    return {"request_put": body}


def decode_entry(data: dict) -> KvEntry:
    """Decode an entry from the JSON encoding of the gateway."""
    value = base64.b64decode(data.get("value", ""))
    token = ""
    if value.startswith(_TOKEN_PREFIX):
        token_line, _, value = value.partition(b"\n")
        token = token_line[len(_TOKEN_PREFIX) :].decode()
    return KvEntry(
        key=base64.b64decode(data["key"]).decode(),
        value=value,
        token=token,
        create_revision=int(data.get("create_revision", 0)),
        mod_revision=int(data.get("mod_revision", 0)),
        lease=int(data.get("lease", 0)),
    )
