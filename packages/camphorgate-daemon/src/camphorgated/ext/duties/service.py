"""The service ``duties``: takes, renews, hands over and gives up duties."""

import asyncio
import random
from typing import Any

import msgspec

from camphorgate.application import Application
from camphorgate.authority.errors import AuthorityLost
from camphorgate.authority.leases import Lease, LeaseRules
from camphorgate.authority.orders import Order
from camphorgate.authority.sharding import (
    Candidate,
    assign,
    duty_names,
    stands_by,
)
from camphorgate.errors import CamphorgateError
from camphorgate.kv.budget import Priority
from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused
from camphorgate.log import log_event
from camphorgated.ext.duties.asking import Asker
from camphorgated.ext.duties.held import HeldDuty
from camphorgated.ext.duties.leasing import SharedLease
from camphorgated.ext.duties.loads import check_load
from camphorgated.ext.duties.receivers import RECEIVERS
from camphorgated.ext.duties.taking import (
    DutyState,
    clear_lease_key,
    give_up,
    read_state,
    write_taken,
)

TICK_SECONDS = 0.5
RETRY_RENEWAL_SECONDS = 1.0
LOOK_SECONDS = 3.0
# A stand-by looks this seldom, and takes a duty that it finds free twice in a row.
STAND_BY_SECONDS = 10.0
HANDOVER_SECONDS = 1.0
# How long another instance must be the one that should hold a duty before it is moved.
MOVE_SECONDS = 10.0
STOP_ORDERS_SECONDS = 4.0


class Authority(msgspec.Struct, frozen=True):
    """The right to act for a duty; ``valid()`` is asked again after every await."""

    duty: str
    epoch: int
    held: HeldDuty

    def valid(self) -> bool:
        """Tell whether this process may act now."""
        return self.held.valid()


class DutiesService:
    """The duties of this process; see section 9 of the design."""

    def __init__(self, app: Application) -> None:
        """Prepare the service; nothing runs before ``start``."""
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
        # Former tenures whose orders may still be in flight.
        self._former: list[HeldDuty] = []
        self._receivers_by_kind: dict[str, Any] = {}
        self._lease: Any = None
        self._asker: Any = None
        self._look_at_by_duty: dict[str, float] = {}
        self._found_free: set[str] = set()
        self._misplaced_since_by_duty: dict[str, float] = {}
        self._stopping = False
        self._looking = asyncio.Lock()

    # Interface of section 9.

    def authority(self, duty: str) -> Authority | None:
        """Return the right to act for a duty, ``None`` if it is not held."""
        held = self._held_by_duty.get(duty)
        if held is None or not held.valid():
            return None
        return Authority(duty, held.epoch, held)

    def held(self) -> list[str]:
        """Return the duties that this process holds."""
        return sorted(d for d, held in self._held_by_duty.items() if held.valid())

    async def submit_order(
        self, duty: str, receiver: str, order: dict[str, Any]
    ) -> Order:
        """Write an order, send it once and write its outcome.

        :param receiver: an upstream's id for ``engines/``, else any name, such as the
            pool or the window.
        :param order: ``kind``, and the fields of the receiver's interface. Without
            ``order_id`` a new one is chosen.
        :raises AuthorityLost: if the duty is not held; nothing was sent.
        :raises HandoverPending: if a predecessor may still send; nothing was sent.
        :raises OrderConflict: if an open order contradicts it; nothing was sent.
        :raises OrderDeferred: if the weight store's rate does not allow it now.
        :raises KvUnavailable: if it could not be written; nothing was sent.
        :raises OrderRefused: if the receiver refused it.
        :raises OrderUnanswered: if it may have arrived; it is settled later.
        """
        held = self._held_by_duty.get(duty)
        if held is None or self._stopping:
            raise AuthorityLost(f"{duty} is not held by this process")
        body = dict(order)
        kind = body.pop("kind")
        if kind == "load_model":
            body["turn"] = check_load(self._app, duty, held.journal)
        return await held.submit(receiver, kind, body)

    def status(self) -> dict[str, Any]:
        """Return the held duties with their epochs and open orders."""
        return {
            duty: {
                "epoch": held.epoch,
                "open_orders": len(held.journal.open_orders),
                "waiting_for": [item.instance for item in held.handover.waiting],
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
                    "waiting_for": msgspec.to_builtins(held.handover.waiting),
                    "in_flight": held.orders_in_flight(),
                }
                for duty, held in sorted(self._held_by_duty.items())
            },
            "lease": self._lease.id if self._lease else 0,
            "former_in_flight": {
                held.duty: held.orders_in_flight() for held in self._former
            },
        }

    # Life of the process.

    async def start(self) -> None:
        """Start the tasks."""
        self._kv = self._app.service("kv")
        self._membership = self._app.service("membership")
        self._lease = SharedLease(self._kv, self._clock, self.rules.ttl_seconds)
        self._asker = Asker(self._membership, self._clock, self._acknowledge)
        for kind in RECEIVERS:
            self._receivers_by_kind[kind] = RECEIVERS.get(kind)(self._app)
        self._membership.handle_epochs(self._acknowledge)
        self._app.spawn(self._tick(), "duties tick")
        self._app.spawn(self._renew(), "duties lease")
        self._app.spawn(self._look(), "duties look")
        self._app.spawn(self._hand_over(), "duties hand-over")

    async def stop(self) -> None:
        """Let the orders in flight end for a few seconds, then give up all duties."""
        self._stopping = True
        deadline = self._clock.monotonic() + STOP_ORDERS_SECONDS
        while self._clock.monotonic() < deadline and any(
            held.orders_in_flight() for held in self._held_by_duty.values()
        ):
            await asyncio.sleep(0.1)
        # A duty that is being taken is given up like the others.
        async with self._looking:
            pass
        await asyncio.gather(
            *(self._release(duty) for duty in list(self._held_by_duty))
        )
        for receiver in self._receivers_by_kind.values():
            await receiver.close()

    async def _acknowledge(self, duty: str, epoch: int) -> list[str]:
        """Stop acting under older epochs and return the orders that are in flight."""
        held = self._held_by_duty.get(duty)
        if held is not None and held.epoch < epoch:
            held.lease.lose()
            self._forget(duty)
        in_flight: list[str] = []
        for former in self._former:
            if former.duty == duty and former.epoch < epoch:
                in_flight += former.orders_in_flight()
        return in_flight

    def _forget(self, duty: str) -> None:
        """Move a duty that is no longer held to the former ones."""
        held = self._held_by_duty.pop(duty)
        self._former = [item for item in self._former if item.orders_in_flight()]
        self._former.append(held)
        log_event("duty_lost", duty=duty, epoch=held.epoch)
        # The lease key would block the duty for as long as other duties keep the
        # shared lease alive.
        self._app.spawn(clear_lease_key(self._kv, held), f"clear lease of {duty}")

    async def _release(self, duty: str) -> None:
        held = self._held_by_duty.pop(duty)
        self._former.append(held)
        log_event("duty_released", duty=duty, epoch=held.epoch)
        if not await give_up(self._kv, held):
            clearing = clear_lease_key(self._kv, held)
            self._app.spawn(clearing, f"clear lease of {duty}")

    # Tasks.

    async def _tick(self) -> None:
        """Note the time for every lease, so that a pause is noticed on waking."""
        while True:
            now = self._clock.monotonic()
            for duty, held in list(self._held_by_duty.items()):
                # A newer incarnation proves to others that this process is dead.
                if self._membership.outranked:
                    held.lease.lose()
                if not held.lease.tick(now):
                    self._forget(duty)
            await asyncio.sleep(TICK_SECONDS)

    async def _renew(self) -> None:
        """Keep this process's lease while it holds duties."""
        while True:
            pause = self.rules.renew_seconds
            needed = self._lease.id and self._held_by_duty
            if needed and not await self._lease.renew():
                pause = RETRY_RENEWAL_SECONDS
            self._extend()
            await asyncio.sleep(pause * self._random.uniform(0.9, 1.0))

    def _extend(self) -> None:
        """Apply the newest renewal to the duties that hang on this lease.

        The others were taken under a lease that has ended since.
        """
        now = self._clock.monotonic()
        for duty, held in list(self._held_by_duty.items()):
            if held.lease_id != self._lease.id:
                held.lease.lose()
            if not held.lease.renewed(self._lease.sent_at, now):
                self._forget(duty)

    async def _look(self) -> None:
        """Take the duties that this instance should hold, and move misplaced ones."""
        while True:
            try:
                async with self._looking:
                    await self._look_once()
            except CamphorgateError as error:
                log_event("duties_not_read", level="DEBUG", error=error.code)
            await asyncio.sleep(LOOK_SECONDS * self._random.uniform(0.3, 0.5))

    async def _look_once(self) -> None:
        index = self._app.service("configuration").index
        if index is None or self._stopping or self._membership.outranked:
            return
        duties = duty_names(index.manifest)
        candidates = self._candidates()
        own = self._membership.instance_id
        assigned = assign(duties, candidates)
        for duty in duties:
            if self._stopping:
                return
            if duty in self._held_by_duty:
                await self._move_misplaced(duty, assigned.get(duty, own))
            elif assigned.get(duty) == own:
                await self._look_at(duty, LOOK_SECONDS, stand_by=False)
            elif stands_by(duty, own, candidates):
                await self._look_at(duty, STAND_BY_SECONDS, stand_by=True)
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

    async def _move_misplaced(self, duty: str, wanted: str) -> None:
        """Give up a duty that another instance should hold, once that is stable."""
        now = self._clock.monotonic()
        held = self._held_by_duty[duty]
        if wanted == self._membership.instance_id and not self._membership.leaving:
            self._misplaced_since_by_duty.pop(duty, None)
            return
        since = self._misplaced_since_by_duty.setdefault(duty, now)
        idle = not held.journal.open_orders and not held.orders_in_flight()
        if idle and (now - since >= MOVE_SECONDS or self._membership.leaving):
            del self._misplaced_since_by_duty[duty]
            await self._release(duty)

    async def _look_at(self, duty: str, period: float, stand_by: bool) -> None:
        now = self._clock.monotonic()
        if now < self._look_at_by_duty.get(duty, 0.0):
            return
        spread = self._random.uniform(0.8, 1.2)
        self._look_at_by_duty[duty] = now + period * spread
        priority = Priority.BACKGROUND if stand_by else Priority.AUTHORITY
        state = await read_state(self._kv, duty, priority)
        if not state.free:
            self._found_free.discard(duty)
        elif stand_by and duty not in self._found_free:
            self._found_free.add(duty)
        else:
            await self._take(duty, state)

    async def _take(self, duty: str, state: DutyState) -> None:
        ensured = await self._lease.ensure()
        self._extend()
        if not ensured:
            return
        lease_id = self._lease.id
        instance = self._membership.instance_id
        incarnation = self._membership.incarnation
        try:
            record, revision = await write_taken(
                self._kv, duty, state, instance, incarnation, lease_id
            )
        except (KvOutcomeUnknown, KvRefused):
            # The lease has ended, or the write may arrive later and block the duty for
            # as long as the lease that it names is renewed.
            self._lease.abandon()
            self._extend()
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
        self._found_free.discard(duty)
        self._held_by_duty[duty] = held
        same = self._lease.id == lease_id
        if not lease.taken(record.epoch, self._lease.sent_at, now) or not same:
            lease.lose()
            self._forget(duty)
            return
        log_event("duty_taken", duty=duty, epoch=held.epoch)
        if held.journal.open_orders:
            self._app.spawn(held.resume(), f"resume orders of {duty}")

    async def _hand_over(self) -> None:
        while True:
            for held in list(self._held_by_duty.values()):
                if held.valid() and not held.settled():
                    await self._asker.ask_all(held)
            await asyncio.sleep(HANDOVER_SECONDS)
