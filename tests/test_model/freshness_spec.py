"""Specification of configuration acceptance and freshness.

Three parties are listed: an observer, which decides about keys, and two peers. Each
stands for a number of instances that do the same. The key-value service holds version
0, in which a key is valid, and then version 1, in which it is withdrawn. Time advances
in ticks; evidence counts while it is younger than ``BOUND`` ticks. Each question of the
observer takes any time, peers may restart and lose what they know, and any step may
simply not happen (outages, partitions). The clock of a paused observer stands still.
Each rule can be left out.
"""

from typing import NamedTuple

from minicheck import Protocol

BOUND = 2
KV = 0
PEERS = (1, 2)
RELAY = 1

ALIKE = (1, 1, 1)
# The second peer is a majority by itself, so that a version can be accepted while the
# peer that relays its reads knows nothing of it.
UNEQUAL = (1, 1, 3)

RULES = frozenset(
    {
        "accept_when_a_majority_knows",
        "evidence_needs_a_majority",
        "a_newer_known_version_is_not_fresh",
        "answers_count_from_the_question",
        "relays_add_the_age",
        "versions_never_revert",
        "restarted_peers_are_no_evidence",
        "forget_evidence_after_a_pause",
    }
)


class Peer(NamedTuple):
    """``version`` is ``None`` after a restart; ``read_age`` is that of a KV read."""

    version: int | None = 0
    read_age: int = BOUND


class Question(NamedTuple):
    """An open question; the answer waits until it is received."""

    target: int
    age: int = 0
    answered: bool = False
    version: int | None = None
    read_age: int = BOUND


class State(NamedTuple):
    """Everything; ``accepted`` is the age of the acceptance, -1 before it."""

    root: int = 0
    accepted: int = -1
    peers: tuple = (Peer(), Peer())
    version: int = 0
    highest: int = 0
    read_age: int = BOUND
    evidence: tuple = (BOUND, BOUND)
    question: Question | None = None
    paused: bool = False
    reverted: bool = False


def _older(age: int) -> int:
    return min(BOUND, age + 1)


def _with_peer(state: State, number: int, peer: Peer, **changes) -> State:
    peers = list(state.peers)
    peers[number - 1] = peer
    return state._replace(peers=tuple(peers), **changes)


class FreshnessSpec:
    """The transitions under a set of rules."""

    def __init__(self, rules: frozenset = RULES, weights: tuple = ALIKE) -> None:
        self.rules = rules
        self.weights = weights

    def _majority(self, *counted: bool) -> bool:
        total = sum(
            w for w, counts in zip(self.weights, counted, strict=True) if counts
        )
        return total * 2 > sum(self.weights)

    def protocol(self) -> Protocol:
        """Return the machine for minicheck."""
        return Protocol(
            name="freshness",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.transitions,
            invariants={
                "I4_withdrawn_key_stops": self._key_stops,
                "I12_versions_never_revert": lambda d: not d["reverted"],
            },
        )

    def _key_stops(self, state: dict) -> bool:
        serves = not state["paused"] and self.fresh(State(**state))
        return not (serves and state["version"] == 0 and state["accepted"] >= BOUND)

    def fresh(self, state: State) -> bool:
        """Tell whether the observer decides about keys."""
        if state.read_age < BOUND:
            return True
        behind = state.highest > state.version
        if behind and "a_newer_known_version_is_not_fresh" in self.rules:
            return False
        if "evidence_needs_a_majority" not in self.rules:
            return True
        return self._majority(True, *(age < BOUND for age in state.evidence))

    def transitions(self, state: State) -> list:
        """Return every labelled successor."""
        found = [("tick", self.tick(state))]
        found += self._operator(state)
        for number in PEERS:
            found += self._peer(state, number)
        if state.paused:
            found.append(("resume", self.resume(state)))
        else:
            found.append(("pause", state._replace(paused=True)))
            found += self._observer(state)
        return found

    def tick(self, state: State) -> State:
        """Let time pass; a paused observer does not notice."""
        peers = tuple(p._replace(read_age=_older(p.read_age)) for p in state.peers)
        accepted = state.accepted
        if accepted >= 0:
            accepted = _older(accepted)
        state = state._replace(peers=peers, accepted=accepted)
        if state.paused:
            return state
        question = state.question
        if question:
            question = question._replace(age=_older(question.age))
        return state._replace(
            read_age=_older(state.read_age),
            evidence=tuple(_older(age) for age in state.evidence),
            question=question,
        )

    def resume(self, state: State) -> State:
        """Let a paused observer go on."""
        state = state._replace(paused=False)
        if "forget_evidence_after_a_pause" not in self.rules:
            return state
        none = (BOUND,) * len(PEERS)
        return state._replace(read_age=BOUND, evidence=none, question=None)

    def _operator(self, state):
        if not state.root:
            return [("write", state._replace(root=1))]
        if state.accepted >= 0:
            return []
        versions = (state.version, *(peer.version for peer in state.peers))
        known = self._majority(*(version == 1 for version in versions))
        if not known and "accept_when_a_majority_knows" in self.rules:
            return []
        return [("accept", state._replace(accepted=0))]

    def _peer(self, state, number):
        peer = state.peers[number - 1]
        other = state.peers[2 - number]
        # One peer that relays its reads is enough, and keeps the space small.
        read = Peer(state.root, 0 if number == RELAY else BOUND)
        found = [(f"peer {number} reads", _with_peer(state, number, read))]
        found.append((f"peer {number} restarts", _with_peer(state, number, Peer(None))))
        others = (other.version, state.version)
        if peer.version is None:
            # A restarted peer does not count itself.
            counted = [True, True, True]
            counted[number] = False
            whole = None not in others and self._majority(*counted)
            if "restarted_peers_are_no_evidence" not in self.rules:
                found += [
                    (f"peer {number} believes one", _with_peer(state, number, Peer(v)))
                    for v in set(others) - {None}
                ]
            elif whole:
                learned = Peer(max(others))
                found.append(
                    (f"peer {number} joins", _with_peer(state, number, learned))
                )
            return found
        for version in set(others) - {None, peer.version}:
            if version > peer.version:
                learned = peer._replace(version=version)
                found.append(
                    (f"peer {number} learns", _with_peer(state, number, learned))
                )
            elif "versions_never_revert" not in self.rules:
                reverted = _with_peer(state, number, Peer(version), reverted=True)
                found.append((f"peer {number} reverts", reverted))
        return found

    def _observer(self, state):
        found = []
        if state.highest > state.version:
            applied = state._replace(version=state.highest)
            found.append(("apply", applied))
        question = state.question
        if question is None:
            for target in (KV, *PEERS):
                asked = state._replace(question=Question(target))
                found.append((f"ask {target}", asked))
            return found
        found.append(("give up", state._replace(question=None)))
        if not question.answered:
            answer = self._answer(state, question)
            if answer:
                found.append(("answer", state._replace(question=answer)))
        else:
            found.append((f"receive {question.target}", self.receive(state)))
        return found

    def _answer(self, state, question):
        if question.target == KV:
            return question._replace(answered=True, version=state.root, read_age=0)
        peer = state.peers[question.target - 1]
        if peer.version is None:
            return None
        return question._replace(
            answered=True, version=peer.version, read_age=peer.read_age
        )

    def receive(self, state: State) -> State:
        """Take in the answer to the open question."""
        question = state.question
        counted = question.age
        if "answers_count_from_the_question" not in self.rules:
            counted = 0
        read_age = min(BOUND, question.read_age + counted)
        if question.read_age < BOUND and "relays_add_the_age" not in self.rules:
            read_age = counted
        highest = max(state.highest, question.version)
        evidence = list(state.evidence)
        if question.target != KV:
            number = question.target - 1
            evidence[number] = min(evidence[number], counted)
        # A read that is behind what is known confirms nothing.
        if question.version == highest:
            state = self._read(state, question.version, read_age)
        return state._replace(highest=highest, evidence=tuple(evidence), question=None)

    def _read(self, state, version, read_age):
        # A read of a newer version confirms that version, not the one in force; it
        # counts once that one is applied, which is left out here.
        if version > state.version:
            return state
        return state._replace(read_age=min(state.read_age, read_age))
