"""Simulates a fleet before upstreams that name limits, in virtual time.

The instances run their real exchange of limits and permits. Callers send requests at
random; an instance sends each to a random upstream for which it gets a permit.
Datagrams of limits and permits are delayed and lost, and instances are cut off and
restarted. The periodic states of the gossip are not sent one by one: an instance hears
another as late as they would arrive, and notices its silence as late.
"""

import asyncio
import random
from types import SimpleNamespace

import msgspec
from aioprometheus import Registry

from camphorgate.serving.catalog import Stage
from camphorgate.serving.permit_schedule import max_wait_seconds
from camphorgated.serving.gossip import (
    MAX_NEAR_PEERS_PER_TICK,
    TICK_SECONDS,
    Message,
    encode_datagram,
    far_peers_per_tick,
)
from camphorgated.serving.limited_upstreams import MAX_PERMIT_REQUESTS
from camphorgated.serving.limits import Limits
from camphorgated.serving.members import Member
from camphorgated.serving.permit_grants import PermitGrants
from camphorgated.serving.permits import NO_LIMIT, Permits
from tests.hosting_builders import build_listed_upstream
from tests.limited_workers import CONTACT_SECONDS, WINDOW_SECONDS, allowed
from tests.virtual_time import VirtualClock

# The users' deployments, and the size the design is made for: instances, zones and
# requests a second.
SIZES = ((8, 3, 60.0), (195, 7, 200.0), (750, 17, 300.0))
NEAR_SECONDS = 0.0005
FAR_SECONDS = 0.0015
REGION_SECONDS = 0.05
# Fleets of many zones are spread over regions.
MIN_ZONES_OF_REGIONS = 17
REGIONS = 7
DELAY_JITTER = 0.3
# Time between a request and its answer.
ANSWER_SECONDS = (0.02, 0.2)
# The store's list of members follows changes this much later.
LIST_SECONDS = 3.0
# Time that a restarted instance is away.
RESTART_SECONDS = 1.0
# A datagram is this much longer on the wire (IPv4 and UDP headers).
HEADER_BYTES = 28
TARGET_SECONDS = 0.4


class Upstream:
    """An upstream that names a limit, and the requests that reached it."""

    def __init__(self, number: int, zone: str) -> None:
        """Start without a limit."""
        self.entry = build_listed_upstream(f"u{number}", zone=zone)
        self.limit: float | None = None
        # Times of arrival and the instances that had sent them, while limited.
        self.arrivals: list[tuple[float, int]] = []

    def head(self):
        """Return the facts of an answer."""
        return SimpleNamespace(
            limit_per_second=self.limit, stage=Stage.SENT, status=200
        )


class Instance:
    """One instance: its limits and permits, and the part of the gossip they use."""

    def __init__(self, fleet: "LimitedFleet", number: int, zone: str) -> None:
        """Start a process."""
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.down = False
        self.start()

    def start(self) -> None:
        """Start with nothing known, as a new process."""
        fleet = self.fleet
        self.grants_permits = False
        self.turn = fleet.random.randrange(1000)
        self.handlers = {}
        self.tick_listeners = []
        self.peer_listeners = []
        self.own = fleet.members[self.number]
        self.leaving = False
        self.peers = HeardPeers(self)
        others = [item for item in fleet.members if item is not self.own]
        self.near = [m.gossip_address for m in others if m.zone == self.zone]
        self.far = [m.gossip_address for m in others if m.zone != self.zone]
        statistics = SimpleNamespace(
            registry=Registry(), request_line=lambda *_, **__: None
        )
        table = SimpleNamespace(by_id={u.entry.id: u.entry for u in fleet.upstreams})
        services = {
            "gossip": self,
            "members": self,
            "directory": SimpleNamespace(table=table),
            "statistics": statistics,
        }
        app = SimpleNamespace(service=services.__getitem__, clock=fleet.clock)
        self.app, self.services = app, services
        self.limits = Limits(app)
        self.limits._random = random.Random(fleet.random.random())
        services["limits"] = self.limits
        services["permit_grants"] = PermitGrants(app)
        self.permits = Permits(app)

    def by_instance(self) -> dict[str, Member]:
        """Return the members as the store lists them."""
        return self.fleet.listed

    def add_handler(self, kind, handler) -> None:
        """Register the handler for messages of a type."""
        self.handlers[kind] = handler

    def add_tick_listener(self, listener) -> None:
        """Register a listener of ticks."""
        self.tick_listeners.append(listener)

    def add_peer_listener(self, listener) -> None:
        """Register a listener of peers that have started."""
        self.peer_listeners.append(listener)

    def synchronized_now(self) -> float:
        """Return the true time."""
        return self.fleet.clock.now().timestamp()

    def send(self, messages, addresses) -> None:
        """Send datagrams."""
        for message in messages:
            data = encode_datagram(message)
            for address in addresses:
                self.fleet.send_datagram(self.number, address, data)

    def receive(self, message: Message) -> None:
        """Handle a datagram."""
        self.handlers[type(message)](message)

    async def run(self) -> None:
        """Send the periodic messages as the gossip does."""
        await asyncio.sleep(self.fleet.random.uniform(0.0, TICK_SECONDS))
        while True:
            if not self.down:
                self._tick()
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        for listener in self.tick_listeners:
            listener(self.turn)
        self.turn += 1


class HeardPeers:
    """The peers that an instance hears, by the faults that the fleet plays."""

    def __init__(self, instance: Instance) -> None:
        """Hear everyone who is up."""
        self._instance = instance

    def live_states(self, max_silence_seconds: float) -> list[SimpleNamespace]:
        """Return the states of the peers that were heard lately."""
        own, fleet = self._instance, self._instance.fleet
        return [
            SimpleNamespace(
                instance=peer.own.instance,
                zone=peer.zone,
                gossip_address=peer.own.gossip_address,
                grants_permits=peer.grants_permits,
            )
            for peer in fleet.instances
            if peer is not own and fleet.hears(own, peer, max_silence_seconds)
        ]


class LimitedFleet:
    """Instances, upstreams, callers and the network in between.

    :param zones: zones of the instances; each has upstreams.
    :param loss: share of lost datagrams.
    """

    instance_class = Instance

    def __init__(
        self, size: int, zones: int, upstreams: int, seed: int = 1, loss: float = 0.0
    ) -> None:
        """Build the fleet; it runs within :func:`run_fleet`."""
        loop = asyncio.get_running_loop()
        self.clock = VirtualClock(loop)
        self.loop = loop
        self.random = random.Random(seed)
        self.loss = loss
        self.zones = zones
        names = [f"z{number % zones}" for number in range(size)]
        self.members = [
            Member(f"i{n}", f"i{n}/0", zone, "", f"10.0.0.{n}:1")
            for n, zone in enumerate(names)
        ]
        self.number_by_address = {
            member.gossip_address: n for n, member in enumerate(self.members)
        }
        self.listed = {member.instance: member for member in self.members}
        self.upstreams = [
            self.build_upstream(number, f"z{number % zones}")
            for number in range(upstreams)
        ]
        self.cut_off: set[int] = set()
        self.disturbed_at: dict[int, list[float]] = {}
        # Since when an instance is up and in touch, and since when it is not.
        self.in_touch_since = dict.fromkeys(range(size), loop.time())
        self.lost_since: dict[int, float] = {}
        # Outcomes of requests: time, rank, and whether they were sent.
        self.outcomes: list[tuple[float, int, bool]] = []
        self.sent_bytes = 0
        # Factor of the delays of datagrams.
        self.delay_factor = 1.0
        self._decoder = msgspec.msgpack.Decoder(Message)
        self.instances = [
            self.instance_class(self, number, zone) for number, zone in enumerate(names)
        ]
        self._tasks = [asyncio.ensure_future(item.run()) for item in self.instances]

    def build_upstream(self, number: int, zone: str):
        """Return an upstream."""
        return Upstream(number, zone)

    async def stop(self) -> None:
        """Stop all instances."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _delay(self, sender: int, receiver: int) -> float:
        first, second = self.instances[sender].zone, self.instances[receiver].zone
        if first == second:
            return NEAR_SECONDS
        if self.zones < MIN_ZONES_OF_REGIONS:
            return FAR_SECONDS
        regions = {int(zone[1:]) % REGIONS for zone in (first, second)}
        return FAR_SECONDS if len(regions) == 1 else REGION_SECONDS

    def send_datagram(self, sender: int, address: str, data: bytes) -> None:
        """Deliver a datagram unless it is lost."""
        self.sent_bytes += len(data) + HEADER_BYTES
        receiver = self.number_by_address[address]
        if self.random.random() < self.loss:
            return
        delay = self._delay(sender, receiver) * self.random.uniform(
            1.0, 1.0 + DELAY_JITTER
        )
        self.loop.call_later(delay, self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        instance = self.instances[receiver]
        if {sender, receiver} & self.cut_off or instance.down:
            return
        instance.receive(self._decoder.decode(memoryview(data)[1:]))

    def hears(self, own: Instance, peer: Instance, max_silence_seconds: float) -> bool:
        """Return whether an instance has heard another within a time.

        States are sent in rounds: a new one is heard after a part of a round.
        """
        per_tick, others = MAX_NEAR_PEERS_PER_TICK, len(own.near)
        if own.zone != peer.zone:
            others = len(own.far)
            per_tick = far_peers_per_tick(len(self.instances))
        round_seconds = -(-others // per_tick) * TICK_SECONDS
        now = self.loop.time()
        part = (own.number * 31 + peer.number * 17) % 10 / 10
        numbers = (own.number, peer.number)
        since = max(self.in_touch_since[number] for number in numbers)
        if since + part * round_seconds > now:
            return False
        lost = [self.lost_since[n] for n in numbers if n in self.lost_since]
        last = min(lost) - part * round_seconds if lost else now
        return now - last < max_silence_seconds

    def _lose(self, numbers) -> None:
        now = self.loop.time()
        for number in numbers:
            self.lost_since.setdefault(number, now)

    def _regain(self, numbers) -> None:
        for number in numbers:
            self.lost_since.pop(number, None)
            self.in_touch_since[number] = self.loop.time()

    def disturb(self, number: int) -> None:
        """Note that an instance is excused for a while."""
        self.disturbed_at.setdefault(number, []).append(self.loop.time())

    async def stop_and_restart(self, numbers, seconds: float) -> None:
        """Stop instances as planned, which takes some time, and start them again."""
        for number in numbers:
            self.instances[number].leaving = True
        await asyncio.sleep(seconds)
        await self.restart(numbers)

    async def restart(self, numbers) -> None:
        """End instances and start them again, with nothing known."""
        self._lose(numbers)
        for number in numbers:
            self.instances[number].down = True
            self.disturb(number)
        await asyncio.sleep(RESTART_SECONDS)
        self._regain(numbers)
        for number in numbers:
            self.instances[number].down = False
            self.instances[number].start()
            self.disturb(number)
            self.loop.call_later(TICK_SECONDS, self._announce, number)

    def _announce(self, number: int) -> None:
        """Let peers of the zone hear of an instance that has started."""
        started = self.instances[number]
        for address in started.near[:MAX_NEAR_PEERS_PER_TICK]:
            peer = self.instances[self.number_by_address[address]]
            for listener in peer.peer_listeners if not peer.down else ():
                listener(started.own.gossip_address)

    async def cut(self, numbers, seconds: float) -> None:
        """Cut instances off from their peers, but not from upstreams, for a time."""
        for number in numbers:
            self.disturb(number)
        self._lose(numbers)
        self.cut_off |= set(numbers)
        await asyncio.sleep(seconds)
        self.cut_off -= set(numbers)
        self._regain(numbers)
        for number in numbers:
            self.disturb(number)

    async def unlist(self, numbers) -> None:
        """Remove instances from the list of members, as their leases lapse."""
        await asyncio.sleep(LIST_SECONDS)
        for number in numbers:
            self.listed.pop(self.members[number].instance, None)

    async def load(
        self, rate: float, seconds: float, numbers=None, ranks=(0, 1, 2)
    ) -> None:
        """Send requests at random times to instances.

        :param numbers: the instances that get them; all by default.
        """
        chosen = list(numbers or range(len(self.instances)))
        ends_at = self.loop.time() + seconds
        tasks = set()
        while self.loop.time() < ends_at:
            await asyncio.sleep(self.random.expovariate(rate))
            rank = self.random.choice(ranks)
            instance = self.instances[self.random.choice(chosen)]
            task = asyncio.ensure_future(self._request(instance, rank))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def _request(self, instance: Instance, rank: int) -> None:
        began = self.loop.time()
        limits, permits = instance.limits, instance.permits
        draw = self.random.random()
        refused = set()
        sent = False
        while not sent and not instance.down and len(refused) < MAX_PERMIT_REQUESTS:
            left = began + TARGET_SECONDS - self.loop.time()
            longest = max_wait_seconds(rank, draw, left)
            found = [
                item
                for item in self.upstreams
                if item.entry.id not in refused
                and permits.wait_seconds(item.entry) <= longest
            ]
            if not found:
                break
            upstream = self.random.choice(found)
            permit = NO_LIMIT
            if limits.limit(upstream.entry) is not None:
                permit = await permits.request(upstream.entry, longest)
            if permit is None:
                refused.add(upstream.entry.id)
                continue
            if permits is not instance.permits or instance.down:
                break
            sent = permits.may_send(upstream.entry, permit)
            if sent:
                await self._send(instance, upstream)
        self.outcomes.append((began, rank, sent))

    async def _send(self, instance: Instance, upstream: Upstream) -> None:
        limits = instance.limits
        sent_at = self.loop.time()
        upstream.arrivals.append((sent_at, instance.number))
        head = upstream.head()
        await asyncio.sleep(self.random.uniform(*ANSWER_SECONDS))
        if limits is instance.limits and not instance.down:
            limits.record_response(upstream.entry, head, sent_at)

    def excused(self, number: int, at: float) -> bool:
        """Return whether an instance was disturbed shortly before a time."""
        times = self.disturbed_at.get(number, ())
        return number in self.cut_off or any(
            0 <= at - t < CONTACT_SECONDS for t in times
        )

    def counted_times(
        self, upstream: Upstream, since: float, until: float = float("inf")
    ) -> list[float]:
        """Return the times of the arrivals that count."""
        return [
            at
            for at, number in upstream.arrivals
            if since <= at < until and not self.excused(number, at)
        ]

    def worst_window(
        self, upstream: Upstream, since: float, until: float = float("inf")
    ) -> int:
        """Return the most arrivals that count in a window."""
        times = self.counted_times(upstream, since, until)
        worst = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_SECONDS:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    def excess(self, since: float, until: float = float("inf")) -> list[str]:
        """Return the upstreams that got more than the users allow."""
        return [
            f"{item.entry.id}: {worst} with a limit of {item.limit}"
            for item in self.upstreams
            if item.limit
            and (worst := self.worst_window(item, since, until)) > allowed(item.limit)
        ]

    def used_share(self, since: float, until: float) -> float:
        """Return the part of all limits that is used."""
        limited = [item for item in self.upstreams if item.limit]
        used = sum(since <= at < until for item in limited for at, _ in item.arrivals)
        return used / sum(item.limit for item in limited) / (until - since)
