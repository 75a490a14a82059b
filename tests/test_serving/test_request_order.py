"""Tests of the order of waiting requests: who starts, who is refused, who returns."""

import heapq
import random
import unittest
from collections import Counter

from camphorgate.serving.request_order import (
    MAX_RETURN_SECONDS,
    RequestOrder,
    ReturnTimes,
    WaitingRequest,
    find_unreachable,
)

SECONDS = 15.0
ALLOWED_SECONDS = 0.4


def build_waiting(**changes) -> WaitingRequest:
    """Return a request that waits."""
    fields = {"rank": 1, "arrived_at": 0.0, "cost": 90.0, "workspace": "w0"}
    fields = {**fields, **changes}
    fields.setdefault("latest_start", fields["arrived_at"] + ALLOWED_SECONDS)
    return WaitingRequest(**fields)


def simulate(kinds, servers=24, seed=1):
    """Play arrivals before servers that serve one request each.

    :param kinds: by name: arrivals per second and the fields of the requests.
    :returns: arrivals and starts within time by name of the kind.
    """
    generator = random.Random(seed)
    arrivals = []
    for name, (rate, fields) in kinds.items():
        now = 0.0
        while (now := now + generator.expovariate(rate)) < SECONDS:
            arrivals.append((now, name, build_waiting(arrived_at=now, **fields)))
    arrivals.sort(key=lambda item: item[0])
    order, waiting, busy = RequestOrder(), {}, []
    came, started = Counter(), Counter()

    def serve(until):
        while busy and busy[0] <= until:
            at = heapq.heappop(busy)
            for item in list(waiting):
                if item.latest_start < at:
                    del waiting[item]
            if waiting:
                first = order.sort(waiting, at)[0]
                order.record_start(first, at)
                started[waiting.pop(first)] += 1
                heapq.heappush(busy, at + first.cost / 1000)

    for now, name, item in arrivals:
        serve(now)
        came[name] += 1
        if len(busy) < servers:
            order.record_start(item, now)
            started[name] += 1
            heapq.heappush(busy, now + item.cost / 1000)
        else:
            order.admit(item)
            waiting[item] = name
    return {name: started[name] / came[name] for name in kinds}


class SimulatedOrderTests(unittest.TestCase):
    """What callers get at 1.5 times the capacity (24 slots, 90 ms: 267 a second)."""

    def test_ranks(self):
        """Guards against urgent requests that are refused while others are served."""
        rates = (80.0, 160.0, 160.0)
        kinds = {f"r{n}": (rate, {"rank": n}) for n, rate in enumerate(rates)}
        got = simulate(kinds)
        self.assertGreater(got["r0"], 0.99)
        self.assertGreater(got["r1"], 0.95)
        self.assertGreater(got["r2"], 0.08)

    def test_large_requests_are_not_starved(self):
        """Guards against small requests that always go before the largest tenth."""
        kinds = {"small": (360.0, {}), "large": (40.0, {"cost": 270.0})}
        got = simulate(kinds)
        self.assertGreater(got["large"], 0.15)
        self.assertGreater(got["small"], 0.5)

    def test_subject_without_a_cache_is_not_starved(self):
        """Guards against cached subjects that always go before one that is not."""
        kinds = {f"s{n}": (40.0, {"cost": 80.0}) for n in range(9)}
        kinds["uncached"] = (4.0, {"cost": 160.0})
        self.assertGreater(simulate(kinds)["uncached"], 0.15)

    def test_crowd_of_one_workspace(self):
        """Guards against a workspace whose repeated requests displace the others."""
        kinds = {f"w{n}": (10.0, {"workspace": f"w{n}"}) for n in range(12)}
        kinds["crowd"] = (300.0, {"workspace": "crowd"})
        got = simulate(kinds)
        self.assertGreater(min(got[f"w{n}"] for n in range(12)), 0.97)
        self.assertGreater(got["crowd"], 0.3)

    def test_large_workspace_is_not_starved(self):
        """Guards against shares that leave nothing to a workspace above its own."""
        kinds = {f"w{n}": (16.0, {"workspace": f"w{n}"}) for n in range(16)}
        kinds["large"] = (144.0, {"workspace": "large"})
        self.assertGreater(simulate(kinds)["large"], 0.05)


class DecisionTests(unittest.TestCase):
    """Refusals and the times at which refused callers return."""

    def test_only_those_too_late_are_refused(self):
        """Guards against refusing requests that still have time."""
        items = [build_waiting() for _ in range(10)]
        late = find_unreachable(items, 0.0, 0.1, 1 / 1000)
        self.assertEqual(late, items[4:])
        self.assertEqual(find_unreachable(items[:4], 0.0, 0.1, 1 / 1000), [])

    def test_refused_request_delays_no_other(self):
        """Guards against a request that is refused for those refused before it."""
        hasty = build_waiting(cost=1000.0, latest_start=0.0)
        patient = build_waiting()
        late = find_unreachable([hasty, patient], 0.0, 0.1, 1 / 1000)
        self.assertEqual(late, [hasty])

    def test_return_times_are_spread_and_ordered(self):
        """Guards against refused callers that return together, or out of order."""
        times = ReturnTimes()
        urgent = [times.choose_seconds(0, 0.0, 0.1, 0.01) for _ in range(20)]
        others = [times.choose_seconds(2, 0.0, 0.1, 0.01) for _ in range(20)]
        told = urgent + others
        self.assertEqual(sorted(told), told)
        gaps = [after - before for before, after in zip(told, told[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 0.02 - 1e-9)
        last = [times.choose_seconds(3, 0.0, 9.0, 0.01) for _ in range(3)]
        self.assertLessEqual(max(last), MAX_RETURN_SECONDS)

    def test_idle_workspaces_are_forgotten(self):
        """Guards against a table of uses that grows with every workspace ever."""
        order = RequestOrder()
        for number in range(1000):
            item = build_waiting(workspace=f"w{number}")
            order.record_start(item, number * 0.1)
        self.assertLess(len(order.use._use_by_workspace), 300)
