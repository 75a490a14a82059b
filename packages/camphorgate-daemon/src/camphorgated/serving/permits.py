"""Asks for permits to send to upstreams that name a limit.

Provides ``permits``. One instance at a time, the owner, grants the permits of an
upstream: an instance of the upstream's zone, by a hash order that all compute alike.
The others ask it by a datagram for each request. A permit that is lost is not used, so
lost datagrams and owners never lead to more requests than the limit allows.
"""

import asyncio
import itertools
import secrets
from collections import OrderedDict

import msgspec
from aioprometheus import Counter as PrometheusCounter

from camphorgate.application import Application
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.permit_owners import choose_owner
from camphorgate.serving.permit_schedule import MAX_AHEAD_SECONDS
from camphorgate.serving.upstream_limits import Incarnation
from camphorgated.serving.messages import PermitReply, PermitRequest
from camphorgated.serving.permit_grants import NO_OWNER_SECONDS

# A request for a permit is repeated once if there is no reply within this time. Regions
# are up to 100 ms apart.
REPLY_SECONDS = 0.12
MAX_TRIES = 2
# An instance that does not reply is not asked again for this long.
SILENT_SECONDS = 0.5
# Instances that are asked one after the other, as each names the owner it knows.
MAX_REDIRECTS = 2
# A permit is valid for this long after its time. Opening a connection takes as long.
VALID_SECONDS = 0.25
# Requests without a reply whose late permits may still be used.
MAX_LATE_NUMBERS = 1000
# Size of the random number by which a process asks first.
NUMBER_BITS = 48


class Permit(msgspec.Struct, frozen=True):
    """Allows one request to an upstream.

    ``per_second`` is the limit under which it was granted, infinite if there was none;
    ``valid_until`` is a steady clock time.
    """

    per_second: float
    valid_until: float


NO_LIMIT = Permit(float("inf"), float("inf"))


class _Estimate:
    """When permits of an upstream are free next, by the last reply of its owner."""

    __slots__ = ("free_at", "return_at")

    def __init__(self, free_at: float, return_at: float) -> None:
        self.free_at = free_at
        self.return_at = return_at


class Permits:
    """The permits that this instance asks for."""

    __slots__ = (
        "_app",
        "_gossip",
        "_members",
        "_limits",
        "_grants",
        "_statistics",
        "_estimate_by_incarnation",
        "_owner_by_incarnation",
        "_silent_until_by_address",
        "_future_by_number",
        "_late_numbers",
        "_unused_by_incarnation",
        "_numbers",
        "_results",
    )

    def __init__(self, app: Application) -> None:
        """Start without permits."""
        self._app = app
        self._gossip = app.service("gossip")
        self._members = app.service("members")
        self._limits = app.service("limits")
        self._grants = app.service("permit_grants")
        self._statistics = app.service("statistics")
        self._estimate_by_incarnation: dict[Incarnation, _Estimate] = {}
        # Addresses of the owners that others named.
        self._owner_by_incarnation: dict[Incarnation, str] = {}
        self._silent_until_by_address: dict[str, float] = {}
        self._future_by_number: dict[int, asyncio.Future] = {}
        # Numbers of the requests for permits that were given up without a reply.
        self._late_numbers: OrderedDict[int, None] = OrderedDict()
        # Permits that came too late for the request that asked for them.
        self._unused_by_incarnation: dict[Incarnation, Permit] = {}
        # A restarted process has the same address, but asks by other numbers.
        self._numbers = itertools.count(secrets.randbits(NUMBER_BITS))
        self._results = PrometheusCounter(
            "camphorgate_permit_requests",
            "Requests for permits to send to an upstream with a limit, by result.",
            registry=self._statistics.registry,
        )
        self._gossip.add_handler(PermitReply, self._receive_reply)
        self._gossip.add_tick_listener(self._tick)

    def wait_seconds(self, upstream: Upstream) -> float:
        """Return the seconds until an upstream has a permit, as far as is known."""
        if not len(self._limits.table) or self._limits.limit(upstream) is None:
            return 0.0
        estimate = self._estimate_by_incarnation.get(upstream.incarnation)
        if estimate is None:
            return 0.0
        return max(0.0, estimate.free_at - self._app.clock.monotonic())

    def return_seconds(self, upstream: Upstream) -> float:
        """Return when a refused caller should return, as far as is known."""
        estimate = self._estimate_by_incarnation.get(upstream.incarnation)
        now = self._app.clock.monotonic()
        return 0.0 if estimate is None else max(0.0, estimate.return_at - now)

    def may_send(self, upstream: Upstream, permit: Permit) -> bool:
        """Return whether a request with this permit may be sent now."""
        limit = self._limits.limit(upstream)
        if limit is None:
            return True
        now = self._app.clock.monotonic()
        return permit.per_second <= limit and now <= permit.valid_until

    async def request(
        self, upstream: Upstream, max_wait_seconds: float
    ) -> Permit | None:
        """Return a permit for one request and wait until it may be used.

        :param max_wait_seconds: how long the request can wait for it.
        :returns: ``None`` if there is none in time.
        """
        for _ in range(1 + MAX_REDIRECTS):
            limit = self._limits.limit(upstream)
            if limit is None:
                return NO_LIMIT
            unused = self._unused_by_incarnation.pop(upstream.incarnation, None)
            if unused is not None and self.may_send(upstream, unused):
                return unused
            reply = await self._ask_owner(upstream, max_wait_seconds)
            if reply is None:
                break
            self._limits.merge(reply.word)
            if reply.owner:
                self._owner_by_incarnation[upstream.incarnation] = reply.owner
                continue
            if not reply.granted:
                self._record_waits(upstream, reply.wait_seconds, reply.return_seconds)
                self._count("refused")
                return None
            self._count("granted")
            now = self._app.clock.monotonic()
            valid_until = now + reply.wait_seconds + VALID_SECONDS
            self._estimate_by_incarnation.pop(upstream.incarnation, None)
            if reply.wait_seconds:
                await asyncio.sleep(reply.wait_seconds)
            return Permit(min(limit, reply.word.per_second or limit), valid_until)
        self._owner_by_incarnation.pop(upstream.incarnation, None)
        wait = NO_OWNER_SECONDS + MAX_AHEAD_SECONDS
        self._record_waits(upstream, wait, wait)
        self._count("unanswered")
        self._statistics.request_line("permit_owner_unknown", upstream=upstream.id)
        return None

    def _record_waits(
        self, upstream: Upstream, wait_seconds: float, return_seconds: float
    ) -> None:
        now = self._app.clock.monotonic()
        self._estimate_by_incarnation[upstream.incarnation] = _Estimate(
            now + wait_seconds, now + return_seconds
        )

    def _count(self, result: str) -> None:
        self._results.inc({"result": result})

    async def _ask_owner(
        self, upstream: Upstream, max_wait_seconds: float
    ) -> PermitReply | None:
        """Return the reply of the instance that seems to own an upstream."""
        address = self._owner_address(upstream)
        word = self._limits.table.word(upstream.incarnation)
        if not address or word is None:
            return None
        number = next(self._numbers)
        own_address = self._members.own.gossip_address
        message = PermitRequest(
            number, own_address, upstream.zone, word, max_wait_seconds
        )
        if address == own_address:
            return self._grants.grant(message)
        future = asyncio.get_running_loop().create_future()
        self._future_by_number[number] = future
        try:
            for _ in range(MAX_TRIES):
                self._gossip.send([message], [address])
                await asyncio.wait({future}, timeout=REPLY_SECONDS)
                if future.done():
                    return future.result()
        finally:
            del self._future_by_number[number]
            if not future.done():
                self._late_numbers[number] = None
                if len(self._late_numbers) > MAX_LATE_NUMBERS:
                    self._late_numbers.popitem(last=False)
        until = self._app.clock.monotonic() + SILENT_SECONDS
        self._silent_until_by_address[address] = until
        return None

    def _owner_address(self, upstream: Upstream) -> str:
        """Return the gossip address of the instance to ask, empty if none is known."""
        now = self._app.clock.monotonic()
        named = self._owner_by_incarnation.get(upstream.incarnation)
        if named and self._silent_until_by_address.get(named, 0.0) <= now:
            return named
        instances = self._grants.candidates.by_instance(upstream.zone)
        known = {
            instance: address
            for instance, address in instances.items()
            if self._silent_until_by_address.get(address, 0.0) <= now
        }
        owner = choose_owner(upstream.id, known)
        return known[owner] if owner is not None else ""

    def _receive_reply(self, reply: PermitReply) -> None:
        future = self._future_by_number.get(reply.number)
        if future is None:
            self._keep_unused(reply)
        elif not future.done():
            future.set_result(reply)

    def _keep_unused(self, reply: PermitReply) -> None:
        """Keep a permit whose request has gone, if it may be used at once.

        A repeated request may get two replies, of which the first one counts.
        """
        if reply.number not in self._late_numbers:
            return
        del self._late_numbers[reply.number]
        if reply.granted and not reply.wait_seconds and reply.word.per_second:
            valid_until = self._app.clock.monotonic() + VALID_SECONDS
            permit = Permit(reply.word.per_second, valid_until)
            self._unused_by_incarnation[reply.word.upstream] = permit

    def _tick(self, turn: int) -> None:
        now = self._app.clock.monotonic()
        table = self._limits.table
        for known in (
            self._estimate_by_incarnation,
            self._owner_by_incarnation,
            self._unused_by_incarnation,
        ):
            for incarnation in list(known):
                if table.limit(incarnation) is None:
                    del known[incarnation]
        for address, until in list(self._silent_until_by_address.items()):
            if until <= now:
                del self._silent_until_by_address[address]

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        now = self._app.clock.monotonic()
        return {
            "grants": self._grants.owned_ids(),
            "next_permit_seconds": {
                name: max(0.0, estimate.free_at - now)
                for (name, _), estimate in self._estimate_by_incarnation.items()
            },
            "owners": {
                name: address
                for (name, _), address in self._owner_by_incarnation.items()
            },
        }


def setup(app: Application) -> None:
    """Provide the permits."""
    permits = Permits(app)
    app.provide("permits", permits)
    app.add_dump_section("permits", permits.dump)
