"""Finds the instances that may grant the permits of upstreams."""

from camphorgate.application import Application
from camphorgate.serving.permit_owners import granted_share
from camphorgated.serving.gossip import MAX_NEAR_PEERS_PER_TICK, TICK_SECONDS

# An owner of the own zone that was silent for this long is replaced: some of its
# periodic messages are lost.
MIN_OWNER_SILENCE_SECONDS = 1.5
MAX_LOST_MESSAGES = 3
# The same for an owner of another zone, whose messages are less frequent.
FAR_SILENCE_SECONDS = 10.0


class OwnerCandidates:
    """The instances that may own upstreams, as of the last tick of the gossip."""

    __slots__ = ("_gossip", "_members", "_found_by_zone", "_share")

    def __init__(self, app: Application) -> None:
        """Use the peers that this instance hears and the members that are listed."""
        self._gossip = app.service("gossip")
        self._members = app.service("members")
        # Gossip addresses by instance of the candidates of a zone.
        self._found_by_zone: dict[str, dict[str, str]] = {}
        self._share: float | None = None

    def refresh(self) -> None:
        """Find the candidates again when they are next needed."""
        self._found_by_zone.clear()
        self._share = None

    def by_instance(self, zone: str) -> dict[str, str]:
        """Return the instances that may own the upstreams of a zone.

        Those of the zone that were heard lately; if the zone has none, all listed ones.
        """
        found = self._found_by_zone.get(zone)
        if found is None:
            found = self._found_by_zone[zone] = self._find_instances(zone)
        return found

    def _find_instances(self, zone: str) -> dict[str, str]:
        own = self._members.own
        near = zone == own.zone
        states = self._gossip.peers.live_states(
            self._near_silence_seconds() if near else FAR_SILENCE_SECONDS
        )
        found = {
            state.instance: state.gossip_address
            for state in states
            if state.zone == zone and state.grants_permits
        }
        if near and self._gossip.grants_permits:
            found[own.instance] = own.gossip_address
        listed = self._members.by_instance().values()
        if not found and not near:
            found = {
                member.instance: member.gossip_address
                for member in listed
                if member.zone == zone
            }
        if not found and not any(member.zone == zone for member in listed):
            found = {member.instance: member.gossip_address for member in listed}
        return found

    def _near_silence_seconds(self) -> float:
        """Return after which time an instance of the own zone counts as silent."""
        rounds = -(-len(self._gossip.near) // MAX_NEAR_PEERS_PER_TICK)
        return max(MIN_OWNER_SILENCE_SECONDS, MAX_LOST_MESSAGES * rounds * TICK_SECONDS)

    def share(self) -> float:
        """Return the part of the limits that this instance may grant."""
        if self._share is None:
            own = self._members.own
            states = self._gossip.peers.live_states(self._near_silence_seconds())
            listed = self._members.by_instance().values()
            self._share = granted_share(
                1 + sum(state.zone == own.zone for state in states),
                sum(member.zone == own.zone for member in listed),
            )
        return self._share
