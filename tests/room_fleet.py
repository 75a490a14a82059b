"""Simulates instances that share the slots of few upstreams, in virtual time.

The instances run their real loans of slots. An upstream runs as many requests as it has
slots and refuses any other; it reports its load in each response. An instance without a
reply chooses the upstream by the load that was reported to it last, or by chance.
"""

import asyncio
from collections import Counter
from types import SimpleNamespace

from camphorgate.serving.health import HealthTable
from camphorgate.serving.placement import Choice
from camphorgate.serving.room.book import Outcome
from camphorgate.serving.settings import OrderSettings, RoomSettings
from camphorgated.serving.gossip import TICK_SECONDS
from camphorgated.serving.room.owner import RoomOwner
from camphorgated.serving.room.room import Room
from tests.hosting_builders import build_listed_upstream
from tests.limited_fleet import FAR_SECONDS, NEAR_SECONDS, Instance, LimitedFleet

SERVICE = "desk"
CALL_SECONDS = 0.09
SLOTS = 6
TARGET_SECONDS = 0.418
DEADLINE_SECONDS = 2.0
# Interval at which slots and requests that wait are counted.
SAMPLE_SECONDS = 0.005
# Reported loads that are younger count for an instance's own choice.
REPORT_SECONDS = 0.2


class SlotUpstream:
    """An upstream that runs a request in each slot and refuses any other."""

    def __init__(self, number: int, zone: str) -> None:
        """Start idle."""
        self.entry = build_listed_upstream(
            f"u{number}", service=SERVICE, zone=zone, slots=SLOTS
        )
        self.running = 0
        self.limit = None
        # Returns how many times as long as usual work takes at a time.
        self.slowness = lambda now: 1.0


class RoomInstance(Instance):
    """An instance with its loans of slots."""

    def start(self) -> None:
        """Start with nothing known, as a new process."""
        super().start()
        fleet = self.fleet
        self.paused_datagrams = None
        self.health = HealthTable()
        self.load_by_id = {}
        self.app.settings = SimpleNamespace(room=fleet.settings, order=OrderSettings())
        entries = [item.entry for item in fleet.upstreams]
        self.services["directory"].service_upstreams = lambda service: entries
        owner = RoomOwner(self.app)
        self.room = Room(self.app, owner)
        self.room_owner = owner
        # All instances have seen reported loads before.
        self.room._reported_at_by_service[SERVICE] = fleet.loop.time() + 1e6

    def receive(self, message) -> None:
        """Handle a datagram, later if the process is paused."""
        if self.paused_datagrams is not None:
            self.paused_datagrams.append(message)
        else:
            super().receive(message)

    def _tick(self) -> None:
        if self.paused_datagrams is None:
            super()._tick()

    async def pause(self, seconds: float) -> None:
        """Stop the handling of datagrams for a time.

        Peers do not notice a pause of less than a tick.
        """
        self.paused_datagrams = []
        noticed = [self.number] if seconds >= TICK_SECONDS else []
        self.fleet._lose(noticed)
        await asyncio.sleep(seconds)
        self.fleet._regain(noticed)
        held, self.paused_datagrams = self.paused_datagrams, None
        for message in held:
            super().receive(message)


class RoomFleet(LimitedFleet):
    """Instances that borrow slots, and callers whose requests need one."""

    instance_class = RoomInstance

    def __init__(self, *arguments, settings=None, **options) -> None:
        """Build the fleet."""
        self.settings = settings or RoomSettings()
        # Results of requests: time, labels, name of the result, seconds in total.
        self.results: list[tuple[float, dict, str, float]] = []
        self.refused_sends = 0
        self.sends = 0
        self.runs_by_request: Counter[int] = Counter()
        # Requests refused by the owner while this many slots were free.
        self.refused_with_free: Counter[int] = Counter()
        self.slots = 0
        self.waiting = 0
        # Sums over the samples in which requests wait: samples and free slots.
        self.samples_waiting = 0
        self.free_while_waiting = 0
        super().__init__(*arguments, **options)
        self.slots = sum(item.entry.slots for item in self.upstreams)
        self._tasks.append(asyncio.ensure_future(self._sample()))

    def build_upstream(self, number: int, zone: str):
        """Return an upstream."""
        return SlotUpstream(number, zone)

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            if self.waiting:
                running = sum(item.running for item in self.upstreams)
                self.samples_waiting += 1
                self.free_while_waiting += self.slots - running

    def free_share_while_waiting(self) -> float:
        """Return the share of slot time that is free while requests wait."""
        return self.free_while_waiting / max(1, self.samples_waiting * self.slots)

    def owner(self):
        """Return the instance that lends most slots now."""
        return max(self.instances, key=lambda item: item.room_owner.counts()[0])

    async def call(self, instance, labels: dict) -> None:
        """Send a request of a caller to an instance."""
        began = self.loop.time()
        number = len(self.runs_by_request)
        self.runs_by_request[number] = 0
        fields = {"rank": 1, "workspace": "w0", "size": 1.0, **labels}
        context = SimpleNamespace(
            service=SERVICE,
            rank=fields["rank"],
            workspace_name=fields["workspace"],
            route=SimpleNamespace(
                name=f"r{fields['size']}", target_seconds=TARGET_SECONDS
            ),
            request=SimpleNamespace(read_at=began),
            decisions={},
            seconds_left=lambda now: began + DEADLINE_SECONDS - now,
        )
        result = "refused"
        tried: set[str] = set()
        with instance.room.borrower(context) as borrower:
            for _ in range(2):
                if instance.down:
                    result = "lost"
                    break
                entries = [item.entry for item in self.upstreams]
                found = [item for item in entries if item.id not in tried] or entries
                choice = self._choose(instance, found)
                waits = self.loop.call_later(0.01, self._count_waiting, 1)
                asked_at = self.loop.time()
                choice = await borrower.borrow(found, choice, False)
                waits.cancel()
                if self.loop.time() - asked_at > 0.01:
                    self._count_waiting(-1)
                if choice is None:
                    running = sum(item.running for item in self.upstreams)
                    self.refused_with_free[self.slots - running] += 1
                    break
                tried.add(choice.upstream.id)
                served = await self._serve(instance, choice.upstream, fields, borrower)
                borrower.end()
                if served:
                    self.runs_by_request[number] += 1
                    result = "served"
                    break
        seconds = self.loop.time() - began
        self.results.append((began, labels, result, seconds))

    def _count_waiting(self, change: int) -> None:
        self.waiting += change

    def _choose(self, instance, found) -> Choice:
        now = self.loop.time()

        def load(item):
            at, running = instance.load_by_id.get(item.id, (-1.0, 0))
            return (running if now - at < REPORT_SECONDS else 0, self.random.random())

        return Choice(min(found, key=load), 0.0)

    async def _serve(self, instance, entry, fields, borrower) -> bool:
        """Send a request to an upstream and return whether it ran."""
        upstream = next(item for item in self.upstreams if item.entry.id == entry.id)
        delay = NEAR_SECONDS if entry.zone == instance.zone else FAR_SECONDS
        self.sends += 1
        await asyncio.sleep(delay)
        if upstream.running >= entry.slots:
            self.refused_sends += 1
            await asyncio.sleep(delay)
            borrower.record_outcome(Outcome.REFUSED)
            return False
        upstream.running += 1
        seconds = CALL_SECONDS * fields["size"] * self.random.uniform(0.8, 1.2)
        seconds *= upstream.slowness(self.loop.time())
        await asyncio.sleep(seconds)
        upstream.running -= 1
        running = upstream.running
        await asyncio.sleep(delay)
        now = self.loop.time()
        instance.load_by_id[entry.id] = (now, running)
        instance.room.record_reported_load(entry, running, 0, entry.slots, now)
        borrower.record_outcome(Outcome.DONE)
        return True

    async def load_calls(self, rate, seconds, choose_labels=lambda generator: {}):
        """Send requests at random times to random instances.

        :param rate: requests a second, or a function of the time.
        """
        ends_at = self.loop.time() + seconds
        tasks = set()
        while (now := self.loop.time()) < ends_at:
            current = rate(now) if callable(rate) else rate
            await asyncio.sleep(self.random.expovariate(current))
            up = [item for item in self.instances if not item.down]
            up = [item for item in up if item.paused_datagrams is None]
            instance = self.random.choice(up)
            labels = choose_labels(self.random)
            task = asyncio.ensure_future(self.call(instance, labels))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.gather(*tasks)

    def shares(self, key=None, since=0.0) -> dict:
        """Return the share of requests served within the target, by a label."""
        came, good = Counter(), Counter()
        for began, labels, result, seconds in self.results:
            if began >= since:
                name = labels.get(key)
                came[name] += 1
                good[name] += result == "served" and seconds <= TARGET_SECONDS
        return {name: good[name] / came[name] for name in came}
