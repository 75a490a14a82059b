"""Converts member records between the roster, beats and KV."""

import msgspec

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.membership.roster import Member, MemberState
from camphorgate.peers.peers_pb2 import Hello, MemberRecord

ROSTER_PREFIX = "roster/"

# Limit of the earlier incarnations kept in an entry; their usage may not be complete
# yet.
MAX_EARLIER_INCARNATIONS = 16


class EarlierIncarnation(msgspec.Struct, frozen=True):
    """An earlier run of an instance and the holders of copies of its usage."""

    incarnation: int
    copy_holders: tuple[str, ...] = ()


class RosterEntry(msgspec.Struct, frozen=True):
    """An instance's roster entry in KV."""

    instance_id: str
    incarnation: int
    availability_zone: str
    region: str
    peer_address: str
    copy_holders: tuple[str, ...] = ()
    earlier: tuple[EarlierIncarnation, ...] = ()


def build_replacement(entry: RosterEntry, stored: RosterEntry | None) -> RosterEntry:
    """Return an entry that replaces a stored one and includes its incarnation."""
    if stored is None or stored.incarnation == entry.incarnation:
        return entry
    previous = EarlierIncarnation(stored.incarnation, stored.copy_holders)
    earlier = (previous, *stored.earlier)[:MAX_EARLIER_INCARNATIONS]
    return msgspec.structs.replace(entry, earlier=earlier)


def decode_entry(value: bytes) -> RosterEntry | None:
    """Decode a stored entry; return ``None`` if it is corrupt."""
    try:
        return msgspec.json.decode(value, type=RosterEntry)
    except DECODE_ERRORS:
        return None


def member_from_entry(entry: RosterEntry) -> Member:
    """Return the member that an entry describes."""
    return Member(
        entry.instance_id,
        entry.incarnation,
        entry.availability_zone,
        entry.region,
        entry.peer_address,
    )


def member_from_hello(hello: Hello) -> Member:
    """Return the member that a hello describes."""
    return Member(
        hello.instance,
        hello.incarnation,
        hello.availability_zone,
        hello.region,
        hello.peer_address,
    )


def member_from_record(record: MemberRecord) -> Member:
    """Return the member that a record of a beat describes."""
    return Member(
        record.instance,
        record.incarnation,
        record.availability_zone,
        record.region,
        record.peer_address,
        MemberState(min(record.state, MemberState.GONE)),
        record.state_sequence,
    )


def record_from_member(member: Member) -> MemberRecord:
    """Return the record of a member for beats."""
    return MemberRecord(
        instance=member.instance_id,
        incarnation=member.incarnation,
        availability_zone=member.availability_zone,
        region=member.region,
        peer_address=member.peer_address,
        state=int(member.state),
        state_sequence=member.state_sequence,
    )
