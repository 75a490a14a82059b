"""Measures how long a duty has no holder after a kill, a pause or a stop.

``python -m benchmarks.failover [--daemons 4] [--rounds 3]``. Each round signals the
holder of one duty. "taken" is the time until another instance holds the duty. "may
order" is the time until the new holder may send orders to receivers that ignore fencing
numbers; after a pause, which lasts 20 s, it first waits for the acknowledgement of the
former holder.
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
MAX_TAKEOVER_SECONDS = 90.0
POLL_SECONDS = 0.05
SETTLE_SECONDS = 2.0


def read_duty(daemons: Daemons, number: int) -> dict | None:
    """Return the status of the duty at a daemon, ``None`` if it does not hold it."""
    with contextlib.suppress(OSError, urllib.error.URLError):
        status = call(daemons.admins[number], "/admin/status", timeout=1.0)
        return status.get("duties", {}).get(DUTY)
    return None


def find_holder(daemons: Daemons) -> tuple[int, int] | None:
    """Return the index of the daemon that holds the duty, and the epoch."""
    for number in range(len(daemons.processes)):
        duty = read_duty(daemons, number)
        if duty:
            return number, duty["epoch"]
    return None


def wait_for_successor(
    daemons: Daemons, former: int, epoch: int, started: float, resume_after: float
) -> tuple[float, float]:
    """Return the seconds until the duty is taken and until the holder may send orders.

    :param resume_after: seconds after which the former holder is sent SIGCONT.
    """
    taken = None
    resumed = resume_after == 0
    while time.monotonic() - started < MAX_TAKEOVER_SECONDS:
        elapsed = time.monotonic() - started
        if not resumed and elapsed > resume_after:
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


def measure(daemons: Daemons, signal_number: signal.Signals) -> tuple[float, float]:
    """Send a signal to the holder and return the durations of the takeover."""
    wait_for(lambda: find_holder(daemons))
    time.sleep(SETTLE_SECONDS)
    holder, epoch = find_holder(daemons)
    started = time.monotonic()
    daemons.processes[holder].send_signal(signal_number)
    resume_after = PAUSE_SECONDS if signal_number == signal.SIGSTOP else 0
    times = wait_for_successor(daemons, holder, epoch, started, resume_after)
    if signal_number != signal.SIGSTOP:
        daemons.processes[holder].wait(60)
        daemons.restart(holder)
    return times


def main() -> None:
    """Run the rounds for each signal and print a table."""
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
