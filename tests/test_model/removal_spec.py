"""Specification of how a zone applies the removal of an upstream, in steps of 0.2 s.

One watcher watches the store for its zone, and a follower relies on the messages of the
watcher. There may be another zone, which no fault affects. At any step and for any time
the store may stop answering the watcher, or only its open connections may hang. Each
rule can be disabled. Messages between peers take one step; lost datagrams are not
modelled.
"""

import math
from typing import NamedTuple

from minicheck import Protocol

from camphorgate.serving.upstream_table import LAPSED_ENTRY_GRACE_SECONDS
from camphorgate.serving.watch_schedule import MAX_WATCH_SECONDS
from camphorgated.serving.directory import BEHIND_SECONDS
from camphorgated.serving.watches import (
    CHECK_ANSWER_SECONDS,
    CHECK_SECONDS,
    ROLE_SECONDS,
)

RULES = frozenset(
    {
        "doubted_upstreams_are_unused",
        "doubts_are_sent_to_followers",
        "silent_watches_are_checked",
        "a_newer_remote_revision_ends_the_watch",
    }
)
STEP_SECONDS = 0.2
# 2 s: the strictest limit that users set on the use of an upstream that has left.
MAX_USE_STEPS = 10


def steps(seconds: float) -> int:
    """Return a duration in whole steps, rounded up."""
    return math.ceil(round(seconds / STEP_SECONDS, 6))


CHECK_STEPS = steps(CHECK_SECONDS + 2 * CHECK_ANSWER_SECONDS)
# Until a message of another zone has arrived and takes effect.
REMOTE_UPDATE_STEPS = 1 + steps(BEHIND_SECONDS)
TAKEOVER_STEPS = 1 + steps(ROLE_SECONDS)
DOUBT_STEPS = steps(LAPSED_ENTRY_GRACE_SECONDS)
WATCH_STEPS = steps(MAX_WATCH_SECONDS)


class RemovalState(NamedTuple):
    """The state of the system after one step.

    ``steps_since_removal`` is 0 before the removal. ``hanging_steps`` counts the steps
    for which the watcher's calls have hung; ``store_hangs`` is true if the store hangs
    rather than the open connections. ``watch`` is the state that the watcher assumes
    for its watch. ``watcher`` and ``follower`` are the states in which each has the
    upstream: listed, doubted or gone. ``doubted_steps`` counts the steps for which the
    watcher has doubted the upstream, and ``lost_steps`` those since the follower knows
    that the watcher lost the store.
    """

    steps_since_removal: int = 0
    hanging_steps: int = 0
    store_hangs: bool = False
    watch: str = "sound"
    watcher: str = "listed"
    follower: str = "listed"
    doubted_steps: int = 0
    lost_steps: int = 0


class RemovalSpec:
    """A watcher, a follower, and optionally another zone."""

    def __init__(self, rules: frozenset = RULES, other_zone: bool = False) -> None:
        """Set the rules.

        :param other_zone: whether there is another zone, which no fault affects;
            without one, only the whole store may hang, as no instance could detect a
            hanging connection.
        """
        self.rules = rules
        self.other_zone = other_zone

    def protocol(self) -> Protocol:
        """Return the protocol for minicheck."""
        return Protocol(
            name="removal",
            candidate=False,
            fields=RemovalState._fields,
            initial=RemovalState(),
            transitions=self.transitions,
            invariants={"removal_applied_in_time": self.is_applied_in_time},
        )

    def is_applied_in_time(self, state: dict) -> bool:
        """Return whether the follower stops using the upstream within the limit."""
        using = {"listed"}
        if "doubted_upstreams_are_unused" not in self.rules:
            using.add("doubted")
        return (
            state["steps_since_removal"] <= MAX_USE_STEPS
            or state["follower"] not in using
        )

    def transitions(self, state: RemovalState) -> list:
        """Return every successor state, one step later, with its label."""
        if state.steps_since_removal > MAX_USE_STEPS:
            return []
        successors = []
        for removed in (False, True) if not state.steps_since_removal else (False,):
            steps_since_removal = (
                state.steps_since_removal + 1
                if state.steps_since_removal or removed
                else 0
            )
            for label, hang in self._store_events(state):
                after = self._watch(
                    state._replace(steps_since_removal=steps_since_removal, **hang),
                    state,
                )
                after = self._follow(after, state)
                successors.append((f"{label}{' removed' if removed else ''}", after))
        return successors

    def _store_events(self, state: RemovalState) -> list:
        """Return what may happen to the store and the connections in this step."""
        responds = ("responds", {"hanging_steps": 0, "store_hangs": False})
        if state.hanging_steps:
            continued = {"hanging_steps": min(state.hanging_steps + 1, WATCH_STEPS)}
            if not state.store_hangs and state.hanging_steps >= WATCH_STEPS:
                # The watch has timed out and is reopened.
                return [responds]
            return [responds, ("still hangs", continued)]
        successors = [
            responds,
            ("store hangs", {"hanging_steps": 1, "store_hangs": True}),
        ]
        if self.other_zone and state.watch == "sound":
            successors.append(
                ("connections hang", {"hanging_steps": 1, "store_hangs": False})
            )
        return successors

    def _watch(self, state: RemovalState, before: RemovalState) -> RemovalState:
        """Update the watcher from what the store shows it."""
        if state.watch == "lost":
            # A new call; hanging connections are not used again.
            if state.hanging_steps and state.store_hangs:
                return state
            seen = (
                "doubted"
                if state.steps_since_removal and state.watcher == "listed"
                else None
            )
            return state._replace(
                watch="sound",
                hanging_steps=0,
                watcher=seen or state.watcher,
                doubted_steps=0,
            )
        if before.hanging_steps and not state.hanging_steps:
            return state._replace(watch="lost")
        if state.hanging_steps:
            checked = state.store_hangs and "silent_watches_are_checked" in self.rules
            if checked and state.hanging_steps >= CHECK_STEPS:
                return state._replace(watch="lost")
            compares_revisions = "a_newer_remote_revision_ends_the_watch" in self.rules
            if (
                self.other_zone
                and compares_revisions
                and state.steps_since_removal > REMOTE_UPDATE_STEPS
            ):
                return state._replace(watch="lost")
            return state
        if state.watcher == "doubted":
            doubted_steps = state.doubted_steps + 1
            gone = doubted_steps >= DOUBT_STEPS
            return state._replace(
                doubted_steps=0 if gone else doubted_steps,
                watcher="gone" if gone else "doubted",
            )
        if state.steps_since_removal and state.watcher == "listed":
            return state._replace(watcher="gone")
        return state

    def _follow(self, state: RemovalState, before: RemovalState) -> RemovalState:
        """Update the follower by the previous step, or by its own read of the store."""
        follower = state.follower
        if before.watcher == "gone":
            follower = "gone"
        elif before.watcher == "doubted" and follower == "listed":
            follower = (
                "doubted" if "doubts_are_sent_to_followers" in self.rules else "listed"
            )
        compares_revisions = "a_newer_remote_revision_ends_the_watch" in self.rules
        if (
            self.other_zone
            and compares_revisions
            and state.steps_since_removal > REMOTE_UPDATE_STEPS + 1
        ):
            follower = "gone"
        lost_steps = (
            min(state.lost_steps + 1, TAKEOVER_STEPS) if state.watch == "lost" else 0
        )
        if (
            lost_steps >= TAKEOVER_STEPS
            and state.steps_since_removal
            and follower == "listed"
        ):
            follower = "doubted"
        return state._replace(follower=follower, lost_steps=lost_steps)
