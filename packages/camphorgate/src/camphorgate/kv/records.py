"""Entries, conditions and operations of the service, and their JSON form.

Every stored value starts with a line that holds the unique token of its write, so that
a process whose answer was lost can tell whether its own write took effect.
"""

import base64
import secrets
from typing import Literal

import msgspec

MAX_VALUE_BYTES = 1_000_000
_TOKEN_MARK = b"token="


class KvEntry(msgspec.Struct, frozen=True):
    """One key as it is stored."""

    key: str
    value: bytes
    token: str
    create_revision: int
    mod_revision: int
    lease: int = 0


class Compare(msgspec.Struct, frozen=True):
    """A condition on the revision of a key; revision 0 means that it is absent."""

    key: str
    target: Literal["MOD", "CREATE"]
    revision: int


class Put(msgspec.Struct, frozen=True):
    """Write a key; ``lease`` 0 means without a lease."""

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
    """What a transaction did; ``entries_by_key`` holds what it read."""

    succeeded: bool
    revision: int
    token: str
    entries_by_key: dict[str, KvEntry] = {}


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes below a prefix.

    If ``complete``, ``entries`` is everything there is, and keys that are not among
    them are gone. Otherwise they are the keys that changed.
    """

    entries: tuple[KvEntry, ...]
    deleted: tuple[str, ...]
    revision: int
    complete: bool


def unchanged(key: str, mod_revision: int) -> Compare:
    """Return the condition that a key was not written since a revision."""
    return Compare(key, "MOD", mod_revision)


def absent(key: str) -> Compare:
    """Return the condition that a key does not exist."""
    return Compare(key, "CREATE", 0)


def new_token() -> str:
    """Return a token that no other write has."""
    return secrets.token_hex(8)


def encode_bytes(data: bytes | str) -> str:
    """Return the base64 form that the gateway uses."""
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode()


def prefix_end(prefix: str) -> str:
    """Return the base64 form of the end of the range that a prefix covers."""
    raw = bytearray(prefix.encode())
    while raw:
        if raw[-1] < 0xFF:
            raw[-1] += 1
            return encode_bytes(bytes(raw))
        raw.pop()
    return encode_bytes(b"\0")


def encode_compare(compare: Compare) -> dict:
    """Return the gateway's form of a condition."""
    field = {"MOD": "mod_revision", "CREATE": "create_revision"}[compare.target]
    return {
        "key": encode_bytes(compare.key),
        "target": compare.target,
        "result": "EQUAL",
        field: str(compare.revision),
    }


def encode_operation(operation: Operation, token: str) -> dict:
    """Return the gateway's form of an operation.

    :param token: unique token of the write, stored with the value.
    """
    key = encode_bytes(operation.key)
    if isinstance(operation, Read):
        return {"request_range": {"key": key}}
    if isinstance(operation, Delete):
        return {"request_delete_range": {"key": key}}
    value = _TOKEN_MARK + token.encode() + b"\n" + operation.value
    body = {"key": key, "value": encode_bytes(value)}
    if operation.lease:
        body["lease"] = str(operation.lease)
    return {"request_put": body}


def decode_entry(data: dict) -> KvEntry:
    """Return an entry from the gateway's form."""
    raw = base64.b64decode(data.get("value", ""))
    token = ""
    if raw.startswith(_TOKEN_MARK):
        head, _, raw = raw.partition(b"\n")
        token = head[len(_TOKEN_MARK) :].decode()
    return KvEntry(
        key=base64.b64decode(data["key"]).decode(),
        value=raw,
        token=token,
        create_revision=int(data.get("create_revision", 0)),
        mod_revision=int(data.get("mod_revision", 0)),
        lease=int(data.get("lease", 0)),
    )
