"""Measures how much usage is lost when daemons are killed under load; the target is 0.

``python -m benchmarks.usage_kills [--kills 6]``. Clients send bookings through 4
daemons as fast as responses arrive; every call counts for a workspace. Daemons are
killed with SIGKILL one after another and restarted. At the end, the calls of all
windows reported to the platform are compared with the complete responses that clients
received. More reported calls than responses are correct, as a call may have run
although its response did not arrive. Fewer would be lost usage.
"""

import argparse
import http.client
import json
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from benchmarks.control_processes import Daemons, call, free_ports, wait_for

DEMO_MANIFEST = Path(__file__).parent.parent / "examples" / "demo" / "manifest.jsonc"
DAEMONS = 4
CLIENTS_PER_DAEMON = 3
MEAN_KILL_INTERVAL_SECONDS = 8.0
MAX_REPORT_DELAY_SECONDS = 120.0
KEYS = ("demo-key-north", "demo-key-south")


class Client(threading.Thread):
    """Sends bookings through one daemon and counts complete responses."""

    def __init__(self, address: str, key: str, stopped: threading.Event) -> None:
        """Create a client that has sent nothing."""
        super().__init__(daemon=True)
        self.address = address
        self.key = key
        self.stopped = stopped
        self.answered = 0
        self.sent = 0

    def run(self) -> None:
        """Send one call after another until the event is set."""
        connection = None
        while not self.stopped.is_set():
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(self.address, timeout=15)
                self._send_booking(connection)
            except (OSError, http.client.HTTPException):
                connection = None
                time.sleep(0.1)

    def _send_booking(self, connection: http.client.HTTPConnection) -> None:
        headers = {"Authorization": f"Bearer {self.key}"}
        self.sent += 1
        connection.request("POST", "/orders/bookings", b"{}", headers)
        response = connection.getresponse()
        body = response.read()
        if response.status == 200 and b"booked" in body:
            self.answered += 1
        else:
            time.sleep(0.05)


def start_service() -> tuple[subprocess.Popen, str]:
    """Start the ordering stand-in."""
    address = f"127.0.0.1:{free_ports(1)[0]}"
    command = [sys.executable, "-m", "camphorgate_standins.service"]
    process = subprocess.Popen([*command, "--address", address])
    wait_for(lambda: call(address, "/control/load"))
    return process, address


def reported_calls(daemons: Daemons) -> tuple[Counter, int, int]:
    """Return reported calls by workspace, windows, and windows whose reports differ."""
    reports_by_window: dict[str, list[str]] = {}
    for item in call(daemons.platform, "/control/log")["windows"]:
        text = json.dumps(item["figures"], sort_keys=True)
        reports_by_window.setdefault(item["window"], []).append(text)
    calls: Counter = Counter()
    for reports in reports_by_window.values():
        for row in json.loads(reports[0])["usage"]:
            calls[row["workspace"]] += row["calls"]
    differing = sum(len(set(reports)) > 1 for reports in reports_by_window.values())
    return calls, len(reports_by_window), differing


def kill_daemons(daemons: Daemons, kills: int, seed: int) -> None:
    """Kill random daemons one after another and restart each after some seconds."""
    generator = random.Random(seed)
    for _ in range(kills):
        time.sleep(MEAN_KILL_INTERVAL_SECONDS * generator.uniform(0.5, 1.5))
        number = generator.randrange(DAEMONS)
        daemons.processes[number].send_signal(signal.SIGKILL)
        daemons.processes[number].wait()
        time.sleep(generator.uniform(0.5, 4))
        daemons.restart(number)


def main() -> int:
    """Measure and print; the exit code is 1 if usage was lost or is inconsistent."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    service, address = start_service()
    # Short windows, so that the measurement covers several reports.
    Daemons.usage_window_seconds = 10
    daemons = Daemons(DAEMONS, ())
    stopped = threading.Event()
    clients = [
        Client(daemons.callers[number], KEYS[index % len(KEYS)], stopped)
        for number in range(DAEMONS)
        for index in range(CLIENTS_PER_DAEMON)
    ]
    try:
        manifest = DEMO_MANIFEST.read_text().replace("127.0.0.1:18041", address)
        call(daemons.admins[0], "/admin/manifest?wait_seconds=10", manifest.encode())
        for client in clients:
            client.start()
        kill_daemons(daemons, options.kills, options.seed)
        stopped.set()
        for client in clients:
            client.join(20)
        answered = sum(client.answered for client in clients)
        ran = len(call(address, "/control/bookings")["bookings"])
        return _compare_usage(daemons, answered, ran, options)
    finally:
        stopped.set()
        daemons.close()
        service.terminate()


def _compare_usage(daemons: Daemons, answered: int, ran: int, options) -> int:
    deadline = time.monotonic() + MAX_REPORT_DELAY_SECONDS
    calls, windows, differing = reported_calls(daemons)
    while calls.total() < answered and time.monotonic() < deadline:
        time.sleep(2)
        calls, windows, differing = reported_calls(daemons)
    if calls.total() < answered:
        for admin in daemons.admins:
            print(json.dumps(call(admin, "/admin/dump")["usage"]))
    lost = max(0, answered - calls.total())
    print("| kills | seed | answered | ran | reported | lost | windows | differing |")
    print("|---|---|---|---|---|---|---|---|")
    print(
        f"| {options.kills} | {options.seed} | {answered} | {ran} "
        f"| {calls.total()} | {lost} | {windows} | {differing} |"
    )
    return 1 if lost or differing or calls.total() > ran else 0


if __name__ == "__main__":
    sys.exit(main())
