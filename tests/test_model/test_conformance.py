"""Runs the decision code along the steps of the specifications and compares states.

The steps are random walks with fixed seeds. The code must allow each step that the
specification allows, and both must have the same state after it.
"""

import random
import unittest

from camphorgate.authority.errors import OrderConflict
from camphorgate.authority.handover import Acknowledgement, Handover
from camphorgate.authority.leases import DutyRecord, Lease, LeaseRules, take_over
from camphorgate.authority.orders import (
    Journal,
    OrderDelivery,
    add_order,
    adopt_order,
    close_order,
)
from camphorgate.configuration.freshness import Freshness
from camphorgate.configuration.versions import Root, VersionTracker
from tests.builders import build_manifest
from tests.test_model import freshness_spec
from tests.test_model.orders_spec import Bounds, OrderSpec, State

DUTY = "engines/p"
ORDER = ("order", "engine-1", "set_role", {})
# Far longer than the lapses of a walk take in total, so that the drain time passes
# only in the steps that need it.
DRAIN_SECONDS = 200.0
LAPSE_SECONDS = 9


class RealProcess:
    """One process that consists of the real decision code."""

    def __init__(self, index: int, incarnation: int) -> None:
        self.instance = str(index)
        self.incarnation = incarnation
        self.lease = Lease(LeaseRules())
        self.handover = None
        self.run = None
        self.runs = []
        self.pending_take = None


class RealSystem:
    """The records of the key-value service and the processes."""

    def __init__(self, case: unittest.TestCase, fences: bool) -> None:
        self.case = case
        self.fences = fences
        self.now = 0.0
        self.record = DutyRecord()
        self.journal = Journal()
        self.processes = [RealProcess(0, 1), RealProcess(1, 1)]

    def advance(self, state: State, seconds: int) -> None:
        """Advance the time; running holders tick, and renew leases that still run."""
        for _ in range(seconds):
            self.now += 1.0
            for real, process in zip(self.processes, state.processes, strict=True):
                if process.paused or not process.alive:
                    continue
                if real.lease.tick(self.now) and state.lease == real.lease.epoch:
                    real.lease.record_renewed(self.now, self.now)

    def step(self, label: str, before: State, after: State) -> None:
        """Execute a step of the specification."""
        name = label.partition(",")[0].split()
        handler = getattr(self, "_" + "_".join(name[:-1] or name))
        if name[-1].isdigit() and name[0] not in ("acknowledge", "drained"):
            index = int(name[-1])
            handler(self.processes[index], index, label, before)
        else:
            handler(name[-1], label, before, after)

    def _take(self, real, index, label, before):
        self.record = take_over(
            self.record,
            real.instance,
            real.incarnation,
            self.journal.open_epochs(),
        )
        real.pending_take = (self.record, self.now)
        if "no answer" not in label:
            self._resolve_take(real, index, label, before)

    def _resolve_take(self, real, index, label, before):
        record, sent_at = real.pending_take
        if self.record.epoch != record.epoch:
            return
        real.lease.record_acquired(record.epoch, sent_at, self.now)
        real.handover = Handover(
            record.epoch, record.predecessors, self.journal, DRAIN_SECONDS
        )

    def _write(self, real, index, label, before):
        try:
            self.journal, order = add_order(
                self.journal, DUTY, real.lease.epoch, *ORDER
            )
        except OrderConflict:
            self.case.fail("the code refuses an order that the specification allows")
        real.run = OrderDelivery(order, real.lease.epoch, DRAIN_SECONDS)
        real.runs.append(real.run)

    def _lost_write(self, real, index, label, before):
        real.run = None

    def _resolve_write(self, real, index, label, before):
        pass

    def _adopt(self, real, index, label, before):
        self._require_settled(real)
        number = self.journal.open_orders[0].number
        self.journal = adopt_order(self.journal, number, real.lease.epoch)
        order = self.journal.find(number)
        real.run = OrderDelivery(order, real.lease.epoch, DRAIN_SECONDS)
        real.runs.append(real.run)

    def _abandon(self, real, index, label, before):
        self.case.assertTrue(real.handover.update_settled(self.now))
        number = self.journal.open_orders[0].number
        self.journal = close_order(self.journal, number, "abandoned")

    def _require_settled(self, real):
        if not self.fences:
            self.case.assertTrue(real.handover.update_settled(self.now))

    def _check(self, real, index, label, before):
        self.case.assertTrue(real.lease.check_valid(self.now))
        self.case.assertTrue(real.run.send(self.now))

    def _send(self, real, index, label, before):
        self.case.assertTrue(real.run.in_flight(self.now))

    def _resend(self, real, index, label, before):
        self._drain(real, before)

    def _close(self, real, index, label, before):
        self._drain(real, before)
        settled = real.handover.update_settled(self.now)
        self.case.assertTrue(real.run.may_close(self.now, settled))
        self.journal = close_order(self.journal, real.run.order.number, "confirmed")

    def _drain(self, real, before):
        if real.run.in_flight(self.now):
            self.advance(before, int(DRAIN_SECONDS))

    def _refused_close(self, real, index, label, before):
        pass

    _refused_write = _drop = _pause = _resume = _refused_close

    def _crash(self, real, index, label, before):
        self.processes[index] = RealProcess(index, real.incarnation + 1)

    def _lapse(self, _, label, before, after):
        self.advance(before._replace(lease=0), LAPSE_SECONDS)

    def _deliver(self, message, label, before, after):
        for index, process in enumerate(before.processes):
            if process.step == "sent" and after.processes[index].step == "answered":
                self.processes[index].run.answered()

    def _time_out(self, message, label, before, after):
        for index, process in enumerate(before.processes):
            if process.step == "sent" and after.processes[index].step == "unanswered":
                self.processes[index].run.unanswered(self.now)

    def _lose(self, message, label, before, after):
        pass

    def _acknowledge(self, epoch, label, before, after):
        former_index, _ = before.holders[int(epoch) - 1]
        former = self.processes[former_index]
        if any(run.in_flight(self.now) for run in former.runs):
            self.advance(before, int(DRAIN_SECONDS))
        in_flight = sum(run.in_flight(self.now) for run in former.runs)
        self.case.assertEqual(in_flight, 0)
        self._settle(before, after, former_index, former.incarnation)
        successor = self.processes[self._successor(before, after)]
        if former is not successor:
            former.lease.mark_lost()

    def _drained(self, epoch, label, before, after):
        former_index, incarnation = before.holders[int(epoch) - 1]
        successor = self.processes[self._successor(before, after)]
        if before.processes[former_index].alive:
            self._settle(before, after, former_index, incarnation + 1)
        else:
            successor.handover.mark_gone(str(former_index), self.now)
        self.advance(before, int(DRAIN_SECONDS))
        successor.handover.update_settled(self.now)

    def _settle(self, before, after, former_index, incarnation):
        successor = self.processes[self._successor(before, after)]
        answer = Acknowledgement(
            str(former_index), incarnation, successor.handover.epoch, 0
        )
        successor.handover.receive_acknowledgement(answer, self.now)

    def _successor(self, before, after):
        for index, process in enumerate(before.processes):
            if process.waiting != after.processes[index].waiting:
                return index
        raise AssertionError("no process settled a predecessor")

    def compare(self, label: str, state: State) -> None:
        """Compare the real state with that of the specification."""
        case = self.case
        open_order = None
        if self.journal.open_orders:
            order = self.journal.open_orders[0]
            open_order = (order.number, frozenset(order.epochs))
        case.assertEqual(open_order, state.open_order, label)
        case.assertEqual(self.record.epoch, state.epoch, label)
        case.assertEqual(self.journal.next_number, state.next_number, label)
        for real, process in zip(self.processes, state.processes, strict=True):
            if process.paused or process.step in ("idle", "taking"):
                continue
            case.assertEqual(real.lease.check_valid(self.now), process.valid, label)
            waiting = {item.epoch for item in real.handover.unsettled_predecessors}
            if state.open_order and process.epoch not in state.open_order[1]:
                case.assertEqual(waiting, process.waiting, label)
            if process.step in ("sent", "checked"):
                case.assertTrue(real.run.in_flight(self.now), label)


def may_drain(label: str) -> bool:
    """Return whether the drain time may pass in a step."""
    return label.split()[0] in ("acknowledge", "drained", "close", "resend")


def is_representable(label: str, state: State) -> bool:
    """Return whether the harness can represent a step on its single timeline.

    The drain time is longer than any message is in transit, and longer than every lease
    that is not renewed. Other tests cover a holder that settles several epochs of a
    process at once.
    """
    if not may_drain(label):
        return True
    paused = any(
        p.paused and p.valid and p.epoch == state.lease for p in state.processes
    )
    taking = any(p.step == "taking" for p in state.processes)
    holders = [state.holders[e - 1] for p in state.processes for e in p.waiting]
    return not (paused or taking or state.messages or len(holders) > 1)


class OrderConformanceTests(unittest.TestCase):
    def test_the_code_follows_the_specification(self):
        """Guards against code that differs from the specification."""
        for fences in (True, False):
            spec = OrderSpec(fences, bounds=Bounds(4, 4, 3, 2))
            seen = set()
            for seed in range(300):
                with self.subTest(fences=fences, seed=seed):
                    seen |= self.walk(spec, fences, random.Random(seed))
            expected = {"take", "resolve", "write", "lost", "adopt", "check", "send"}
            expected |= {"close", "resend", "crash", "pause", "resume", "lapse", "drop"}
            expected |= {"deliver", "time", "acknowledge", "drained", "abandon"}
            self.assertLessEqual(expected, seen)

    def walk(self, spec, fences, generator):
        state, real, seen = State(), RealSystem(self, fences), set()
        path = []
        for _ in range(80):
            steps = [
                s for s in spec.transitions(state) if is_representable(s[0], state)
            ]
            if not steps:
                break
            label, after = generator.choice(steps)
            path.append(label)
            real.step(label, state, after)
            real.compare(str(path), after)
            state = after
            seen.add(label.split()[0])
        return seen


class RealObserver:
    """An observer that uses the real decision code; its clock stops during a pause."""

    def __init__(self) -> None:
        self.now = 0.0
        self.freshness = Freshness(freshness_spec.FRESHNESS_TICKS)
        self.ledger = VersionTracker()
        self.ledger.apply(Root(1, 0, {}), build_manifest())
        self.received_at = [-1e9, -1e9]
        self.query_sent_at = 0.0

    def step(self, label, before):
        """Execute a step; versions of the code start at 1."""
        query = before.query
        if label == "tick" and not before.paused:
            self.now += 1.0
        elif label == "resume":
            self.freshness.clear()
            self.received_at = [-1e9, -1e9]
        elif label.startswith("query"):
            self.query_sent_at = self.now
        elif label == "apply":
            root = Root(self.ledger.highest_known, 0, {})
            self.ledger.apply(root, build_manifest())
        elif label.startswith("receive"):
            self.ledger.record_known(query.version + 1)
            if query.read_age < freshness_spec.FRESHNESS_TICKS:
                begun_at = self.query_sent_at - query.read_age
                self.freshness.record_read(
                    query.version + 1, begun_at, self.ledger.highest_known
                )
            if query.target:
                number = query.target - 1
                self.received_at[number] = max(
                    self.received_at[number], self.query_sent_at
                )

    def is_fresh(self):
        """Return whether keys may be accepted or refused."""
        version, highest = self.ledger.version, self.ledger.highest_known
        freshness_ticks = freshness_spec.FRESHNESS_TICKS
        confirmed = 1 + sum(self.now - at < freshness_ticks for at in self.received_at)
        return self.freshness.is_fresh_by_kv(
            version, self.now
        ) or self.freshness.is_fresh_by_majority(
            version, highest, confirmed, 1 + len(self.received_at)
        )


class FreshnessConformanceTests(unittest.TestCase):
    def test_the_code_follows_the_specification(self):
        """Guards against freshness rules that differ from the specification."""
        spec = freshness_spec.FreshnessSpec()
        compared = {True: 0, False: 0}
        for seed in range(600):
            generator = random.Random(seed)
            state, real, path = freshness_spec.State(), RealObserver(), []
            for _ in range(60):
                label, after = generator.choice(spec.transitions(state))
                path.append(label)
                real.step(label, state)
                state = after
                self.assertEqual(real.ledger.version, state.version + 1, path)
                self.assertEqual(
                    real.ledger.highest_known, state.highest_known + 1, path
                )
                # With version 1 active no withdrawn key is accepted. The code then
                # also counts reads from before that version was applied.
                if not state.paused and state.version == 0:
                    expected = spec.is_fresh(state)
                    compared[expected] += 1
                    self.assertIs(real.is_fresh(), expected, path)
        self.assertGreater(min(compared.values()), 200)
