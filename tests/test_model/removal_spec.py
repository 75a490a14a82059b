"""Specification of how a zone comes to obey a removal, in steps of 0.2 s.

One watcher follows the store for its zone and a follower goes by its word, beside an
undisturbed zone or without one. The store may fall silent for the watcher, or its open
connections alone, at any step and for any time. Each rule can be left out. Words of
peers take one step; lost datagrams are not part of it.
"""

import math
from typing import NamedTuple

from minicheck import Protocol

from camphorgate.serving.upstream_table import RETURN_SECONDS
from camphorgated.serving.directory import BEHIND_SECONDS
from camphorgated.serving.watches import (
    CHECK_ANSWER_SECONDS,
    CHECK_SECONDS,
    ROLE_SECONDS,
    WATCH_SECONDS,
)

RULES = frozenset(
    {
        "doubted_is_unused",
        "doubts_are_told",
        "silence_is_checked",
        "only_the_newest_word_reassures",
    }
)
STEP_SECONDS = 0.2
# The smallest bound of the users on the use of an upstream that left (2 s).
BOUND = 10


def steps(seconds: float) -> int:
    """Return a time in whole steps, rounded up."""
    return math.ceil(round(seconds / STEP_SECONDS, 6))


CHECKED = steps(CHECK_SECONDS + 2 * CHECK_ANSWER_SECONDS)
# Until the word of another zone has come and counts.
HEARD = 1 + steps(BEHIND_SECONDS)
TAKEN_OVER = 1 + steps(ROLE_SECONDS)
RETURNED = steps(RETURN_SECONDS)
WAITED = steps(WATCH_SECONDS)


class RemovalState(NamedTuple):
    """Everything, one step after the other.

    ``since`` counts the steps from the removal, 0 before it; ``silent`` those for which
    the watcher's calls hang, and ``whole`` tells that the store hangs rather than the
    open connections. ``watch`` is what the watcher believes of its watch. ``watcher``
    and ``follower`` are what each knows of the upstream: listed, doubted or gone;
    ``doubt`` and ``lost`` count the steps of the watcher's doubt, and those since the
    follower knows that the watcher lost the store.
    """

    since: int = 0
    silent: int = 0
    whole: bool = False
    watch: str = "sound"
    watcher: str = "listed"
    follower: str = "listed"
    doubt: int = 0
    lost: int = 0


class RemovalSpec:
    """A watcher, a follower, and maybe another zone."""

    def __init__(self, rules: frozenset = RULES, elsewhere: bool = False) -> None:
        """Choose the rules.

        :param elsewhere: whether another zone is undisturbed; without one, only the
            whole store may hang, as nobody could notice a hanging connection.
        """
        self.rules = rules
        self.elsewhere = elsewhere

    def protocol(self) -> Protocol:
        """Return the machine for minicheck."""
        return Protocol(
            name="removal",
            candidate=False,
            fields=RemovalState._fields,
            initial=RemovalState(),
            transitions=self.transitions,
            invariants={"obeyed_in_time": self.obeyed},
        )

    def obeyed(self, state: dict) -> bool:
        """Tell whether the follower does not use the upstream beyond the bound."""
        using = {"listed"}
        if "doubted_is_unused" not in self.rules:
            using.add("doubted")
        return state["since"] <= BOUND or state["follower"] not in using

    def transitions(self, state: RemovalState) -> list:
        """Return every labelled successor, one step later."""
        if state.since > BOUND:
            return []
        found = []
        for removed in (False, True) if not state.since else (False,):
            since = state.since + 1 if state.since or removed else 0
            for label, hang in self._hangs(state):
                after = self._watch(state._replace(since=since, **hang), state)
                after = self._follow(after, state)
                found.append((f"{label}{' removed' if removed else ''}", after))
        return found

    def _hangs(self, state: RemovalState) -> list:
        """Return what the store and the connections may do in this step."""
        answers = ("answers", {"silent": 0, "whole": False})
        if state.silent:
            further = {"silent": min(state.silent + 1, WAITED)}
            if not state.whole and state.silent >= WAITED:
                # The wait of the watch is over, and it is opened anew.
                return [answers]
            return [answers, ("hangs on", further)]
        found = [answers, ("store hangs", {"silent": 1, "whole": True})]
        if self.elsewhere and state.watch == "sound":
            found.append(("connections hang", {"silent": 1, "whole": False}))
        return found

    def _watch(self, state: RemovalState, before: RemovalState) -> RemovalState:
        """Let the watcher see what it can."""
        if state.watch == "lost":
            # A new call; connections that hang are not used again.
            if state.silent and state.whole:
                return state
            seen = "doubted" if state.since and state.watcher == "listed" else None
            return state._replace(
                watch="sound", silent=0, watcher=seen or state.watcher, doubt=0
            )
        if before.silent and not state.silent:
            return state._replace(watch="lost")
        if state.silent:
            checked = state.whole and "silence_is_checked" in self.rules
            if checked and state.silent >= CHECKED:
                return state._replace(watch="lost")
            heard = "only_the_newest_word_reassures" in self.rules
            if self.elsewhere and heard and state.since > HEARD:
                return state._replace(watch="lost")
            return state
        if state.watcher == "doubted":
            doubt = state.doubt + 1
            gone = doubt >= RETURNED
            return state._replace(
                doubt=0 if gone else doubt, watcher="gone" if gone else "doubted"
            )
        if state.since and state.watcher == "listed":
            return state._replace(watcher="gone")
        return state

    def _follow(self, state: RemovalState, before: RemovalState) -> RemovalState:
        """Let the follower hear of the step before, and read the store if it must."""
        follower = state.follower
        if before.watcher == "gone":
            follower = "gone"
        elif before.watcher == "doubted" and follower == "listed":
            follower = "doubted" if "doubts_are_told" in self.rules else "listed"
        heard = "only_the_newest_word_reassures" in self.rules
        if self.elsewhere and heard and state.since > HEARD + 1:
            follower = "gone"
        lost = min(state.lost + 1, TAKEN_OVER) if state.watch == "lost" else 0
        if lost >= TAKEN_OVER and state.since and follower == "listed":
            follower = "doubted"
        return state._replace(follower=follower, lost=lost)
