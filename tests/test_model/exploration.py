"""Runs minicheck, and stops a search that only has to find a counterexample."""

from minicheck import Protocol, check_safety
from minicheck._core import SearchIncomplete

# Room above the largest space explored here; the search refuses to guess beyond it.
MAX_STATES = 400_000


def explore(protocol: Protocol) -> dict:
    """Explore a machine completely and return minicheck's verdicts."""
    return check_safety(protocol, max_states=MAX_STATES)


def find_counterexample(protocol: Protocol, invariant: str) -> list[str] | None:
    """Return the labels of a shortest path to a violation of one invariant.

    minicheck keeps searching after a violation; the path that it found is valid even
    if the search ends early, so the next expansion ends it.
    """
    predicate = protocol.invariants[invariant]
    found = False
    inner = protocol.transitions

    def holds(state: dict) -> bool:
        nonlocal found
        if predicate(state):
            return True
        found = True
        return False

    def transitions(state: tuple) -> list:
        if found:
            raise SearchIncomplete("a counterexample was found")
        return inner(state)

    protocol.invariants = {invariant: holds}
    protocol.transitions = transitions
    verdict = check_safety(protocol, max_states=MAX_STATES)["properties"][invariant]
    if verdict["holds"] is not False:
        return None
    return [step["label"] for step in verdict["counterexample"] if step["label"]]
