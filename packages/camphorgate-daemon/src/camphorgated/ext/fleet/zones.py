"""Records in KV of each zone's capacity changes in progress.

The holder of a zone's capacity duty writes its record and every instance reads it.
Holders of other zones count the upstreams that are starting there, and gateways send
no more requests to withdrawn upstreams.
"""

from typing import Any

import msgspec

from camphorgate.errors import CamphorgateError
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.kv.rate_limit import Priority
from camphorgate.log import log_event
from camphorgate.manifest import UpstreamKind

ZONES_PREFIX = "fleet/zones/"
# A start counts as lost if no upstream appears within this multiple of the usual
# provisioning time.
LOST_START_FACTOR = 3.0


class Start(msgspec.Struct, frozen=True):
    """An ordered upstream; ``before`` lists the ids that existed before the order."""

    pool: str
    kind: UpstreamKind
    at: float
    before: tuple[str, ...] = ()


class ZoneRecord(msgspec.Struct, frozen=True):
    """The pending starts and withdrawals of a zone, in seconds since the Unix epoch."""

    starts: tuple[Start, ...] = ()
    withdrawn_at_by_id: dict[str, float] = {}


class ZoneRecords:
    """The records of all zones as last read from KV."""

    __slots__ = ("records_by_zone", "_revisions_by_zone", "_kv")

    def __init__(self, kv: Any) -> None:
        """Start empty; ``read`` fetches the records."""
        self.records_by_zone: dict[str, ZoneRecord] = {}
        self._revisions_by_zone: dict[str, int] = {}
        self._kv = kv

    async def read(self) -> None:
        """Read all records; on failure the previous ones are kept.

        :raises KvError: if the key-value service does not answer.
        """
        entries = await self._kv.get_prefix(ZONES_PREFIX, Priority.BACKGROUND)
        records, revisions = {}, {}
        for entry in entries:
            zone = entry.key.removeprefix(ZONES_PREFIX)
            try:
                records[zone] = msgspec.json.decode(entry.value, type=ZoneRecord)
            except DECODE_ERRORS as error:
                log_event("zone_record_unreadable", zone=zone, error=str(error))
            revisions[zone] = entry.mod_revision
        self.records_by_zone, self._revisions_by_zone = records, revisions

    def record(self, zone: str) -> ZoneRecord:
        """Return the record of a zone, or an empty record if there is none."""
        return self.records_by_zone.get(zone, ZoneRecord())

    async def write(self, zone: str, record: ZoneRecord) -> bool:
        """Write a zone's record unless another process changed it since the last read.

        :returns: whether the record was certainly written.
        """
        if record == self.record(zone):
            return True
        revision = self._revisions_by_zone.get(zone, 0)
        try:
            result = await self._kv.replace(
                ZONES_PREFIX + zone, msgspec.json.encode(record), revision
            )
        except CamphorgateError as error:
            log_event("zone_record_not_written", zone=zone, error=error.code)
            return False
        self.records_by_zone[zone] = record
        self._revisions_by_zone[zone] = result.revision
        return True

    def withdrawn_at(self) -> dict[str, float]:
        """Return the withdrawal time of each withdrawn upstream in all zones."""
        return {
            upstream_id: at
            for record in self.records_by_zone.values()
            for upstream_id, at in record.withdrawn_at_by_id.items()
        }


def prune_record(
    record: ZoneRecord, ids: set[str], now: float, provisioning_seconds: float
) -> ZoneRecord:
    """Remove completed or lost starts, and withdrawals of upstreams that are gone.

    :param ids: the ids of the upstreams listed in the zone.
    """
    used: set[str] = set()
    starts = []
    for start in record.starts:
        arrived = sorted(ids - set(start.before) - used)
        if arrived:
            used.add(arrived[0])
        elif now - start.at < LOST_START_FACTOR * provisioning_seconds:
            starts.append(start)
    withdrawn = {k: at for k, at in record.withdrawn_at_by_id.items() if k in ids}
    return ZoneRecord(tuple(starts), withdrawn)
