"""Runs minicheck, and ends a search early once it has a counterexample."""

from minicheck import Protocol, check_safety
from minicheck._core import SearchIncomplete

# Above the largest state space explored here; minicheck gives no verdict beyond it.
MAX_STATES = 400_000


def explore(protocol: Protocol) -> dict:
    """Explore every reachable state and return minicheck's verdicts."""
    return check_safety(protocol, max_states=MAX_STATES)


def find_counterexample(protocol: Protocol, invariant: str) -> list[str] | None:
    """Return the labels of a shortest path to a violation of one invariant.

    minicheck keeps searching after a violation; the path that it found is valid even
    if the search ends early, so the next expansion ends it.
    """
    predicate = protocol.invariants[invariant]
    violated = False
    all_transitions = protocol.transitions

    def holds(state: dict) -> bool:
        nonlocal violated
        if predicate(state):
            return True
        violated = True
        return False

    def transitions(state: tuple) -> list:
        if violated:
            raise SearchIncomplete("a counterexample was found")
        return all_transitions(state)

    protocol.invariants = {invariant: holds}
    protocol.transitions = transitions
    verdict = check_safety(protocol, max_states=MAX_STATES)["properties"][invariant]
    if verdict["holds"] is not False:
        return None
    return [step["label"] for step in verdict["counterexample"] if step["label"]]
