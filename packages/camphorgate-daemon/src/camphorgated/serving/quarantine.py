"""Blocks requests whose prompt part ends upstreams, together with all instances.

Provides ``quarantine``. Instances exchange evidence by datagrams: what is new is sent
to a few random peers at every tick, by each instance that learns of it, so that it
reaches all of them within a few ticks whatever their number. A random part of the whole
table goes to one peer per tick, for instances that have just started. Blocks are also
written to the store, where they outlast a restart of all instances.
"""

import asyncio
import random

import msgspec
import xxhash
from aioprometheus import Counter as PrometheusCounter
from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.kv.errors import KvError
from camphorgate.kv.records import Delete, KvEntry, Put, absent, unchanged
from camphorgate.log import log_event
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.quarantine import (
    MAX_ONSET_SECONDS,
    Block,
    Evidence,
    QuarantineTable,
)
from camphorgated.serving.directory import INSTANCE_PREFIX
from camphorgated.serving.front import RequestContext
from camphorgated.serving.messages import QuarantineNews
from camphorgated.serving.rumors import PEERS_PER_TICK, Rumors
from camphorgated.serving.statistics import job_fields

BLOCK_PREFIX = INSTANCE_PREFIX + "quarantine/"
# Refusal reason of requests that hold a blocked part.
BLOCKED = "prompt_part_blocked"
# Reason to give a request up that would end one more upstream.
SUSPECTED = "prompt_part_suspected"
# Bounds on a datagram, so that links do not fragment it: evidence has about 70 bytes,
# an answer and an upstream 20, and a block 40.
MAX_EVIDENCE_PER_DATAGRAM = 8
MAX_CLEARED_PER_DATAGRAM = 24
MAX_BLOCKS_PER_DATAGRAM = 4
MAX_SURVIVORS_PER_DATAGRAM = 4
# The blocks are read this long after the start, and again by the holder of the duty.
FIRST_READ_SECONDS = 0.5
READ_SECONDS = 30.0
READ_RETRY_SECONDS = 0.5
# A write that failed, and the trial of a block, are attempted at this interval.
WRITE_RETRY_SECONDS = 1.0
# An instance has heard of the answers to suspected parts this long after its start.
LEARNING_SECONDS = 2.0
# Lower bound of the retry-after of refused callers.
MIN_RETRY_AFTER_SECONDS = 1.0


class Quarantine:
    """The evidence and blocks of this instance, and their exchange with peers."""

    __slots__ = (
        "table",
        "_app",
        "_gossip",
        "_members",
        "_store",
        "_statistics",
        "_rumors",
        "_own_requests",
        "_unwritten",
        "_removed",
        "_trial_tried_at",
        "_random",
        "_started_at",
        "_ends",
        "_refusals",
        "_blocks",
    )

    def __init__(self, app: Application) -> None:
        """Start without evidence."""
        self.table = QuarantineTable()
        self._app = app
        self._gossip = app.service("gossip")
        self._members = app.service("members")
        self._store = app.service("store")
        self._statistics = app.service("statistics")
        # Fields and keys of the entries that are sent.
        self._rumors = Rumors()
        # Ids of the requests with evidence from this instance.
        self._own_requests: set[str] = set()
        # Blocks that this instance has yet to write to the store or remove there.
        self._unwritten: dict[tuple[str, ...], Block] = {}
        self._removed: set[tuple[str, ...]] = set()
        self._trial_tried_at: dict[tuple[str, ...], float] = {}
        self._random = random.Random()
        self._started_at = app.clock.monotonic()
        registry = self._statistics.registry
        self._ends = PrometheusCounter(
            "camphorgate_upstream_ends",
            "Requests whose connection ended together with their upstream.",
            registry=registry,
        )
        self._refusals = PrometheusCounter(
            "camphorgate_quarantine_refusals",
            "Requests refused for a blocked part.",
            registry=registry,
        )
        self._blocks = Gauge(
            "camphorgate_quarantine_blocks", "Blocks in force.", registry=registry
        )
        self._gossip.add_handler(QuarantineNews, self._receive)
        self._gossip.add_tick_listener(self._tick)

    async def start(self) -> None:
        """Read the blocks from the store, and write those of this instance."""
        self._app.supervise(self._read_periodically, "quarantine")
        self._app.supervise(self._write_periodically, "quarantine blocks")

    def find_block(self, parts: tuple[str, ...]) -> Block | None:
        """Return the block of a request with these keys, ``None`` if it may be sent."""
        return self.table.find_block(parts)

    def retry_after_seconds(self, block: Block) -> float:
        """Return the seconds until a request may test a block."""
        seconds = block.trial_at() - self._gossip.synchronized_now()
        return max(MIN_RETRY_AFTER_SECONDS, seconds)

    def record_end(
        self,
        context: RequestContext,
        upstream: Upstream,
        parts: tuple[str, ...],
        sent_seconds: float,
        answered_seconds: float = 0.0,
    ) -> None:
        """Record a request whose connection ended before its answer.

        :param sent_seconds: how long ago it was sent to the upstream.
        :param answered_seconds: for how long the answer had been arriving.
        """
        if upstream.leaving or answered_seconds > MAX_ONSET_SECONDS:
            return
        self._ends.inc({"service": upstream.service})
        request = xxhash.xxh3_64_hexdigest(context.facts.attempt.encode())
        now = self._gossip.synchronized_now()
        evidence = self.table.record_end(
            upstream.incarnation, request, parts, now - sent_seconds, now
        )
        if evidence is None:
            return
        self._own_requests.add(request)
        self._rumors.add(("evidence", (evidence.upstream, evidence.request)))
        self._report_answers(evidence)
        self._statistics.request_line(
            "upstream_ended",
            upstream=upstream.id,
            started_at=upstream.started_at,
            suspected=",".join(evidence.parts),
            **job_fields(context),
        )

    def record_answer(self, parts: tuple[str, ...], remember: bool = True) -> None:
        """Record a complete answer, which clears its parts.

        :param remember: also remember parts that are not suspected now.
        """
        before = set(self.table.blocks_by_parts)
        now = self._gossip.synchronized_now()
        for part in self.table.record_answer(parts, now, remember):
            self._rumors.add(("cleared", part))
        self._note_lifted(before, "answered")

    def record_response(self, upstream: Upstream) -> None:
        """Record that an upstream has responded, so that it has not ended."""
        if not self.table.evidence_by_id:
            return
        now = self._gossip.synchronized_now()
        if self.table.record_response(upstream.incarnation, now):
            self._rumors.add(("survivors", upstream.incarnation))
            log_event("upstream_survived", upstream=upstream.id)

    def lift(self, part: str) -> bool:
        """Lift the blocks of a part for all instances, as an operator orders.

        :returns: whether there was one.
        """
        before = set(self.table.blocks_by_parts)
        if self.table.merge_cleared(part, self._gossip.synchronized_now()):
            self._rumors.add(("cleared", part))
        self._note_lifted(before, "operator")
        return set(self.table.blocks_by_parts) != before

    async def try_trial(self, context: RequestContext, block: Block) -> bool:
        """Return whether a request may test a block.

        The store decides, so that one request of all instances does.
        """
        now = self._gossip.synchronized_now()
        if now < block.trial_at():
            return False
        if now - self._trial_tried_at.get(block.parts, 0.0) < WRITE_RETRY_SECONDS:
            return False
        self._trial_tried_at[block.parts] = now
        key = _block_key(block.parts)
        tried = block.after_trial(now)
        try:
            entry = await self._store.get(key)
            stored = _decode(entry) if entry is not None else None
            if stored is not None and stored.trials > block.trials:
                self._merge_block(stored, "store")
                return False
            condition = (
                absent(key) if entry is None else unchanged(key, entry.mod_revision)
            )
            put = Put(key, msgspec.json.encode(tried))
            done = await self._store.transact([condition], [put])
        except KvError as error:
            log_event("quarantine_trial_failed", error=error.message)
            return False
        if done.succeeded:
            self.table.begin_trial(block, now)
            self._rumors.add(("blocks", block.parts))
            log_event(
                "quarantine_trial",
                parts=",".join(block.parts),
                trials=tried.trials,
                attempt=context.facts.attempt,
            )
        return done.succeeded

    def refuse(self, context: RequestContext, block: Block) -> None:
        """Count and explain the refusal of a request."""
        self._refusals.inc({"service": context.service})
        context.decisions.update(
            blocked_parts=",".join(block.parts), block_ends=block.ends
        )

    def _tick(self, turn: int) -> None:
        now = self._gossip.synchronized_now()
        for block in self._derive_blocks(now):
            self._rumors.add(("blocks", block.parts))
            self._write_later(block)
            _log_blocked(block, "evidence")
        for block in self.table.expire(now):
            self._removed.add(block.parts)
            log_event("prompt_part_lifted", parts=",".join(block.parts), by="age")
        if self._own_requests:
            self._own_requests &= {
                item.request for item in self.table.evidence_by_id.values()
            }
        self._blocks.set({}, len(self.table.blocks_by_parts))
        self._send(self._gossip.near + self._gossip.far)

    def _derive_blocks(self, now: float) -> list[Block]:
        """Return new blocks, none while this instance may not know of answers yet."""
        if self._app.clock.monotonic() - self._started_at < LEARNING_SECONDS:
            return []
        return self.table.derive_blocks(now)

    def _send(self, peers: list[str]) -> None:
        if not peers or not (len(self._rumors) or len(self.table)):
            return
        news = self._take_news()
        if news is not None:
            count = min(len(peers), PEERS_PER_TICK)
            self._gossip.send([news], self._random.sample(peers, count))
        self._gossip.send([self._sample()], [self._random.choice(peers)])

    def _take_news(self) -> QuarantineNews | None:
        """Return what has to be sent at this tick, the latest first."""
        news = QuarantineNews([], [], [], [])
        room_by_field = {
            "evidence": MAX_EVIDENCE_PER_DATAGRAM,
            "cleared": MAX_CLEARED_PER_DATAGRAM,
            "blocks": MAX_BLOCKS_PER_DATAGRAM,
            "survivors": MAX_SURVIVORS_PER_DATAGRAM,
        }

        def add(item: tuple[str, object]) -> bool | None:
            field, key = item
            if not room_by_field[field]:
                return None
            added = self._add(news, field, key)
            room_by_field[field] -= added
            return added

        self._rumors.collect(add)
        return news if _is_news(news) else None

    def _add(self, news: QuarantineNews, field: str, key) -> bool:
        """Add an entry and return whether the table still has it."""
        table = self.table
        if field == "survivors":
            news.survivors.append(key)
            return True
        entries = {
            "evidence": table.evidence_by_id,
            "cleared": table.cleared_at_by_part,
            "blocks": table.blocks_by_parts,
        }[field]
        if key not in entries:
            return False
        entry = entries[key]
        getattr(news, field).append((key, entry) if field == "cleared" else entry)
        return True

    def _sample(self) -> QuarantineNews:
        """Return a random part of the table that fits into a datagram."""
        table = self.table
        return QuarantineNews(
            self._sample_of(table.evidence_by_id.values(), MAX_EVIDENCE_PER_DATAGRAM),
            [],
            self._sample_of(table.blocks_by_parts.values(), MAX_BLOCKS_PER_DATAGRAM),
        )

    def _sample_of(self, entries, most: int) -> list:
        entries = list(entries)
        return self._random.sample(entries, min(most, len(entries)))

    def _receive(self, news: QuarantineNews) -> None:
        before = set(self.table.blocks_by_parts)
        now = self._gossip.synchronized_now()
        for upstream in news.survivors:
            if self.table.merge_survivor(upstream):
                self._rumors.add(("survivors", upstream))
        for evidence in news.evidence:
            if self.table.merge_evidence(evidence, now):
                self._rumors.add(("evidence", (evidence.upstream, evidence.request)))
                self._report_answers(evidence)
        for block in news.blocks:
            self._merge_block(block, "peer")
        for part, at in news.cleared:
            # A peer's clock may be ahead; nothing is cleared for the future.
            if self.table.merge_cleared(part, min(at, now)):
                self._rumors.add(("cleared", part))
        self._note_lifted(before, "peer")

    def _report_answers(self, evidence: Evidence) -> None:
        """Tell peers of the answers that this instance saw to suspected parts."""
        for part in self.table.report_answers(evidence):
            self._rumors.add(("cleared", part))

    def _merge_block(self, block: Block, source: str) -> None:
        known = block.parts in self.table.blocks_by_parts
        if not self.table.merge_block(block):
            return
        self._rumors.add(("blocks", block.parts))
        if not known:
            if source == "peer":
                self._write_later(block)
            _log_blocked(block, source)

    def _write_later(self, block: Block) -> None:
        """Write a block to the store if this instance contributed evidence for it.

        These are a few of all instances; one of their writes takes effect.
        """
        if any(
            item.request in self._own_requests and set(block.parts) <= set(item.parts)
            for item in self.table.evidence_by_id.values()
        ):
            self._unwritten[block.parts] = block

    def _note_lifted(self, before: set[tuple[str, ...]], by: str) -> None:
        for parts in before - self.table.blocks_by_parts.keys():
            if by != "peer":
                self._removed.add(parts)
            self._unwritten.pop(parts, None)
            self._trial_tried_at.pop(parts, None)
            log_event("prompt_part_lifted", parts=",".join(parts), by=by)

    async def _read_periodically(self) -> None:
        await asyncio.sleep(FIRST_READ_SECONDS)
        while True:
            try:
                entries, _ = await self._store.read_prefix(BLOCK_PREFIX, True)
            except KvError as error:
                log_event("quarantine_not_read", level="WARNING", error=error.message)
                await asyncio.sleep(READ_RETRY_SECONDS)
                continue
            self._apply_stored(entries)
            await asyncio.sleep(READ_SECONDS)
            while not self._members.holds_duty():
                await asyncio.sleep(READ_SECONDS)

    def _apply_stored(self, entries: list[KvEntry]) -> None:
        """Apply the blocks in the store; the holder of the duty adds missing ones."""
        stored = {entry.key for entry in entries}
        for entry in entries:
            block = _decode(entry)
            if block is not None:
                self._merge_block(block, "store")
        if not self._members.holds_duty():
            return
        for parts, block in self.table.blocks_by_parts.items():
            if _block_key(parts) not in stored:
                self._unwritten[parts] = block

    async def _write_periodically(self) -> None:
        while True:
            await asyncio.sleep(WRITE_RETRY_SECONDS / 4)
            if not (self._unwritten or self._removed):
                continue
            try:
                await self._write()
            except KvError as error:
                log_event(
                    "quarantine_not_written", level="WARNING", error=error.message
                )
                await asyncio.sleep(WRITE_RETRY_SECONDS)

    async def _write(self) -> None:
        """Write new blocks to the store, and remove lifted ones.

        :raises KvError: if the store did not respond.
        """
        for parts, block in list(self._unwritten.items()):
            key = _block_key(parts)
            put = Put(key, msgspec.json.encode(block))
            await self._store.transact([absent(key)], [put])
            self._unwritten.pop(parts, None)
        for parts in list(self._removed):
            await self._store.transact([], [Delete(_block_key(parts))])
            self._removed.discard(parts)

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        now = self._gossip.synchronized_now()
        return {
            "evidence": len(self.table.evidence_by_id),
            "blocks": [
                {
                    "parts": list(block.parts),
                    "ends": block.ends,
                    "trials": block.trials,
                    "seconds": now - block.since,
                    "next_trial_seconds": block.trial_at() - now,
                    "upstreams": sorted(
                        {
                            item.upstream[0]
                            for item in self.table.evidence_by_id.values()
                            if set(block.parts) <= set(item.parts)
                        }
                    ),
                }
                for block in self.table.blocks_by_parts.values()
            ],
        }


def part_keys(context: RequestContext) -> tuple[str, ...]:
    """Return the keys of the parts that a prompt shares with others."""
    return tuple(name for name, _ in context.facts.parts[:-1])


def call_keys(context: RequestContext) -> tuple[str, ...]:
    """Return the key of a plain call: a hash of what its server executes."""
    request = context.request
    digest = xxhash.xxh3_128(request.method.encode("latin-1"))
    digest.update(b"\0" + context.service.encode())
    digest.update(b"\0" + request.target + b"\0" + request.body)
    return (f"call-{digest.hexdigest()}",)


def _log_blocked(block: Block, source: str) -> None:
    log_event(
        "prompt_part_blocked",
        level="WARNING",
        parts=",".join(block.parts),
        ends=block.ends,
        source=source,
    )


def _is_news(news: QuarantineNews) -> bool:
    return bool(news.evidence or news.cleared or news.blocks or news.survivors)


def _block_key(parts: tuple[str, ...]) -> str:
    return BLOCK_PREFIX + xxhash.xxh3_128_hexdigest("\0".join(parts).encode())


def _decode(entry: KvEntry) -> Block | None:
    try:
        return msgspec.json.decode(entry.value, type=Block)
    except DECODE_ERRORS as error:
        log_event("own_entry_unreadable", key=entry.key, error=str(error))
        return None


def setup(app: Application) -> None:
    """Provide the quarantine and start its exchange with the store."""
    quarantine = Quarantine(app)
    app.provide("quarantine", quarantine)
    app.add_dump_section("quarantine", quarantine.dump)
    app.on_start(quarantine.start)
