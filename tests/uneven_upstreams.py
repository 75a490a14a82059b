"""Simulates upstreams of uneven speed under many deciders with old views, no network.

Each upstream has slots and a queue. Its speed differs by a factor, and it is slowed for
some intervals. Each decider sees its own requests at once and those of the others as
they were up to 0.2 s ago.
"""

import heapq
import math
import random

import msgspec

from camphorgate.serving.health import HealthTable
from camphorgate.serving.loads import Load, LoadTable
from camphorgate.serving.placement import Placement, Prompt
from camphorgate.serving.upstream_speed import SpeedNews, SpeedTable

DECIDERS, ZONES = 87, 4
VIEW_SECONDS = 0.2
NEWS_PEERS, MODEL_TICKS = 8, 11
SLOWED_FRACTION, SLOWDOWN, INTERVAL_SECONDS = 0.15, 2.5, 0.6
OSCILLATION, PERIOD_SECONDS = 0.55, 17.0
REFUSAL_SECONDS = 0.004
WARMUP_SECONDS = 10.0


class SimulatedUpstream:
    """Executes requests in slots; a full queue refuses."""

    def __init__(self, entry, factor, load, random_source):
        """Start idle."""
        self.entry, self.factor, self.load = entry, factor, load
        # Usual ms of the requests that run or wait here.
        self.running, self.waiting, self.pending_ms = 0, [], 0.0
        self._random, self._slowdown, self._changes_at = random_source, 1.0, 0.0

    def slowdown(self, now):
        """Return how many times as long as usual work takes at the moment."""
        while now >= self._changes_at:
            slowed = self._random.random() < SLOWED_FRACTION
            self._slowdown = SLOWDOWN if slowed else 1.0
            self._changes_at += self._random.expovariate(1 / INTERVAL_SECONDS)
        return self._slowdown

    def usual_ms(self, tokens):
        """Return the duration of a request at a usual upstream."""
        return self.load.fixed_ms + tokens * self.load.ms_per_token

    def refuses(self):
        """Return whether slots and queue are full."""
        full = self.running >= self.entry.slots
        return full and len(self.waiting) >= self.load.max_waiting


class SimulatedLoad(msgspec.Struct):
    """Requests and upstreams of a simulation.

    ``kinds`` are triples of prompt tokens, requests per second and target in seconds.
    """

    entries: list
    factors: tuple[float, ...]
    fixed_ms: float
    ms_per_token: float
    max_waiting: int
    kinds: tuple[tuple[int, float, float], ...]


class Decider:
    """An instance that places requests by its own tables."""

    def __init__(self, number, learns=True):
        """Start without knowledge."""
        self.number = number
        self.loads, self.speeds = LoadTable(), SpeedTable(learns, learns)
        self.placement = Placement(
            self.loads,
            HealthTable(),
            "zone-a",
            speeds=self.speeds,
            random_source=random.Random(number),
        )

    def choose(self, upstreams, tokens, now):
        """Return the chosen upstream and the tokens to count for it."""
        entries = [item.entry for item in upstreams]
        if not tokens:
            choice = self.placement.choose_for_call(entries, now)
        else:
            prompt = Prompt(tokens, (("own", tokens),))
            choice = self.placement.choose_for_prefill(entries, prompt, now)
        return upstreams[entries.index(choice.upstream)]


class KnowingDecider(Decider):
    """Knows every queue and speed at the moment."""

    def choose(self, upstreams, tokens, now):
        """Return the upstream that ends the request first."""

        def end_ms(item):
            full = item.running >= item.entry.slots
            wait = item.pending_ms / item.entry.slots if full else 0.0
            return (wait + item.usual_ms(tokens)) * item.factor * item.slowdown(now)

        open_ones = [item for item in upstreams if not item.refuses()]
        return min(open_ones or upstreams, key=end_ms)


class LeastOutstandingDecider(Decider):
    """Chooses the upstream with the fewest known requests per slot."""

    def choose(self, upstreams, tokens, now):
        """Return the chosen upstream."""
        return min(
            upstreams,
            key=lambda item: (
                self.loads.total(item.entry.id, now).requests / item.entry.slots
            ),
        )


class Simulation:
    """Plays a load and counts the requests that are answered within their target."""

    def __init__(self, load, decider, seed, seconds, **options):
        """Prepare the upstreams and the deciders.

        :param decider: class of the deciders.
        """
        self._random = random.Random(seed)
        self._load, self._seconds = load, seconds
        self._upstreams = [
            SimulatedUpstream(
                entry, load.factors[n], load, random.Random(f"{seed}/{n}")
            )
            for n, entry in enumerate(load.entries)
        ]
        self._deciders = [decider(number, **options) for number in range(DECIDERS)]
        self._events, self._number, self._ticks = [], 0, 0
        self.arrivals = self.in_time = self.refusals = 0

    def _at(self, time, action, *details):
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action, details))

    def run(self):
        """Play the load and return the fraction answered within the target."""
        for kind in self._load.kinds:
            self._at(0.0, self._arrive, kind)
        for decider in self._deciders:
            self._at(self._random.uniform(0, VIEW_SECONDS), self._view, decider)
        self._at(VIEW_SECONDS, self._share_news)
        while self._events[0][0] < self._seconds:
            now, _, action, details = heapq.heappop(self._events)
            action(now, *details)
        return self.in_time / self.arrivals

    def _arrive(self, now, kind):
        wave = 1 + OSCILLATION * math.sin(2 * math.pi * now / PERIOD_SECONDS)
        self._at(now + self._random.expovariate(kind[1] * wave), self._arrive, kind)
        if WARMUP_SECONDS < now < self._seconds - 2:
            self.arrivals += 1
        self._send(now, self._random.choice(self._deciders), kind, now, ())

    def _send(self, now, decider, kind, arrived_at, tried):
        tokens = kind[0]
        found = [item for item in self._upstreams if item not in tried]
        item = decider.choose(found, tokens, now)
        queued = decider.loads.total(item.entry.id, now)
        decider.loads.begin_request(item.entry.id, tokens)
        request = (decider, kind, arrived_at, now, queued)
        if item.refuses():
            self.refusals += 1
            self._at(now + REFUSAL_SECONDS, self._refused, item, request, tried)
            return
        item.pending_ms += item.usual_ms(tokens)
        if item.running < item.entry.slots:
            self._start(now, item, request)
        else:
            item.waiting.append(request)

    def _start(self, now, item, request):
        item.running += 1
        ms = item.usual_ms(request[1][0]) * item.factor * item.slowdown(now)
        ms *= self._random.uniform(0.8, 1.2)
        self._at(now + ms / 1000, self._end, item, request)

    def _end(self, now, item, request):
        decider, (tokens, _, target), arrived_at, sent_at, queued = request
        item.running -= 1
        item.pending_ms -= item.usual_ms(tokens)
        self._report(now, item, decider)
        decider.loads.end_request(item.entry.id, tokens)
        if tokens:
            decider.speeds.record_prefill(
                item.entry, tokens, queued.prefill_tokens, now - sent_at, now
            )
        else:
            decider.speeds.record_call(item.entry, now - sent_at, queued.requests, now)
        if WARMUP_SECONDS < arrived_at < self._seconds - 2:
            self.in_time += now - arrived_at <= target
        if item.waiting:
            self._start(now, item, item.waiting.pop(0))

    def _refused(self, now, item, request, tried):
        decider, kind, arrived_at, _, _ = request
        self._report(now, item, decider)
        decider.loads.end_request(item.entry.id, kind[0])
        if not tried:
            self._send(now, decider, kind, arrived_at, (item,))

    @staticmethod
    def _report(now, item, decider):
        """Let a decider read the load that a response reports."""
        own = decider.loads.own_requests(item.entry.id)
        requests = item.running + len(item.waiting)
        decider.speeds.record_reported_load(item.entry, requests, own, now)
        decider.speeds.record_told_factor(item.entry, item.slowdown(now), now)

    def _view(self, now, decider):
        """Replace a decider's figures of the others."""
        others_by_id = {}
        for other in self._deciders:
            if other is not decider:
                for upstream_id, load in other.loads.own_by_id.items():
                    total = others_by_id.setdefault(upstream_id, Load())
                    total.requests += load.requests
                    total.prefill_tokens += load.prefill_tokens
        decider.loads.receive_loads("others", others_by_id, now)
        self._at(now + VIEW_SECONDS, self._view, decider)

    def _share_news(self, now):
        """Send what each decider has learned to some others of its zone."""
        by_id = {item.entry.id: item.entry for item in self._upstreams}
        self._ticks += 1
        for decider in self._deciders:
            speeds = decider.speeds
            models = speeds.models() if self._ticks % MODEL_TICKS == 0 else []
            moments = speeds.unusual_moments(now)
            news = SpeedNews(speeds.take_news(now), models, moments)
            zone = self._deciders[decider.number % ZONES :: ZONES]
            for other in self._random.sample(zone, NEWS_PEERS):
                if other is not decider:
                    other.speeds.receive_news(news, now, by_id)
        self._at(now + VIEW_SECONDS, self._share_news)
