"""Tracks the other instances by the list of members and by their messages."""

from camphorgate.clock import Clock
from camphorgate.log import log_event
from camphorgate.serving.watcher_selection import MAX_PEER_SILENCE_SECONDS
from camphorgated.serving.messages import State

# An address is kept this long after the last state from it or, if there was none,
# after it was first reported.
ADDRESS_LIFETIME_SECONDS = 30.0
# The number of instances is computed again after this time.
COUNT_CACHE_SECONDS = 0.2


class Peer:
    """Holds the newest state of another instance and when it was received."""

    __slots__ = ("state", "received_at")

    def __init__(self, state: State, received_at: float) -> None:
        """Keep a state received at a monotonic time."""
        self.state = state
        self.received_at = received_at


class PeerTable:
    """The other instances as this instance knows them."""

    __slots__ = (
        "_clock",
        "_members",
        "_seeds",
        "_peers_by_instance",
        "_known_addresses",
        "_changing_by_instance",
        "_count",
        "_counted_at",
    )

    def __init__(self, clock: Clock, members, seeds: int) -> None:
        """Start without peers.

        :param members: the own entry and the listed instances.
        :param seeds: how many instances the settings name.
        """
        self._clock = clock
        self._members = members
        self._seeds = seeds
        self._peers_by_instance: dict[str, Peer] = {}
        self._known_addresses: dict[str, float] = {}
        self._changing_by_instance: dict[str, list[str]] = {}
        self._count = 1
        self._counted_at = float("-inf")

    def is_new(self, state: State) -> bool:
        """Return whether nothing was received from this run of an instance yet."""
        known = self._peers_by_instance.get(state.instance)
        return known is None or known.state.incarnation != state.incarnation

    def receive_state(self, state: State) -> bool:
        """Record the state that a peer sent.

        :returns: false for a state that this instance sent itself.
        """
        if state.instance == self._members.own.instance:
            return False
        now = self._clock.monotonic()
        new = self.is_new(state)
        # Peers of other zones are not logged: when all instances start together, that
        # would be hundreds of lines without further information.
        if new and state.zone == self._members.own.zone:
            log_event("peer_heard", peer=state.instance, incarnation=state.incarnation)
        self._peers_by_instance[state.instance] = Peer(state, now)
        self._known_addresses[state.gossip_address] = now
        if state.changing:
            self._changing_by_instance[state.instance] = state.changing
        else:
            self._changing_by_instance.pop(state.instance, None)
        return True

    def note_addresses(self, gossip_addresses: list[str]) -> None:
        """Add gossip addresses that a peer reported."""
        now = self._clock.monotonic()
        for address in gossip_addresses:
            self._known_addresses.setdefault(address, now)

    def live_states(
        self, max_silence_seconds: float = MAX_PEER_SILENCE_SECONDS
    ) -> list[State]:
        """Return the newest states of the peers that sent one lately."""
        now = self._clock.monotonic()
        peers = self._peers_by_instance.values()
        return [
            peer.state for peer in peers if now - peer.received_at < max_silence_seconds
        ]

    def near_live_addresses(self, max_silence_seconds: float) -> list[str]:
        """Return the addresses of the zone's peers that sent a state lately."""
        return [
            state.gossip_address
            for state in self.live_states(max_silence_seconds)
            if state.zone == self._members.own.zone
        ]

    def near_instances(self) -> list[str]:
        """Return the instances of the own zone that ever sent a state."""
        own = self._members.own.zone
        return [
            instance
            for instance, peer in self._peers_by_instance.items()
            if peer.state.zone == own
        ]

    def live_incarnations(self) -> set[str]:
        """Return the incarnations that are listed, or sent a state lately.

        For an instance that sent one, the listed incarnation may have ended.
        """
        by_instance = {
            instance: member.incarnation
            for instance, member in self._members.by_instance().items()
        }
        for state in self.live_states():
            by_instance[state.instance] = state.incarnation
        own = self._members.own
        by_instance[own.instance] = own.incarnation
        return set(by_instance.values())

    def instance_count(self) -> int:
        """Return the estimated number of instances, including this one."""
        now = self._clock.monotonic()
        if now - self._counted_at >= COUNT_CACHE_SECONDS:
            self._counted_at = now
            self._count = max(len(self.live_incarnations()), self._seeds, 1)
        return self._count

    def changing(self) -> set[str]:
        """Return the engines that the holder of the duty is changing."""
        if not self._changing_by_instance:
            return set()
        live = {state.instance for state in self.live_states()}
        return {
            engine
            for instance, engines in self._changing_by_instance.items()
            if instance in live
            for engine in engines
        }

    def addresses(self) -> tuple[list[str], list[str], dict[str, list[str]]]:
        """Return the peers' addresses in a fixed order.

        :returns: those of the own zone, all others, and the others by zone as far as
            theirs is known.
        """
        now = self._clock.monotonic()
        for address, known_at in list(self._known_addresses.items()):
            if now - known_at > ADDRESS_LIFETIME_SECONDS:
                del self._known_addresses[address]
        own = self._members.own
        listed = self._members.by_instance().values()
        everyone = {item.gossip_address for item in listed}
        everyone |= self._known_addresses.keys()
        everyone.discard(own.gossip_address)
        heard = [peer.state for peer in self._peers_by_instance.values()]
        by_zone: dict[str, set[str]] = {}
        for item in (*listed, *heard):
            if item.gossip_address in everyone:
                by_zone.setdefault(item.zone, set()).add(item.gossip_address)
        near = by_zone.pop(own.zone, set())
        far_by_zone = {zone: sorted(found) for zone, found in by_zone.items()}
        return sorted(near), sorted(everyone - near), far_by_zone

    def ages(self) -> dict[str, float]:
        """Return the seconds since the last message of each peer."""
        now = self._clock.monotonic()
        return {
            instance: now - peer.received_at
            for instance, peer in self._peers_by_instance.items()
        }


def select_in_rotation(addresses: list[str], turn: int, most: int) -> list[str]:
    """Return at most this many addresses, rotating through the list by turn."""
    if len(addresses) <= most:
        return list(addresses)
    first = turn * most % len(addresses)
    return (addresses + addresses)[first : first + most]
