"""Chooses which peers this instance dials."""

from collections.abc import Iterable

from camphorgate.clock import Clock
from camphorgate.membership.roster import Roster
from camphorgate.membership.topology import neighbours
from camphorgate.peers.links import PeerLinks

# How long to wait for a peer that should dial this instance before dialling the peer.
DIAL_GRACE_SECONDS = 2.0


class PeerDialer:
    """Maintains links to the neighbours in the topology and to unknown seeds."""

    __slots__ = ("_roster", "_links", "_clock", "_seeds", "_neighbours", "_revision")

    def __init__(
        self, roster: Roster, links: PeerLinks, clock: Clock, seeds: Iterable[str]
    ) -> None:
        """Create a dialer; ``update`` starts dialling.

        :param seeds: peer addresses from the settings.
        """
        self._roster = roster
        self._links = links
        self._clock = clock
        self._seeds = set(seeds)
        self._neighbours: dict[str, float] = {}
        self._revision = -1

    def update(self) -> None:
        """Dial the neighbours in the topology of known members, and unknown seeds."""
        now = self._clock.monotonic()
        roster = self._roster
        if self._revision != roster.revision:
            self._revision = roster.revision
            self._update_neighbours(now)
        addresses = {
            roster.member(item).peer_address
            for item, since in self._neighbours.items()
            if self._should_dial(item, since, now)
        }
        known = {member.peer_address for member in roster.listed()}
        addresses |= self._seeds - known
        self._links.set_dialled_addresses(addresses - {"", roster.own.peer_address})

    def _update_neighbours(self, now: float) -> None:
        zones = self._roster.listed_by_zone()
        ids_by_zone = {
            zone: [member.instance_id for member in members]
            for zone, members in zones.items()
        }
        neighbour_ids = neighbours(self._roster.own.instance_id, ids_by_zone)
        self._neighbours = {
            item: self._neighbours.get(item, now) for item in neighbour_ids
        }

    def _should_dial(self, instance_id: str, since: float, now: float) -> bool:
        if self._roster.own.instance_id < instance_id:
            return True
        link = self._links.links_by_id.get(instance_id)
        if link is not None:
            return link.dialled
        return now - since > DIAL_GRACE_SECONDS
