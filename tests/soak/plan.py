"""The plan of a soak: which faults come when, the same for the same seed."""

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
# Faults that are planned work: they may cut nothing.
PLANNED = ("stop_daemon", "withdraw_key", "drain_worker")
# Workers that leave or pause by their own word, beside what could undo the word.
WORDS = (
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
# What a soak injects, by its name. ``mixed`` stays as it is, as its seeds are kept.
FAULTS_BY_MIX = {
    "mixed": FAULTS,
    "planned": PLANNED,
    "words": WORDS,
    "clocks": (*FAULTS, "step_clock", "step_clock", "step_clock"),
}


class Step(msgspec.Struct, frozen=True):
    """One fault: when it begins, how long it lasts, and which one of its kind."""

    at: float
    fault: str
    seconds: float
    target: int


def build_plan(seed: int, seconds: float, mix: str = "mixed") -> list[Step]:
    """Return overlapping faults in series for the length of a soak.

    :param seconds: the last fault ends before.
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
                Step(
                    round(at + number * generator.uniform(0.1, 0.8), 2),
                    fault,
                    round(generator.uniform(0.5, 3.0), 2),
                    generator.randrange(12),
                )
            )
        at += generator.uniform(0.3, 2.0)
    return sorted(steps, key=lambda step: step.at)
