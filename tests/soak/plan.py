"""Builds the schedule of injected faults, which a seed determines."""

import random

import msgspec

FAULTS = (
    "kill_daemon",
    "pause_daemon",
    "stop_daemon",
    "store_delay",
    "store_silent",
    "store_one_way",
    "store_refuse",
    "store_lose_answers",
    "store_lose_history",
    "worker_silent",
    "worker_reset",
    "worker_refuse",
    "worker_lose_answers",
    "worker_break_stream",
    "worker_wrong_attempt",
    "withdraw_key",
    "drain_worker",
)
# Planned maintenance, which must not interrupt any request.
PLANNED_FAULTS = ("stop_daemon", "withdraw_key", "drain_worker")
# Workers that announce leaving or a pause, and faults that could lose the notice.
NOTICE_FAULTS = (
    "worker_leave",
    "worker_leave",
    "worker_pause",
    "worker_pause",
    "kill_daemon",
    "pause_daemon",
    "store_silent",
    "store_delay",
    "store_refuse",
    "worker_reset",
    "drain_worker",
)
# Data of other writers and wrong bytes, and connections that go silent for good, beside
# faults that make each of them matter.
ODD_FAULTS = (
    "odd_entry",
    "odd_entry",
    "store_mute_watches",
    "store_mute_watches",
    "worker_spoil_stream",
    "worker_spoil_stream",
    "worker_break_stream",
    "kill_daemon",
    "pause_daemon",
    "store_delay",
    "store_lose_history",
    "withdraw_key",
    "drain_worker",
)
# The store comes back from an older copy, beside faults that change the holder.
RESTORE_FAULTS = (
    "store_restore",
    "store_restore",
    "store_restore",
    "kill_daemon",
    "pause_daemon",
    "stop_daemon",
    "store_delay",
    "store_refuse",
    "store_lose_answers",
    "withdraw_key",
    "drain_worker",
)
# Faults by name of the mix. ``mixed`` must not change, as recorded seeds depend on it.
FAULTS_BY_MIX = {
    "mixed": FAULTS,
    "planned": PLANNED_FAULTS,
    "words": NOTICE_FAULTS,
    "odd": ODD_FAULTS,
    "restores": RESTORE_FAULTS,
    "clocks": (*FAULTS, "step_clock", "step_clock", "step_clock"),
}


class ScheduledFault(msgspec.Struct, frozen=True):
    """A scheduled fault: its start, its duration and the index of its target."""

    at: float
    fault: str
    seconds: float
    target: int


def build_plan(seed: int, seconds: float, mix: str = "mixed") -> list[ScheduledFault]:
    """Return a schedule of faults that come in bursts and may overlap.

    :param seconds: length of the soak; the last fault ends before.
    :param mix: key of :data:`FAULTS_BY_MIX`.
    """
    faults = FAULTS_BY_MIX[mix]
    generator = random.Random(seed)
    steps = []
    at = 1.0
    while at < seconds - 4.0:
        fault = generator.choice(faults)
        for number in range(generator.choice((1, 1, 2, 3))):
            steps.append(
                ScheduledFault(
                    round(at + number * generator.uniform(0.1, 0.8), 2),
                    fault,
                    round(generator.uniform(0.5, 3.0), 2),
                    generator.randrange(12),
                )
            )
        at += generator.uniform(0.3, 2.0)
    return sorted(steps, key=lambda step: step.at)
