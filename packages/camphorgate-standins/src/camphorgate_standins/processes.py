"""Runs the stand-ins and the daemons as processes, for the demo and for tests."""

import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parents[4] / "examples" / "demo"
BIN = Path(sys.executable).parent
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 60.0

_PORT = re.compile(r"127\.0\.0\.1:(18\d\d\d)")
# Ports of the demo, all in one range, so that a single offset shifts them all.
KV_PORT = 18010
PLATFORM_PORT = 18020
ENGINE_PORTS = (18031, 18032)
SERVICE_PORT = 18041
CALLER_PORTS = (18101, 18201)
ADMIN_PORTS = (18102, 18202)


def find_free_offset() -> int:
    """Return a port offset at which every port of the demo is free."""
    ports = [KV_PORT, PLATFORM_PORT, *ENGINE_PORTS, SERVICE_PORT]
    ports += [base + step for base in (18100, 18200) for step in (1, 2, 3)]
    for offset in range(300, 12000, 300):
        if all(_is_free(port + offset) for port in ports):
            return offset
    raise RuntimeError("no offset at which every port is free")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class System:
    """The stand-ins and the two daemons of the demo, each in its own process."""

    __slots__ = ("offset", "folder", "processes_by_name")

    def __init__(self, offset: int = 0, folder: Path | None = None) -> None:
        """Write the example files with shifted ports into a folder.

        :param offset: added to every port of the examples.
        :param folder: for settings and logs; a temporary folder by default.
        """
        self.offset = offset
        self.folder = folder or Path(tempfile.mkdtemp(prefix="camphorgate-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        for source in EXAMPLES.glob("*.jsonc"):
            text = _PORT.sub(self._shift_port, source.read_text(encoding="utf-8"))
            (self.folder / source.name).write_text(text, encoding="utf-8")

    def _shift_port(self, match: re.Match) -> str:
        return f"127.0.0.1:{int(match.group(1)) + self.offset}"

    def address(self, port: int) -> str:
        """Return the address for a port of the example files."""
        return f"127.0.0.1:{port + self.offset}"

    def start_standins(self) -> None:
        """Start KV, platform, engines and service, and wait until they listen."""
        self._start_standin("kv", "kv", KV_PORT)
        self._start_standin("platform", "platform", PLATFORM_PORT)
        for number, port in enumerate(ENGINE_PORTS, 1):
            name = f"engine-{number}"
            self._start_standin(name, "engine", port, "--name", name, "--fencing")
        self._start_standin("ordering-1", "service", SERVICE_PORT)

    def _start_standin(self, name: str, module: str, port: int, *options: str) -> None:
        command = [sys.executable, "-m", f"camphorgate_standins.{module}"]
        self.start(name, [*command, "--address", self.address(port), *options])
        self.wait_for_port(port)

    def start_daemon(self, name: str) -> None:
        """Start a daemon by the name of its settings file."""
        settings = str(self.folder / f"{name}.jsonc")
        self.start(name, [str(BIN / "camphorgated"), settings])

    def start(self, name: str, command: list[str]) -> None:
        """Start a process; its output goes to a log in the folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def wait_for_port(self, port: int) -> None:
        """Wait until a process listens on a port.

        :raises TimeoutError: if none does within :data:`START_TIMEOUT_SECONDS`.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                probe.settimeout(0.5)
                if probe.connect_ex(("127.0.0.1", port + self.offset)) == 0:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"no process listens on port {port + self.offset}")

    def wait_for_page(self, port: int, path: str) -> None:
        """Wait until a page responds with success.

        :raises TimeoutError: if it does not within :data:`START_TIMEOUT_SECONDS`.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        url = f"http://{self.address(port)}{path}"
        while time.monotonic() < deadline:
            try:
                with urllib.request.urlopen(url, timeout=1):
                    return
            except OSError:
                time.sleep(0.1)
        raise TimeoutError(f"{url} does not respond with success")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process with a name."""
        self.processes_by_name[name].send_signal(number)

    def stop(self, name: str) -> int:
        """Stop a process by SIGTERM and return its exit code.

        A process that does not exit in time is killed; its exit code is then -9.
        """
        process = self.processes_by_name.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            return process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> dict[str, int]:
        """Stop the daemons, then the stand-ins; return exit codes by name."""
        names = sorted(self.processes_by_name, key=lambda n: not n.startswith("entry"))
        return {name: self.stop(name) for name in names}
