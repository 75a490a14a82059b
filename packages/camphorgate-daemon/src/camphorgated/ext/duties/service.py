"""The service ``duties``: acquires, renews, hands over and releases duties."""

import asyncio
import random
from typing import Any

import msgspec

from camphorgate.application import Application
from camphorgate.authority.duty_assignment import (
    Candidate,
    assign_duties,
    duty_names,
    is_standby,
)
from camphorgate.authority.errors import AuthorityLost
from camphorgate.authority.leases import Lease, LeaseRules
from camphorgate.authority.orders import Order
from camphorgate.errors import CamphorgateError
from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused
from camphorgate.kv.rate_limit import Priority
from camphorgate.log import log_event
from camphorgated.ext.duties.asking import HandoverPoller
from camphorgated.ext.duties.held import HeldDuty
from camphorgated.ext.duties.leasing import SharedLease
from camphorgated.ext.duties.loads import current_load_turn
from camphorgated.ext.duties.receivers import RECEIVERS
from camphorgated.ext.duties.taking import (
    DutyState,
    acquire_duty,
    delete_lease_key,
    read_duty_state,
    release_duty,
)

LEASE_CHECK_SECONDS = 0.5
RENEWAL_RETRY_SECONDS = 1.0
DUTY_CHECK_SECONDS = 3.0
# A standby checks a duty at this longer interval and acquires it only if it is free in
# two checks in a row.
STANDBY_CHECK_SECONDS = 10.0
HANDOVER_POLL_SECONDS = 1.0
# How long a duty must be assigned to another instance before it is released to it.
MOVE_DELAY_SECONDS = 10.0
MAX_STOP_WAIT_SECONDS = 4.0


class Authority(msgspec.Struct, frozen=True):
    """The right to act for a duty; check ``valid()`` again after every await."""

    duty: str
    epoch: int
    held: HeldDuty

    def valid(self) -> bool:
        """Return whether this process may act for the duty now."""
        return self.held.valid()


class DutiesService:
    """Manages the duties that this process holds; see section 9 of the design."""

    def __init__(self, app: Application) -> None:
        """Create the service; its tasks are started by ``start``."""
        timing = app.settings.timing
        self.rules = LeaseRules(
            timing.lease_seconds,
            timing.lease_seconds * 0.3,
            timing.lease_margin_seconds,
        )
        self._drain_seconds = timing.order_drain_seconds
        self._app = app
        self._clock = app.clock
        self._random = random.Random(
            f"{app.settings.seed}/{app.settings.instance_id}/d"
        )
        self._kv: Any = None
        self._membership: Any = None
        self._held_by_duty: dict[str, HeldDuty] = {}
        # Duties that are no longer held, whose orders may still be in flight.
        self._former_tenures: list[HeldDuty] = []
        self._receivers_by_kind: dict[str, Any] = {}
        self._lease: Any = None
        self._handover_poller: Any = None
        self._next_check_by_duty: dict[str, float] = {}
        self._seen_free: set[str] = set()
        self._misplaced_since_by_duty: dict[str, float] = {}
        self._stopping = False
        self._check_lock = asyncio.Lock()

    # Interface of section 9 of the design.

    def authority(self, duty: str) -> Authority | None:
        """Return the authority for a duty, or ``None`` if the duty is not held."""
        held = self._held_by_duty.get(duty)
        if held is None or not held.valid():
            return None
        return Authority(duty, held.epoch, held)

    def held(self) -> list[str]:
        """Return the names of the duties that this process holds."""
        return sorted(d for d, held in self._held_by_duty.items() if held.valid())

    async def submit_order(
        self, duty: str, receiver: str, order: dict[str, Any]
    ) -> Order:
        """Record an order in the journal, send it once and record its outcome.

        :param receiver: an upstream id for duties under ``engines/``, otherwise any
            name, such as the pool or the window.
        :param order: ``kind`` and the fields of the receiver's interface. A missing
            ``order_id`` is generated.
        :raises AuthorityLost: if the duty is not held; nothing was sent.
        :raises HandoverPending: if a predecessor may still send an order; nothing
            was sent.
        :raises OrderConflict: if it contradicts an open order; nothing was sent.
        :raises OrderDeferred: if the weight store's rate limit does not allow it now.
        :raises KvUnavailable: if the journal could not be written; nothing was sent.
        :raises OrderRefused: if the receiver refused it.
        :raises OrderUnanswered: if it may have arrived; it is settled in the
            background.
        """
        held = self._held_by_duty.get(duty)
        if held is None or self._stopping:
            raise AuthorityLost(f"{duty} is not held by this process")
        body = dict(order)
        kind = body.pop("kind")
        if kind == "load_model":
            body["turn"] = current_load_turn(self._app, duty, held.journal)
        return await held.submit(receiver, kind, body)

    def status(self) -> dict[str, Any]:
        """Return the held duties with their epochs and open orders."""
        return {
            duty: {
                "epoch": held.epoch,
                "open_orders": len(held.journal.open_orders),
                "waiting_for": [
                    item.instance for item in held.handover.unsettled_predecessors
                ],
            }
            for duty, held in sorted(self._held_by_duty.items())
            if held.valid()
        }

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            "held": {
                duty: {
                    "record": msgspec.to_builtins(held.record),
                    "journal": msgspec.to_builtins(held.journal),
                    "waiting_for": msgspec.to_builtins(
                        held.handover.unsettled_predecessors
                    ),
                    "in_flight": held.orders_in_flight(),
                }
                for duty, held in sorted(self._held_by_duty.items())
            },
            "lease": self._lease.id if self._lease else 0,
            "former_in_flight": {
                held.duty: held.orders_in_flight() for held in self._former_tenures
            },
        }

    # Start and stop.

    async def start(self) -> None:
        """Create the receivers and start the background tasks."""
        self._kv = self._app.service("kv")
        self._membership = self._app.service("membership")
        self._lease = SharedLease(self._kv, self._clock, self.rules.ttl_seconds)
        self._handover_poller = HandoverPoller(
            self._membership, self._clock, self._acknowledge
        )
        for kind in RECEIVERS:
            self._receivers_by_kind[kind] = RECEIVERS.get(kind)(self._app)
        self._membership.handle_epochs(self._acknowledge)
        self._app.supervise(self._check_leases, "duties tick")
        self._app.supervise(self._renew_lease, "duties lease")
        self._app.supervise(self._check_duties, "duties look")
        self._app.supervise(self._poll_handovers, "duties hand-over")

    async def stop(self) -> None:
        """Wait a bounded time for orders in flight, then release all duties."""
        self._stopping = True
        deadline = self._clock.monotonic() + MAX_STOP_WAIT_SECONDS
        while self._clock.monotonic() < deadline and any(
            held.orders_in_flight() for held in self._held_by_duty.values()
        ):
            await asyncio.sleep(0.1)
        # Waits for an acquisition in progress, so that its duty is released as well.
        async with self._check_lock:
            pass
        await asyncio.gather(
            *(self._release(duty) for duty in list(self._held_by_duty))
        )
        for receiver in self._receivers_by_kind.values():
            await receiver.close()

    async def _acknowledge(self, duty: str, epoch: int) -> list[str]:
        """Stop acting under older epochs and return their orders in flight."""
        held = self._held_by_duty.get(duty)
        if held is not None and held.epoch < epoch:
            held.lease.mark_lost()
            self._drop(duty)
        in_flight: list[str] = []
        for former in self._former_tenures:
            if former.duty == duty and former.epoch < epoch:
                in_flight += former.orders_in_flight()
        return in_flight

    def _drop(self, duty: str) -> None:
        """Stop holding a lost duty and keep track of its orders in flight."""
        held = self._held_by_duty.pop(duty)
        self._former_tenures = [
            item for item in self._former_tenures if item.orders_in_flight()
        ]
        self._former_tenures.append(held)
        log_event("duty_lost", duty=duty, epoch=held.epoch)
        # Otherwise the lease key would block the duty for as long as this process
        # renews the shared lease for its other duties.
        self._app.spawn(delete_lease_key(self._kv, held), f"clear lease of {duty}")

    async def _release(self, duty: str) -> None:
        held = self._held_by_duty.pop(duty)
        self._former_tenures.append(held)
        log_event("duty_released", duty=duty, epoch=held.epoch)
        if not await release_duty(self._kv, held):
            clearing = delete_lease_key(self._kv, held)
            self._app.spawn(clearing, f"clear lease of {duty}")

    # Tasks.

    async def _check_leases(self) -> None:
        """Update every lease with the current time, which detects process pauses."""
        while True:
            now = self._clock.monotonic()
            for duty, held in list(self._held_by_duty.items()):
                # Other instances treat this process as dead once a newer incarnation of
                # the instance exists.
                if self._membership.outranked:
                    held.lease.mark_lost()
                if not held.lease.tick(now):
                    self._drop(duty)
            await asyncio.sleep(LEASE_CHECK_SECONDS)

    async def _renew_lease(self) -> None:
        """Renew the shared lease while this process holds duties."""
        while True:
            pause = self.rules.renew_seconds
            needed = self._lease.id and self._held_by_duty
            if needed and not await self._lease.renew():
                pause = RENEWAL_RETRY_SECONDS
            self._apply_renewal()
            await asyncio.sleep(pause * self._random.uniform(0.9, 1.0))

    def _apply_renewal(self) -> None:
        """Extend the duties that are attached to the current lease.

        Duties acquired under an earlier lease, which has expired, are dropped.
        """
        now = self._clock.monotonic()
        for duty, held in list(self._held_by_duty.items()):
            if held.lease_id != self._lease.id:
                held.lease.mark_lost()
            if not held.lease.record_renewed(self._lease.sent_at, now):
                self._drop(duty)

    async def _check_duties(self) -> None:
        """Acquire the duties assigned to this instance and release misplaced ones."""
        while True:
            try:
                async with self._check_lock:
                    await self._check_duties_once()
            except CamphorgateError as error:
                log_event("duties_not_read", level="DEBUG", error=error.code)
            await asyncio.sleep(DUTY_CHECK_SECONDS * self._random.uniform(0.3, 0.5))

    async def _check_duties_once(self) -> None:
        index = self._app.service("configuration").index
        if index is None or self._stopping or self._membership.outranked:
            return
        duties = duty_names(index.manifest)
        candidates = self._candidates()
        own = self._membership.instance_id
        assigned = assign_duties(duties, candidates)
        for duty in duties:
            if self._stopping:
                return
            if duty in self._held_by_duty:
                await self._move_misplaced(duty, assigned.get(duty, own))
            elif assigned.get(duty) == own:
                await self._check_duty(duty, DUTY_CHECK_SECONDS, standby=False)
            elif is_standby(duty, own, candidates):
                await self._check_duty(duty, STANDBY_CHECK_SECONDS, standby=True)
        for duty in self._held_by_duty.keys() - set(duties):
            await self._release(duty)

    def _candidates(self) -> list[Candidate]:
        own = self._membership.instance_id
        candidates = [
            Candidate(member.instance_id, member.availability_zone)
            for member in self._membership.members()
            if (member.live or member.instance_id == own) and not member.leaving
        ]
        if self._membership.leaving:
            return [item for item in candidates if item.instance != own]
        if own not in {item.instance for item in candidates}:
            zone = self._app.settings.availability_zone
            candidates.append(Candidate(own, zone))
        return candidates

    async def _move_misplaced(self, duty: str, assigned_holder: str) -> None:
        """Release an idle duty once its assignment to another instance is stable."""
        now = self._clock.monotonic()
        held = self._held_by_duty[duty]
        if (
            assigned_holder == self._membership.instance_id
            and not self._membership.leaving
        ):
            self._misplaced_since_by_duty.pop(duty, None)
            return
        since = self._misplaced_since_by_duty.setdefault(duty, now)
        idle = not held.journal.open_orders and not held.orders_in_flight()
        if idle and (now - since >= MOVE_DELAY_SECONDS or self._membership.leaving):
            del self._misplaced_since_by_duty[duty]
            await self._release(duty)

    async def _check_duty(self, duty: str, period: float, standby: bool) -> None:
        now = self._clock.monotonic()
        if now < self._next_check_by_duty.get(duty, 0.0):
            return
        jitter = self._random.uniform(0.8, 1.2)
        self._next_check_by_duty[duty] = now + period * jitter
        priority = Priority.BACKGROUND if standby else Priority.AUTHORITY
        state = await read_duty_state(self._kv, duty, priority)
        if not state.free:
            self._seen_free.discard(duty)
        elif standby and duty not in self._seen_free:
            self._seen_free.add(duty)
        else:
            await self._acquire(duty, state)

    async def _acquire(self, duty: str, state: DutyState) -> None:
        ensured = await self._lease.ensure()
        self._apply_renewal()
        if not ensured:
            return
        lease_id = self._lease.id
        instance = self._membership.instance_id
        incarnation = self._membership.incarnation
        try:
            record, revision = await acquire_duty(
                self._kv, duty, state, instance, incarnation, lease_id
            )
        except (KvOutcomeUnknown, KvRefused):
            # The lease has expired, or the write may still be applied and block the
            # duty for as long as the lease that it names is renewed.
            self._lease.abandon()
            self._apply_renewal()
            raise
        lease = Lease(self.rules)
        now = self._clock.monotonic()
        held = HeldDuty(
            duty,
            record,
            revision,
            state,
            lease,
            lease_id,
            self._drain_seconds,
            self._kv,
            self._clock,
            self._receivers_by_kind[duty.partition("/")[0]],
            self._app.spawn,
        )
        self._seen_free.discard(duty)
        self._held_by_duty[duty] = held
        lease_unchanged = self._lease.id == lease_id
        if (
            not lease.record_acquired(record.epoch, self._lease.sent_at, now)
            or not lease_unchanged
        ):
            lease.mark_lost()
            self._drop(duty)
            return
        log_event("duty_taken", duty=duty, epoch=held.epoch)
        if held.journal.open_orders:
            self._app.spawn(held.resume_open_orders(), f"resume orders of {duty}")

    async def _poll_handovers(self) -> None:
        while True:
            for held in list(self._held_by_duty.values()):
                if held.valid() and not held.settled():
                    await self._handover_poller.poll_predecessors(held)
            await asyncio.sleep(HANDOVER_POLL_SECONDS)
