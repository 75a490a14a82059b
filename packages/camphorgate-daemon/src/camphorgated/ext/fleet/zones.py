"""What the holder of a zone's capacity duty has under way, kept in KV.

Every instance reads it: the holders of other zones count what is starting there, and
all gateways give withdrawn upstreams no more work.
"""

from typing import Any

import msgspec

from camphorgate.errors import CamphorgateError
from camphorgate.kv.budget import Priority
from camphorgate.log import log_event
from camphorgate.manifest import UpstreamKind

PREFIX = "fleet/zones/"
# A start without an upstream after this many usual delays is taken for lost.
LOST_START_FACTOR = 3.0


class Start(msgspec.Struct, frozen=True):
    """An upstream that was ordered; ``before`` lists those that were there already."""

    pool: str
    kind: UpstreamKind
    at: float
    before: tuple[str, ...] = ()


class ZoneRecord(msgspec.Struct, frozen=True):
    """One zone's starts and withdrawals; times are seconds since the Unix epoch."""

    starts: tuple[Start, ...] = ()
    withdrawn_at_by_id: dict[str, float] = {}


class ZoneRecords:
    """The records of all zones as they were read last."""

    __slots__ = ("records_by_zone", "_revisions_by_zone", "_kv")

    def __init__(self, kv: Any) -> None:
        """Start without records."""
        self.records_by_zone: dict[str, ZoneRecord] = {}
        self._revisions_by_zone: dict[str, int] = {}
        self._kv = kv

    async def read(self) -> None:
        """Read every record; on failure the last ones stay.

        :raises KvError: if the service does not answer.
        """
        entries = await self._kv.get_prefix(PREFIX, Priority.BACKGROUND)
        records, revisions = {}, {}
        for entry in entries:
            zone = entry.key.removeprefix(PREFIX)
            try:
                records[zone] = msgspec.json.decode(entry.value, type=ZoneRecord)
            except msgspec.DecodeError as error:
                log_event("zone_record_unreadable", zone=zone, error=str(error))
            revisions[zone] = entry.mod_revision
        self.records_by_zone, self._revisions_by_zone = records, revisions

    def of(self, zone: str) -> ZoneRecord:
        """Return the record of a zone, an empty one if there is none."""
        return self.records_by_zone.get(zone, ZoneRecord())

    async def write(self, zone: str, record: ZoneRecord) -> bool:
        """Write a zone's record on condition that no one else has.

        :returns: whether it is written for certain.
        """
        if record == self.of(zone):
            return True
        revision = self._revisions_by_zone.get(zone, 0)
        try:
            result = await self._kv.replace(
                PREFIX + zone, msgspec.json.encode(record), revision
            )
        except CamphorgateError as error:
            log_event("zone_record_not_written", zone=zone, error=error.code)
            return False
        self.records_by_zone[zone] = record
        self._revisions_by_zone[zone] = result.revision
        return True

    def withdrawn_at(self) -> dict[str, float]:
        """Return since when each withdrawn upstream is, over all zones."""
        return {
            upstream_id: at
            for record in self.records_by_zone.values()
            for upstream_id, at in record.withdrawn_at_by_id.items()
        }


def tidy(
    record: ZoneRecord, ids: set[str], now: float, provisioning_seconds: float
) -> ZoneRecord:
    """Drop starts that came or are lost, and withdrawals of upstreams that are gone.

    :param ids: the upstreams that are listed in the zone.
    """
    used: set[str] = set()
    starts = []
    for start in record.starts:
        came = sorted(ids - set(start.before) - used)
        if came:
            used.add(came[0])
        elif now - start.at < LOST_START_FACTOR * provisioning_seconds:
            starts.append(start)
    withdrawn = {k: at for k, at in record.withdrawn_at_by_id.items() if k in ids}
    return ZoneRecord(tuple(starts), withdrawn)
