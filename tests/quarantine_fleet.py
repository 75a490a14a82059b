"""Simulates the quarantines of a whole fleet, its engines and the network in between.

The instances run their real quarantine in virtual time. A request with a crashing part
ends the engine that begins to answer it; sound requests that run there are cut as well.
Datagrams are lost, instances are cut off and restarted, and racks of engines fail.
"""

import heapq
import itertools
import random
from types import SimpleNamespace

import msgspec
from aioprometheus import Registry

from camphorgate.kv.records import KvEntry, TransactionResult
from camphorgated.serving.gossip import TICK_SECONDS, encode_datagram
from camphorgated.serving.messages import QuarantineNews
from camphorgated.serving.quarantine import Quarantine
from tests.hosting_builders import build_listed_upstream

CRASHING_PART = "bad0"
DATAGRAM_SECONDS = 0.005
CRASH_SECONDS = (0.01, 0.05)
ANSWER_SECONDS = (0.05, 1.5)
RESTART_SECONDS = 2.0
STORE_READ_SECONDS = 0.7
MAX_ATTEMPTS = 3
# Parts between the first one, which all requests share, and the request's own.
MIDDLE_PARTS = 200
# A datagram is this much longer on the wire (IPv4 and UDP headers).
HEADER_BYTES = 28


class MemoryStore:
    """The store of the whole fleet; it answers at once."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, KvEntry] = {}
        self.calls = 0
        self._revisions = itertools.count(1)

    async def get(self, key):
        """Return an entry."""
        self.calls += 1
        return self.entries.get(key)

    async def transact(self, compares, operations):
        """Apply the operations if all comparisons hold."""
        self.calls += 1
        for item in compares:
            known = self.entries.get(item.key)
            if (known.mod_revision if known else 0) != item.revision:
                return TransactionResult(False, 0, "", {})
        revision = next(self._revisions)
        for item in operations:
            if hasattr(item, "value"):
                self.entries[item.key] = KvEntry(
                    item.key, item.value, "", revision, revision, 0
                )
            else:
                self.entries.pop(item.key, None)
        return TransactionResult(True, revision, "", {})


class Instance:
    """One instance: its quarantine and its place in the network."""

    def __init__(self, fleet: "QuarantineFleet", number: int) -> None:
        """Start with an empty quarantine."""
        self.number = number
        self.fleet = fleet
        self.near: list[str] = []
        self.far = [str(other) for other in range(fleet.size) if other != number]
        self.restart()

    def restart(self) -> None:
        """Lose everything, as a new process."""
        self.started_at = self.fleet.now
        statistics = SimpleNamespace(
            registry=Registry(), request_line=lambda *_, **__: None
        )
        services = {
            "gossip": self,
            "members": SimpleNamespace(holds_duty=lambda: self.number == 0),
            "store": self.fleet.store,
            "statistics": statistics,
        }
        clock = SimpleNamespace(monotonic=lambda: self.fleet.now)
        app = SimpleNamespace(service=services.__getitem__, clock=clock)
        self.quarantine = Quarantine(app)
        self.quarantine._random = random.Random(self.fleet.random.random())

    def add_handler(self, kind, handler) -> None:
        """Keep the handler of datagrams."""
        self.receive = handler

    def add_tick_listener(self, listener) -> None:
        """Keep the listener of ticks."""
        self.tick = listener

    def synchronized_now(self) -> float:
        """Return the true time."""
        return self.fleet.now

    def send(self, messages, addresses) -> None:
        """Send datagrams to other instances."""
        for message in messages:
            data = encode_datagram(message)
            for address in addresses:
                self.fleet.send_datagram(self.number, int(address), data)


class QuarantineFleet:
    """Instances, engines and callers in virtual time.

    :param loss: share of lost datagrams.
    """

    def __init__(
        self, size: int, engines: int, seed: int = 1, loss: float = 0.0
    ) -> None:
        """Build the instances and engines."""
        self.size = size
        self.loss = loss
        self.random = random.Random(seed)
        self.now = 1000.0
        self.store = MemoryStore()
        self.cut_off: set[int] = set()
        self.calm_since = dict.fromkeys(range(size), 0.0)
        self.sent_bytes = 0
        self.largest_datagram = 0
        # Times of the ends under the crashing part, and of the requests with it.
        self.ends: list[float] = []
        self.sends: list[tuple[float, int]] = []
        self.sound_outcomes: list[tuple[float, str]] = []
        self.blocked_sound = 0
        self._decoder = msgspec.msgpack.Decoder(QuarantineNews)
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._numbers = itertools.count()
        self._running: dict[str, dict[str, tuple]] = {}
        self._upstreams: dict[str, object] = {}
        self.instances = [Instance(self, number) for number in range(size)]
        for _ in range(engines):
            self._add_engine()
        for instance in self.instances:
            self.call_later(self.random.uniform(0, TICK_SECONDS), self._tick, instance)

    def call_later(self, seconds: float, function, *arguments) -> None:
        """Call a function at a later time."""
        event = (self.now + seconds, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = until

    def _tick(self, instance: Instance) -> None:
        instance.tick(0)
        _run_at_once(instance.quarantine._write())
        self.call_later(TICK_SECONDS, self._tick, instance)

    def send_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Deliver a datagram, unless it is lost."""
        self.sent_bytes += len(data) + HEADER_BYTES
        self.largest_datagram = max(self.largest_datagram, len(data))
        if {sender, receiver} & self.cut_off or self.random.random() < self.loss:
            return
        self.call_later(DATAGRAM_SECONDS, self._receive, receiver, data)

    def _receive(self, receiver: int, data: bytes) -> None:
        self.instances[receiver].receive(self._decoder.decode(memoryview(data)[1:]))

    def restart(self, numbers) -> None:
        """Restart instances, which read the store a little later."""
        for number in numbers:
            self.instances[number].restart()
            self.calm_since[number] = self.now
            self.call_later(STORE_READ_SECONDS, self._read_store, number)

    def _read_store(self, number: int) -> None:
        entries = list(self.store.entries.values())
        self.instances[number].quarantine._apply_stored(entries)

    def cut(self, numbers, seconds: float) -> None:
        """Cut instances off from their peers for a time."""
        self.cut_off |= set(numbers)
        self.call_later(seconds, self._heal, set(numbers))

    def _heal(self, numbers: set[int]) -> None:
        self.cut_off -= numbers
        for number in numbers:
            self.calm_since[number] = self.now

    def _add_engine(self) -> None:
        name = f"e{next(self._numbers)}"
        self._running[name] = {}
        self._upstreams[name] = build_listed_upstream(name)

    def fail_rack(self, share: float) -> None:
        """End a share of the engines at the same moment."""
        names = list(self._running)
        for name in self.random.sample(names, int(len(names) * share)):
            self._end(name, by_part=False)

    def send_steadily(self, rate: float, crashing: bool, seconds: float) -> None:
        """Send requests at random intervals to random instances."""
        at = 0.0
        while (at := at + self.random.expovariate(rate)) < seconds:
            self.call_later(at, self._begin, crashing)

    def _begin(self, crashing: bool) -> None:
        middle = f"m{self.random.randrange(MIDDLE_PARTS)}"
        keys = ("c0", CRASHING_PART) if crashing else ("c0", middle)
        number = self.random.randrange(self.size)
        self._send(f"r{next(self._numbers)}", keys, number, 1, self.now)

    def _send(self, request, keys, number, attempt, began_at) -> None:
        crashing = CRASHING_PART in keys
        quarantine = self.instances[number].quarantine
        suspected = not quarantine.table.may_send_again(keys, attempt - 1)
        blocked = quarantine.find_block(keys) is not None
        if blocked or suspected or attempt > MAX_ATTEMPTS or not self._running:
            if not crashing:
                self.blocked_sound += blocked
                self.sound_outcomes.append((began_at, "failed"))
            return
        engine = self.random.choice(list(self._running))
        self._running[engine][request] = (keys, number, attempt, began_at, self.now)
        if crashing:
            self.sends.append((self.now, number))
            self.call_later(self.random.uniform(*CRASH_SECONDS), self._end, engine)
        else:
            seconds = self.random.uniform(*ANSWER_SECONDS)
            self.call_later(seconds, self._answer, engine, request)

    def _answer(self, engine: str, request: str) -> None:
        run = self._running.get(engine, {}).pop(request, None)
        if run is not None:
            keys, number, _, began_at, _ = run
            self.instances[number].quarantine.record_answer(keys)
            self.sound_outcomes.append((began_at, "served"))

    def _end(self, engine: str, by_part: bool = True) -> None:
        runs = self._running.pop(engine, None)
        if runs is None:
            return
        if by_part:
            self.ends.append(self.now)
        for request, run in runs.items():
            keys, number, attempt, began_at, sent_at = run
            context = SimpleNamespace(
                facts=SimpleNamespace(attempt=request),
                route=SimpleNamespace(name="chat"),
                service="models",
                workspace_name=None,
                version=1,
            )
            self.instances[number].quarantine.record_end(
                context, self._upstreams[engine], keys, self.now - sent_at
            )
            self.call_later(
                0.01, self._send, request, keys, number, attempt + 1, began_at
            )
        self.call_later(RESTART_SECONDS, self._add_engine)

    def late_sends(self, ends: int, contact_seconds: float) -> int:
        """Return the sends of instances in touch later than allowed."""
        if len(self.ends) < ends:
            return 0
        last = self.ends[ends - 1] + contact_seconds
        return sum(
            at > last
            and number not in self.cut_off
            and at - self.calm_since[number] > contact_seconds
            for at, number in self.sends
        )

    def sound_share(self, since: float) -> float:
        """Return the served share of the sound requests that began since a time."""
        judged = [outcome for at, outcome in self.sound_outcomes if at >= since]
        return judged.count("served") / max(1, len(judged))


def _run_at_once(operation) -> None:
    """Run a coroutine that never waits."""
    try:
        operation.send(None)
    except StopIteration:
        return
    raise AssertionError("the operation waits")
