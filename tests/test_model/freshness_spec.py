"""Specification of configuration acceptance and freshness.

The model has an observer, which accepts or refuses keys, and two peers. Each of the
three stands for a number of instances that behave alike. The key-value service holds
version 0, in which a key is valid, and then version 1, in which it is withdrawn. Time
advances in ticks; evidence counts while it is younger than ``FRESHNESS_TICKS``. A
query of the observer may take any time, a peer may restart and lose its state, and any
step may never happen (outages, partitions). The clock of a paused observer stops. Each
rule can be disabled.
"""

from typing import NamedTuple

from minicheck import Protocol

FRESHNESS_TICKS = 2
KV = 0
PEERS = (1, 2)
RELAYING_PEER = 1

EQUAL_WEIGHTS = (1, 1, 1)
# The second peer is a majority by itself, so that a version can be accepted before
# the peer that relays its reads has it.
UNEQUAL_WEIGHTS = (1, 1, 3)

RULES = frozenset(
    {
        "accept_when_a_majority_has_the_version",
        "evidence_needs_a_majority",
        "a_newer_known_version_ends_freshness",
        "responses_are_dated_from_the_query",
        "relayed_reads_keep_their_age",
        "versions_never_revert",
        "restarted_peers_do_not_count",
        "discard_evidence_after_a_pause",
    }
)


class Peer(NamedTuple):
    """A peer.

    ``version`` is ``None`` after a restart; ``read_age`` is the age of its last read of
    the key-value service.
    """

    version: int | None = 0
    read_age: int = FRESHNESS_TICKS


class Query(NamedTuple):
    """A pending query; a response stays in it until the observer receives it."""

    target: int
    age: int = 0
    answered: bool = False
    version: int | None = None
    read_age: int = FRESHNESS_TICKS


class State(NamedTuple):
    """The state of the system.

    ``kv_version`` is the version that the key-value service holds, and ``accepted_age``
    the number of ticks since version 1 was accepted, -1 before that. ``version``,
    ``highest_known``, ``read_age``, ``evidence``, ``query`` and ``paused`` belong to
    the observer; ``reverted`` is true once a peer has gone back to an older version.
    """

    kv_version: int = 0
    accepted_age: int = -1
    peers: tuple = (Peer(), Peer())
    version: int = 0
    highest_known: int = 0
    read_age: int = FRESHNESS_TICKS
    evidence: tuple = (FRESHNESS_TICKS, FRESHNESS_TICKS)
    query: Query | None = None
    paused: bool = False
    reverted: bool = False


def _next_age(age: int) -> int:
    return min(FRESHNESS_TICKS, age + 1)


def _with_peer(state: State, number: int, peer: Peer, **changes) -> State:
    peers = list(state.peers)
    peers[number - 1] = peer
    return state._replace(peers=tuple(peers), **changes)


class FreshnessSpec:
    """The transitions that a set of rules allows."""

    def __init__(
        self, rules: frozenset = RULES, weights: tuple = EQUAL_WEIGHTS
    ) -> None:
        self.rules = rules
        self.weights = weights

    def _majority(self, *counted: bool) -> bool:
        total = sum(
            w for w, counts in zip(self.weights, counted, strict=True) if counts
        )
        return total * 2 > sum(self.weights)

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        return Protocol(
            name="freshness",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.transitions,
            invariants={
                "I4_withdrawn_key_is_refused": self._withdrawn_key_is_refused,
                "I12_versions_never_revert": lambda d: not d["reverted"],
            },
        )

    def _withdrawn_key_is_refused(self, state: dict) -> bool:
        serves = not state["paused"] and self.is_fresh(State(**state))
        return not (
            serves
            and state["version"] == 0
            and state["accepted_age"] >= FRESHNESS_TICKS
        )

    def is_fresh(self, state: State) -> bool:
        """Return whether the observer's configuration is fresh enough to check keys."""
        if state.read_age < FRESHNESS_TICKS:
            return True
        behind = state.highest_known > state.version
        if behind and "a_newer_known_version_ends_freshness" in self.rules:
            return False
        if "evidence_needs_a_majority" not in self.rules:
            return True
        return self._majority(True, *(age < FRESHNESS_TICKS for age in state.evidence))

    def transitions(self, state: State) -> list:
        """Return every successor state with its label."""
        successors = [("tick", self.tick(state))]
        successors += self._operator(state)
        for number in PEERS:
            successors += self._peer(state, number)
        if state.paused:
            successors.append(("resume", self.resume(state)))
        else:
            successors.append(("pause", state._replace(paused=True)))
            successors += self._observer(state)
        return successors

    def tick(self, state: State) -> State:
        """Advance the time by one tick; the clock of a paused observer stops."""
        peers = tuple(p._replace(read_age=_next_age(p.read_age)) for p in state.peers)
        accepted_age = state.accepted_age
        if accepted_age >= 0:
            accepted_age = _next_age(accepted_age)
        state = state._replace(peers=peers, accepted_age=accepted_age)
        if state.paused:
            return state
        query = state.query
        if query:
            query = query._replace(age=_next_age(query.age))
        return state._replace(
            read_age=_next_age(state.read_age),
            evidence=tuple(_next_age(age) for age in state.evidence),
            query=query,
        )

    def resume(self, state: State) -> State:
        """Resume a paused observer."""
        state = state._replace(paused=False)
        if "discard_evidence_after_a_pause" not in self.rules:
            return state
        no_evidence = (FRESHNESS_TICKS,) * len(PEERS)
        return state._replace(
            read_age=FRESHNESS_TICKS, evidence=no_evidence, query=None
        )

    def _operator(self, state):
        if not state.kv_version:
            return [("write", state._replace(kv_version=1))]
        if state.accepted_age >= 0:
            return []
        versions = (state.version, *(peer.version for peer in state.peers))
        known = self._majority(*(version == 1 for version in versions))
        if not known and "accept_when_a_majority_has_the_version" in self.rules:
            return []
        return [("accept", state._replace(accepted_age=0))]

    def _peer(self, state, number):
        peer = state.peers[number - 1]
        other = state.peers[2 - number]
        # One peer that relays its reads is enough, and keeps the state space small.
        read = Peer(state.kv_version, 0 if number == RELAYING_PEER else FRESHNESS_TICKS)
        successors = [(f"peer {number} reads", _with_peer(state, number, read))]
        successors.append(
            (f"peer {number} restarts", _with_peer(state, number, Peer(None)))
        )
        others = (other.version, state.version)
        if peer.version is None:
            # A restarted peer does not count towards its own majority.
            counted = [True, True, True]
            counted[number] = False
            has_majority = None not in others and self._majority(*counted)
            if "restarted_peers_do_not_count" not in self.rules:
                successors += [
                    (f"peer {number} adopts any", _with_peer(state, number, Peer(v)))
                    for v in set(others) - {None}
                ]
            elif has_majority:
                learned = Peer(max(others))
                successors.append(
                    (f"peer {number} joins", _with_peer(state, number, learned))
                )
            return successors
        for version in set(others) - {None, peer.version}:
            if version > peer.version:
                learned = peer._replace(version=version)
                successors.append(
                    (f"peer {number} learns", _with_peer(state, number, learned))
                )
            elif "versions_never_revert" not in self.rules:
                reverted = _with_peer(state, number, Peer(version), reverted=True)
                successors.append((f"peer {number} reverts", reverted))
        return successors

    def _observer(self, state):
        successors = []
        if state.highest_known > state.version:
            applied = state._replace(version=state.highest_known)
            successors.append(("apply", applied))
        query = state.query
        if query is None:
            for target in (KV, *PEERS):
                sent = state._replace(query=Query(target))
                successors.append((f"query {target}", sent))
            return successors
        successors.append(("drop query", state._replace(query=None)))
        if not query.answered:
            response = self._respond(state, query)
            if response:
                successors.append(("respond", state._replace(query=response)))
        else:
            successors.append((f"receive {query.target}", self.receive(state)))
        return successors

    def _respond(self, state, query):
        if query.target == KV:
            return query._replace(answered=True, version=state.kv_version, read_age=0)
        peer = state.peers[query.target - 1]
        if peer.version is None:
            return None
        return query._replace(
            answered=True, version=peer.version, read_age=peer.read_age
        )

    def receive(self, state: State) -> State:
        """Receive the response to the pending query."""
        query = state.query
        counted = query.age
        if "responses_are_dated_from_the_query" not in self.rules:
            counted = 0
        read_age = min(FRESHNESS_TICKS, query.read_age + counted)
        if (
            query.read_age < FRESHNESS_TICKS
            and "relayed_reads_keep_their_age" not in self.rules
        ):
            read_age = counted
        highest_known = max(state.highest_known, query.version)
        evidence = list(state.evidence)
        if query.target != KV:
            number = query.target - 1
            evidence[number] = min(evidence[number], counted)
        # A read of a version below the highest known one confirms nothing.
        if query.version == highest_known:
            state = self._read(state, query.version, read_age)
        return state._replace(
            highest_known=highest_known, evidence=tuple(evidence), query=None
        )

    def _read(self, state, version, read_age):
        # A read of a newer version confirms that version, not the active one. It counts
        # once that version is applied, which the model leaves out.
        if version > state.version:
            return state
        return state._replace(read_age=min(state.read_age, read_age))
