"""Quarantine of prompt parts that end the upstreams which answer them.

Handles traffic in which one prompt part crashes every engine that begins to answer it,
while sound requests share the caller, the route and the other parts. Evidence is the
set of requests whose connection ended together with their upstream. It merges in any
order, so that all instances derive the same result from what each of them saw.

A part is blamed only for ends after its last complete answer on any instance. A part
that was ever answered needs more evidence than one that was not, and an end that a
blocked part explains is not held against other parts. The keys need not be
prompt parts: plain calls use a hash of the request.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

Incarnation = tuple[str, int]

# Ends of different upstreams, under different requests, that block a part without any
# known answer. The users allow five.
BLOCKING_ENDS = 3
# Ends that block a part with earlier answers, or several parts that the evidence fits
# equally well.
CERTAIN_ENDS = 5
# Ends of one moment that count once, as a failing rack ends many upstreams; further
# ones count each, as many requests may end every upstream within a moment.
UNCOUNTED_BURST_ENDS = 3
# Ends of one request after which it is not sent again, if it has a part without any
# known answer.
MAX_ENDS_OF_REQUEST = 2
# Evidence counts after this time, in which it reaches all instances and the news of
# earlier answers comes back.
SETTLE_SECONDS = 1.0
# An upstream that responds this long after a connection ended has not ended itself.
SURVIVAL_SECONDS = 0.25
# A part that was answered here within this time is not reported.
PROVEN_SECONDS = 2.0
# An answer that has been arriving for longer shows that its parts end no upstream.
MAX_ONSET_SECONDS = 1.0
# A blocked part is tried again after this time, which grows by the factor with each
# trial that fails, up to the maximum.
TRIAL_SECONDS = 60.0
TRIAL_FACTOR = 4
MAX_TRIAL_SECONDS = 3600.0
# A block that no request tests is removed after this time.
MAX_BLOCK_SECONDS = 2 * MAX_TRIAL_SECONDS
# Evidence that has not led to a block is removed after this time, and evidence that a
# block explains after this one.
MAX_EVIDENCE_SECONDS = 900.0
MAX_EXPLAINED_SECONDS = 30.0
# Parts in a piece of evidence, so that it fits into a datagram whatever callers send.
MAX_EVIDENCE_PARTS = 12
# Bounds on the memory of the table; the oldest entries are removed first.
MAX_EVIDENCE = 512
MAX_BLOCKS = 64
MAX_ANSWERED_PARTS = 4096
MAX_CLEARED_PARTS = 512
MAX_SURVIVORS = 128


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A request whose connection ended together with its upstream.

    ``sent_at`` and ``at`` are the true times of its sending and of the end, in seconds
    since 1970. ``parts`` are the request's parts that had not been answered lately.
    """

    upstream: Incarnation
    request: str
    sent_at: float
    at: float
    parts: tuple[str, ...]


class Block(msgspec.Struct, frozen=True, array_like=True):
    """A block of requests that hold all of some parts.

    ``since`` is the true time at which it began or at which its last trial was sent,
    ``trials`` the number of these. ``ends`` is the number of ends that led to it.
    """

    parts: tuple[str, ...]
    since: float
    trials: int = 0
    ends: int = 0

    def trial_at(self) -> float:
        """Return the true time from which one request may test the block."""
        return self.since + min(
            MAX_TRIAL_SECONDS, TRIAL_SECONDS * TRIAL_FACTOR**self.trials
        )

    def after_trial(self, now: float) -> "Block":
        """Return this block with one more trial, sent now."""
        return Block(self.parts, now, self.trials + 1, self.ends)


class QuarantineTable:
    """Evidence, answers and blocks as one instance knows them.

    The methods that begin with ``merge`` take what a peer knows and return whether it
    was news. All times are true times in seconds since 1970.
    """

    __slots__ = (
        "evidence_by_id",
        "blocks_by_parts",
        "cleared_at_by_part",
        "survivors",
        "_answered_at_by_part",
        "_suspects",
    )

    def __init__(self) -> None:
        """Initialize without evidence."""
        self.evidence_by_id: OrderedDict[tuple, Evidence] = OrderedDict()
        self.blocks_by_parts: OrderedDict[tuple[str, ...], Block] = OrderedDict()
        # Times of the last known answers of parts that have been suspected, also of
        # answers before that.
        self.cleared_at_by_part: OrderedDict[str, float] = OrderedDict()
        # Upstreams that responded after a connection to them had ended.
        self.survivors: OrderedDict[Incarnation, None] = OrderedDict()
        self._answered_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._suspects: set[str] = set()

    def __len__(self) -> int:
        """Return the number of pieces of evidence and blocks."""
        return len(self.evidence_by_id) + len(self.blocks_by_parts)

    def record_end(
        self,
        upstream: Incarnation,
        request: str,
        parts: Iterable[str],
        sent_at: float,
        now: float,
    ) -> Evidence | None:
        """Record a request whose connection ended together with its upstream.

        :param request: id of the request.
        :param sent_at: when it was sent there.
        :returns: the evidence, or ``None`` if all its parts were answered lately.
        """
        suspected = [
            part
            for part in dict.fromkeys(parts)
            if now - self._answered_at_by_part.get(part, 0.0) > PROVEN_SECONDS
        ]
        # Of many parts, those that have been suspected before count most.
        suspected.sort(key=lambda part: part not in self._suspects)
        suspected = tuple(suspected[:MAX_EVIDENCE_PARTS])
        evidence = Evidence(upstream, request, sent_at, now, suspected)
        return evidence if self.merge_evidence(evidence, now) else None

    def merge_evidence(self, evidence: Evidence, now: float) -> bool:
        """Add evidence, unless all its parts were answered since."""
        key = (evidence.upstream, evidence.request)
        if key in self.evidence_by_id or evidence.upstream in self.survivors:
            return False
        suspected = self._suspected_parts(evidence)
        if not suspected or self._is_old(evidence, now):
            return False
        self.evidence_by_id[key] = evidence
        self._suspects.update(suspected)
        if len(self.evidence_by_id) > MAX_EVIDENCE:
            self.evidence_by_id.popitem(last=False)
        return True

    def _suspected_parts(self, evidence: Evidence) -> list[str]:
        """Return the parts that were not answered after the end of the upstream."""
        return [
            part
            for part in evidence.parts
            if evidence.at > self.cleared_at_by_part.get(part, 0.0)
        ]

    def _is_old(self, evidence: Evidence, now: float) -> bool:
        age = now - evidence.at
        explained = age > MAX_EXPLAINED_SECONDS and self.find_block(evidence.parts)
        return bool(explained) or age > MAX_EVIDENCE_SECONDS

    def record_answer(
        self, parts: Iterable[str], now: float, remember: bool = True
    ) -> list[str]:
        """Record a complete answer.

        :param remember: also remember parts that are not suspected now.
        :returns: the suspected parts that it clears.
        """
        cleared = []
        for part in parts:
            if not remember and part not in self._suspects:
                continue
            self._answered_at_by_part[part] = now
            self._answered_at_by_part.move_to_end(part)
            if part in self._suspects and self.merge_cleared(part, now):
                cleared.append(part)
        while len(self._answered_at_by_part) > MAX_ANSWERED_PARTS:
            self._answered_at_by_part.popitem(last=False)
        return cleared

    def report_answers(self, evidence: Evidence) -> list[str]:
        """Take over what this instance knows of answers to suspected parts.

        :returns: the parts whose last answer was not known from others.
        """
        return [
            part
            for part in evidence.parts
            if part in self._answered_at_by_part
            and self.merge_cleared(part, self._answered_at_by_part[part])
        ]

    def merge_cleared(self, part: str, at: float) -> bool:
        """Clear a part of everything before a time."""
        if at <= self.cleared_at_by_part.get(part, 0.0):
            return False
        self.cleared_at_by_part[part] = at
        self.cleared_at_by_part.move_to_end(part)
        if len(self.cleared_at_by_part) > MAX_CLEARED_PARTS:
            self.cleared_at_by_part.popitem(last=False)
        self._drop_evidence(lambda item: not self._suspected_parts(item))
        self._apply_clearances()
        self._collect_suspects()
        return True

    def merge_block(self, block: Block) -> bool:
        """Add a block, or take over its trials."""
        block = self._without_cleared(block)
        if not block.parts:
            return False
        known = self.blocks_by_parts.get(block.parts)
        news = (block.trials, block.since)
        if known is not None and news <= (known.trials, known.since):
            return False
        self.blocks_by_parts[block.parts] = block
        self.blocks_by_parts.move_to_end(block.parts)
        self._suspects.update(block.parts)
        if len(self.blocks_by_parts) > MAX_BLOCKS:
            self.blocks_by_parts.popitem(last=False)
        return True

    def record_response(self, upstream: Incarnation, now: float) -> bool:
        """Record a response, which refutes earlier evidence of the upstream's end.

        :returns: whether there was such evidence.
        """
        ended = [
            item.at
            for item in self.evidence_by_id.values()
            if item.upstream == upstream
        ]
        if not ended or now - max(ended) < SURVIVAL_SECONDS:
            return False
        return self.merge_survivor(upstream)

    def merge_survivor(self, upstream: Incarnation) -> bool:
        """Drop the evidence of the end of an upstream that is alive."""
        if upstream in self.survivors:
            return False
        self.survivors[upstream] = None
        if len(self.survivors) > MAX_SURVIVORS:
            self.survivors.popitem(last=False)
        self._drop_evidence(lambda item: item.upstream == upstream)
        self._collect_suspects()
        return True

    def derive_blocks(self, now: float) -> list[Block]:
        """Add the blocks that the evidence now requires, and return them."""
        found = []
        while blocks := self._next_blocks(now):
            for block in blocks:
                self.merge_block(block)
            found += blocks
        return found

    def _next_blocks(self, now: float) -> list[Block]:
        evidence_by_part: dict[str, list[Evidence]] = {}
        for item in self._unexplained_evidence(now - SETTLE_SECONDS):
            for part in self._suspected_parts(item):
                evidence_by_part.setdefault(part, []).append(item)
        ends_by_part = {
            part: count_ends(items) for part, items in evidence_by_part.items()
        }
        unanswered = {
            part: ends
            for part, ends in ends_by_part.items()
            if ends >= BLOCKING_ENDS and part not in self.cleared_at_by_part
        }
        answered = {
            part: ends
            for part, items in evidence_by_part.items()
            if part in self.cleared_at_by_part
            and (ends := count_ends(items, bursts=False)) >= CERTAIN_ENDS
        }
        ends_by_part = unanswered or answered
        most = max(ends_by_part.values(), default=0)
        # Parts that only occur together are blocked together.
        parts_by_evidence: dict[frozenset, list[str]] = {}
        for part, ends in ends_by_part.items():
            if ends == most:
                ids = frozenset(
                    (item.upstream, item.request) for item in evidence_by_part[part]
                )
                parts_by_evidence.setdefault(ids, []).append(part)
        if len(parts_by_evidence) > 1 and most < CERTAIN_ENDS:
            return []
        return [
            Block(tuple(sorted(parts)), now, 0, most)
            for parts in parts_by_evidence.values()
        ]

    def _unexplained_evidence(self, until: float) -> list[Evidence]:
        """Return evidence of ends that no blocked part explains."""
        explained = self._explained_upstreams()
        return [
            item
            for item in self.evidence_by_id.values()
            if item.upstream not in explained and item.at <= until
        ]

    def _explained_upstreams(self) -> set[Incarnation]:
        """Return the upstreams that ended under a request with a blocked part."""
        return {
            item.upstream
            for item in self.evidence_by_id.values()
            if self.find_block(item.parts) is not None
        }

    def may_send_again(self, parts: Iterable[str], ends: int) -> bool:
        """Return whether a request may be sent again after upstreams ended under it.

        It may not if it has a part without any known answer, unless this is the first
        end under such a part.

        :param ends: number of upstreams that ended under the request.
        """
        unanswered = [
            part
            for part in parts
            if part not in self._answered_at_by_part
            and part not in self.cleared_at_by_part
        ]
        if not ends or not unanswered:
            return True
        return ends < MAX_ENDS_OF_REQUEST and not any(
            count_ends(
                item for item in self.evidence_by_id.values() if part in item.parts
            )
            >= BLOCKING_ENDS - 1
            for part in unanswered
        )

    def find_block(self, parts: Iterable[str]) -> Block | None:
        """Return a block of a request with these parts."""
        if not self.blocks_by_parts:
            return None
        held = set(parts)
        for block in self.blocks_by_parts.values():
            if held.issuperset(block.parts):
                return block
        return None

    def begin_trial(self, block: Block, now: float) -> Block:
        """Record that a request is about to test a block."""
        tried = block.after_trial(now)
        self.merge_block(tried)
        return tried

    def expire(self, now: float) -> list[Block]:
        """Remove old evidence and blocks.

        :returns: the removed blocks.
        """
        explained = self._explained_upstreams()
        if self._drop_evidence(
            lambda item: (
                now - item.at
                > (
                    MAX_EXPLAINED_SECONDS
                    if item.upstream in explained
                    else MAX_EVIDENCE_SECONDS
                )
            )
        ):
            self._collect_suspects()
        expired = [
            block
            for block in self.blocks_by_parts.values()
            if now - block.since > MAX_BLOCK_SECONDS
        ]
        for block in expired:
            del self.blocks_by_parts[block.parts]
        return expired

    def _drop_evidence(self, dropped: Callable[[Evidence], bool]) -> bool:
        """Drop the evidence for which a condition holds; return whether there was."""
        keys = [key for key, item in self.evidence_by_id.items() if dropped(item)]
        for key in keys:
            del self.evidence_by_id[key]
        return bool(keys)

    def _without_cleared(self, block: Block) -> Block:
        """Return a block without the parts that were answered since it began."""
        parts = tuple(
            part
            for part in block.parts
            if self.cleared_at_by_part.get(part, 0.0) <= block.since
        )
        return block if parts == block.parts else Block(parts, block.since, 0, 0)

    def _apply_clearances(self) -> None:
        for block in list(self.blocks_by_parts.values()):
            remaining = self._without_cleared(block)
            if remaining.parts != block.parts:
                del self.blocks_by_parts[block.parts]
                self.merge_block(remaining)

    def _collect_suspects(self) -> None:
        self._suspects = {
            part
            for item in self.evidence_by_id.values()
            for part in self._suspected_parts(item)
        }
        for parts in self.blocks_by_parts:
            self._suspects.update(parts)


def count_ends(evidence: Iterable[Evidence], bursts: bool = True) -> int:
    """Return how many ends the evidence shows that are independent of each other.

    They have different upstreams and requests, and each request was sent after the end
    before. So ends of one moment count once.

    :param bursts: count those beyond :data:`UNCOUNTED_BURST_ENDS` even so.
    """
    upstreams: set[Incarnation] = set()
    requests: set[str] = set()
    successive = 0
    last_at = float("-inf")
    for item in sorted(evidence, key=lambda item: item.at):
        if item.upstream in upstreams or item.request in requests:
            continue
        upstreams.add(item.upstream)
        requests.add(item.request)
        if item.sent_at > last_at:
            successive += 1
            last_at = item.at
    if not bursts:
        return successive
    return max(successive, len(upstreams) - UNCOUNTED_BURST_ENDS)
