"""Measures how long a duty is without a holder after a kill, a pause, a stop.

``python -m benchmarks.failover [--daemons 4] [--rounds 3]``. Each round takes the
holder of one duty. "taken" is the time until another instance holds the duty; "may
order" is the time until it may order receivers that ignore fencing numbers, which for
a paused holder waits for its acknowledgement: the pause lasts 20 s.
"""

import argparse
import contextlib
import signal
import statistics
import time
import urllib.error
from pathlib import Path

from benchmarks.control_processes import Daemons, call, wait_for

MANIFEST = Path(__file__).parent.parent / "examples" / "demo" / "manifest.jsonc"
EXTENSIONS = ("kv", "membership", "configuration", "duties", "admin")
DUTY = "usage/0"
PAUSE_SECONDS = 20.0
LONGEST_SECONDS = 90.0
POLL_SECONDS = 0.05
SETTLE_SECONDS = 2.0


def read_duty(daemons: Daemons, number: int) -> dict | None:
    """Return what a daemon says about the duty, ``None`` if it does not hold it."""
    with contextlib.suppress(OSError, urllib.error.URLError):
        status = call(daemons.admins[number], "/admin/status", timeout=1.0)
        return status.get("duties", {}).get(DUTY)
    return None


def find_holder(daemons: Daemons) -> tuple[int, int] | None:
    """Return the number of the holder and its epoch."""
    for number in range(len(daemons.processes)):
        duty = read_duty(daemons, number)
        if duty:
            return number, duty["epoch"]
    return None


def wait_for_successor(
    daemons: Daemons, former: int, epoch: int, started: float, resume_at: float
) -> tuple[float, float]:
    """Return the seconds until the duty is taken, and until its holder may order.

    :param resume_at: seconds after which the former holder is sent SIGCONT.
    """
    taken = None
    resumed = resume_at == 0
    while time.monotonic() - started < LONGEST_SECONDS:
        passed = time.monotonic() - started
        if not resumed and passed > resume_at:
            daemons.processes[former].send_signal(signal.SIGCONT)
            resumed = True
        for number in range(len(daemons.processes)):
            if number == former:
                continue
            duty = read_duty(daemons, number)
            if duty and duty["epoch"] > epoch:
                taken = taken or time.monotonic() - started
                if not duty["waiting_for"]:
                    return taken, time.monotonic() - started
        time.sleep(POLL_SECONDS)
    return taken or float("inf"), float("inf")


def measure(daemons: Daemons, number: signal.Signals) -> tuple[float, float]:
    """Send a signal to the holder and return the times of the hand-over."""
    wait_for(lambda: find_holder(daemons))
    time.sleep(SETTLE_SECONDS)
    holder, epoch = find_holder(daemons)
    started = time.monotonic()
    daemons.processes[holder].send_signal(number)
    resume_at = PAUSE_SECONDS if number == signal.SIGSTOP else 0
    times = wait_for_successor(daemons, holder, epoch, started, resume_at)
    if number != signal.SIGSTOP:
        daemons.processes[holder].wait(60)
        daemons.restart(holder)
    return times


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    daemons = Daemons(options.daemons, EXTENSIONS)
    try:
        manifest = MANIFEST.read_bytes()
        call(daemons.admins[0], "/admin/manifest?wait_seconds=10", manifest)
        print(f"{options.daemons} daemons, {options.rounds} rounds, seconds")
        print("| event | taken, median | highest | may order, median | highest |")
        print("|---|---|---|---|---|")
        for name, number in (
            ("planned stop (SIGTERM)", signal.SIGTERM),
            ("kill (SIGKILL), restarted after the hand-over", signal.SIGKILL),
            (f"pause of {PAUSE_SECONDS:.0f} s (SIGSTOP)", signal.SIGSTOP),
        ):
            times = [measure(daemons, number) for _ in range(options.rounds)]
            taken, order = zip(*times, strict=True)
            print(
                f"| {name} | {statistics.median(taken):.2f} | {max(taken):.2f} "
                f"| {statistics.median(order):.2f} | {max(order):.2f} |"
            )
    finally:
        daemons.close()


if __name__ == "__main__":
    main()
