"""Grants permits for the upstreams that this instance owns.

Provides ``permit_grants``. The owner of an upstream grants one permit after the other,
as far apart as the limit demands, to the instances that ask it by a datagram.
"""

from collections import OrderedDict

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.permit_owners import choose_owner
from camphorgate.serving.permit_schedule import MAX_AHEAD_SECONDS, PermitSchedule
from camphorgate.serving.upstream_limits import Incarnation
from camphorgated.serving.gossip import WARMUP_SECONDS
from camphorgated.serving.messages import PermitReply, PermitRequest
from camphorgated.serving.owner_candidates import OwnerCandidates

# Nobody is asked for this long after an owner was not found.
NO_OWNER_SECONDS = 0.2
# Replies that are kept to answer repeated requests.
MAX_KEPT_REPLIES = 2000


class PermitGrants:
    """The permits that this instance grants."""

    __slots__ = (
        "candidates",
        "_app",
        "_gossip",
        "_members",
        "_limits",
        "_schedule_by_incarnation",
        "_reply_by_request",
        "_started_at",
    )

    def __init__(self, app: Application) -> None:
        """Start without permits."""
        self.candidates = OwnerCandidates(app)
        self._app = app
        self._gossip = app.service("gossip")
        self._members = app.service("members")
        self._limits = app.service("limits")
        self._schedule_by_incarnation: dict[Incarnation, PermitSchedule] = {}
        # By the address and number of the request.
        self._reply_by_request: OrderedDict[tuple[str, int], PermitReply] = (
            OrderedDict()
        )
        self._started_at = app.clock.monotonic()
        self._gossip.add_handler(PermitRequest, self._receive_request)
        self._gossip.add_tick_listener(self._tick)

    def owned_ids(self) -> list[str]:
        """Return the ids of the upstreams for which this instance grants permits."""
        return sorted(name for name, _ in self._schedule_by_incarnation)

    def _receive_request(self, message: PermitRequest) -> None:
        request = (message.address, message.number)
        reply = self._reply_by_request.get(request)
        if reply is None:
            self._limits.merge(message.word)
            reply = self.grant(message)
            self._reply_by_request[request] = reply
            if len(self._reply_by_request) > MAX_KEPT_REPLIES:
                self._reply_by_request.popitem(last=False)
        self._gossip.send([reply], [message.address])

    def grant(self, message: PermitRequest) -> PermitReply:
        """Grant or refuse a permit, or name the owner of the upstream."""
        incarnation = message.word.upstream
        word = self._limits.table.word(incarnation) or message.word
        limit = self._limits.table.limit(incarnation)
        if limit is None:
            return PermitReply(message.number, True, word)
        instances = self.candidates.by_instance(message.zone)
        owner = choose_owner(incarnation[0], instances)
        if owner != self._members.own.instance:
            self._schedule_by_incarnation.pop(incarnation, None)
            if owner is not None:
                address = instances[owner]
                return PermitReply(message.number, False, word, owner=address)
            wait = NO_OWNER_SECONDS + MAX_AHEAD_SECONDS
            return PermitReply(message.number, False, word, wait, wait)
        now = self._app.clock.monotonic()
        per_second = limit * self.candidates.share()
        schedule = self._schedule_by_incarnation.get(incarnation)
        if schedule is None:
            schedule = PermitSchedule(now, per_second)
            self._schedule_by_incarnation[incarnation] = schedule
            log_event(
                "permit_owner",
                upstream=incarnation[0],
                per_second=per_second,
                limit=limit,
                instances=len(instances),
            )
        wait = schedule.try_grant(now, per_second, message.max_wait_seconds)
        if wait is not None:
            return PermitReply(message.number, True, word, wait)
        return PermitReply(
            message.number,
            False,
            word,
            schedule.wait_seconds(now, per_second),
            schedule.return_seconds(now, per_second),
        )

    def _tick(self, turn: int) -> None:
        now = self._app.clock.monotonic()
        self._gossip.grants_permits = (
            now - self._started_at >= WARMUP_SECONDS and not self._members.leaving
        )
        self.candidates.refresh()
        for incarnation in list(self._schedule_by_incarnation):
            if self._limits.table.limit(incarnation) is None:
                del self._schedule_by_incarnation[incarnation]


def setup(app: Application) -> None:
    """Provide the grants of permits."""
    app.provide("permit_grants", PermitGrants(app))
