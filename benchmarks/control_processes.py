"""Runs daemons with the control extensions as processes and measures their cost."""

import contextlib
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from datetime import datetime
from pathlib import Path

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
CONTROL_EXTENSIONS = ("kv", "membership", "configuration", "admin")
BASELINE_EXTENSIONS = ("admin",)

# TCP and IP headers of a segment, including the TCP timestamp option.
SEGMENT_BYTES = 52
START_TIMEOUT_SECONDS = 30.0

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_BYTES_SENT = re.compile(r"\bbytes_sent:(\d+)")
_SEGMENTS_SENT = re.compile(r"\bsegs_out:(\d+)")
_PID = re.compile(r"pid=(\d+),")


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind(("127.0.0.1", 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


def call(address: str, path: str, body: bytes | None = None, timeout: float = 15.0):
    """Send a GET, or a POST if there is a body, and return the decoded response."""
    request = urllib.request.Request(f"http://{address}{path}", data=body)
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return json.load(response)


class Daemons:
    """Daemon processes with a KV stand-in and a platform stand-in."""

    usage_window_seconds = 60

    def __init__(self, count: int, extensions: tuple[str, ...]) -> None:
        """Start everything and wait until every daemon listens.

        :param extensions: extensions that each daemon loads.
        """
        self.folder = Path(tempfile.mkdtemp(prefix="camphorgate-control-"))
        kv, platform, *ports = free_ports(2 + 4 * count)
        self.kv, self.platform = f"127.0.0.1:{kv}", f"127.0.0.1:{platform}"
        self.admins = [f"127.0.0.1:{port}" for port in ports[:count]]
        self.peers = [f"127.0.0.1:{port}" for port in ports[count : 2 * count]]
        self.callers = [f"127.0.0.1:{port}" for port in ports[2 * count : 3 * count]]
        self._standins = [
            self._run("kv", "camphorgate_standins.kv", "--address", self.kv),
            self._run(
                "platform", "camphorgate_standins.platform", "--address", self.platform
            ),
        ]
        self.processes: list[subprocess.Popen] = []
        try:
            self._start_all(count, extensions)
        except BaseException:
            self.close()
            raise

    @property
    def pids(self) -> list[int]:
        """Return the process ids of the daemons."""
        return [process.pid for process in self.processes]

    def kv_calls(self) -> int:
        """Return the number of calls that KV has answered."""
        return sum(call(self.kv, "/control/calls")["calls"].values())

    def cpu_seconds(self) -> list[float]:
        """Return the processor time of each daemon."""
        found = []
        for pid in self.pids:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            found.append((int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND)
        return found

    def resident_bytes(self) -> list[int]:
        """Return the resident memory of each daemon."""
        found = []
        for pid in self.pids:
            status = Path(f"/proc/{pid}/status").read_text()
            found.append(int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) * 1024)
        return found

    def bytes_sent(self) -> list[int]:
        """Return the bytes that each daemon sent on its open connections."""
        sent = dict.fromkeys(self.pids, 0)
        command = ["ss", "-tinpOH", "state", "established"]
        lines = subprocess.run(command, capture_output=True, text=True, check=True)
        for line in lines.stdout.splitlines():
            pid = _PID.search(line)
            if pid is None or int(pid.group(1)) not in sent:
                continue
            payload, segments = _BYTES_SENT.search(line), _SEGMENTS_SENT.search(line)
            size = int(payload.group(1)) if payload else 0
            size += SEGMENT_BYTES * (int(segments.group(1)) if segments else 0)
            sent[int(pid.group(1))] += size
        return list(sent.values())

    def in_force_times(self, version: int) -> list[float | None]:
        """Return the time at which each daemon logged that a version is in force."""
        times = []
        for number in range(len(self.processes)):
            found = None
            for line in self._log(f"i-{number:02}").read_text().splitlines():
                if f"event=configuration_in_force version={version} " in line:
                    found = log_line_time(line)
            times.append(found)
        return times

    def restart(self, number: int) -> None:
        """Restart a daemon that has exited, with the same settings."""
        self.processes[number] = self._start(number, self._extensions)
        self._wait_for(number)

    def close(self) -> None:
        """Stop the daemons and the stand-ins."""
        for process in [*self.processes, *self._standins]:
            process.terminate()
        for process in [*self.processes, *self._standins]:
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _wait_for(self, number: int) -> None:
        wait_for(lambda: call(self.admins[number], "/admin/status"))

    def _start_all(self, count: int, extensions: tuple[str, ...]) -> None:
        wait_for(lambda: self.kv_calls() is not None)
        wait_for(lambda: call(self.platform, "/instances"))
        for number in range(count):
            entry = {"id": f"i-{number:02}", "zone": ZONES[number % len(ZONES)]}
            entry |= {"address": self.peers[number], "state": "live"}
            call(self.platform, "/control/instances", json.dumps(entry).encode())
        for number in range(count):
            self.processes.append(self._start(number, extensions))
        for number in range(count):
            self._wait_for(number)

    def _start(self, number: int, extensions: tuple[str, ...]) -> subprocess.Popen:
        name = f"i-{number:02}"
        settings = {
            "instance_id": name,
            "availability_zone": ZONES[number % len(ZONES)],
            "region": "region-1",
            "caller_address": self.callers[number],
            "admin_address": self.admins[number],
            "peer_address": self.peers[number],
            "kv": {"addresses": [self.kv]},
            "platform": dict.fromkeys(
                ("list_address", "capacity_address", "usage_address"), self.platform
            ),
            "peers": self.peers[:2],
            "timing": {"usage_window_seconds": self.usage_window_seconds},
            "extensions": extensions,
            "seed": number,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self._run(name, "camphorgated.main", str(path))

    def _run(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        with self._log(name).open("w") as log:
            command = [sys.executable, "-m", module, *arguments]
            return subprocess.Popen(command, stdout=log, stderr=log)

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.log"


def wait_for(condition) -> None:
    """Wait until a condition holds, ignoring failed connections.

    :raises RuntimeError: if it does not hold in 30 s.
    """
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, urllib.error.URLError):
            if condition():
                return
        time.sleep(0.05)
    raise RuntimeError("a process did not start in time")


def log_line_time(line: str) -> float:
    """Return the time of a log line in seconds since the epoch."""
    timestamp = re.search(r"time=(\S+) ", line).group(1)
    return datetime.fromisoformat(timestamp).timestamp()
