"""Measures the cost of all duties for an idle daemon.

``python -m benchmarks.control_total [--sizes 2,4,8,16] [--seconds 20]``. The baseline
is a daemon that only forwards, with a fixed manifest (``benchmarks.static_daemon``);
both kinds have the same upstreams, so that the cost of polling their load cancels out.
Bytes are those that a daemon sent, including TCP and IP headers.
"""

import argparse
import subprocess
import sys
import time
from pathlib import Path

from benchmarks.control_processes import Daemons, call, free_ports, wait_for

DEMO_MANIFEST = Path(__file__).parent.parent / "examples" / "demo" / "manifest.jsonc"
SETTLE_SECONDS = 8.0
UPSTREAMS = {
    "127.0.0.1:18031": "engine",
    "127.0.0.1:18032": "engine",
    "127.0.0.1:18041": "service",
}


class ForwardingDaemons(Daemons):
    """Daemons that only forward requests, with a fixed manifest."""

    manifest = Path()

    def _run(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        if module == "camphorgated.main":
            module = "benchmarks.static_daemon"
            arguments = (*arguments, str(self.manifest))
        return super()._run(name, module, *arguments)

    def _wait_for(self, number: int) -> None:
        wait_for(lambda: call(self.callers[number], "/healthz"))


def start_upstreams() -> tuple[list[subprocess.Popen], str]:
    """Start the upstreams of the demo and return its manifest with their addresses."""
    text = DEMO_MANIFEST.read_text(encoding="utf-8")
    processes = []
    ports = free_ports(len(UPSTREAMS))
    for (old, kind), port in zip(UPSTREAMS.items(), ports, strict=True):
        address = f"127.0.0.1:{port}"
        module = f"camphorgate_standins.{kind}"
        command = [sys.executable, "-m", module, "--address", address]
        processes.append(subprocess.Popen(command))
        text = text.replace(old, address)
        wait_for(lambda address=address: call(address, "/control/load"))
    return processes, text


def measure(daemons: Daemons, seconds: float) -> tuple[float, float, float, float]:
    """Return core %, MB, bytes/s and KV calls/s per idle daemon."""
    time.sleep(SETTLE_SECONDS)
    count = len(daemons.processes)
    cpu, sent, calls = daemons.cpu_seconds(), daemons.bytes_sent(), daemons.kv_calls()
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    used = sum(daemons.cpu_seconds()) - sum(cpu)
    bytes_sent = sum(daemons.bytes_sent()) - sum(sent)
    return (
        100 * used / elapsed / count,
        sum(daemons.resident_bytes()) / count / 1e6,
        bytes_sent / elapsed / count,
        (daemons.kv_calls() - calls) / elapsed / count,
    )


def main() -> None:
    """Measure each size and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="2,4,8,16")
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    upstreams, manifest = start_upstreams()
    try:
        print("| daemons | core % | MB | bytes/s | KV calls/s | alone: core % | MB |")
        print("|---|---|---|---|---|---|---|")
        for size in map(int, options.sizes.split(",")):
            print(_row(size, manifest, options.seconds), flush=True)
    finally:
        for process in upstreams:
            process.terminate()


def _row(size: int, manifest: str, seconds: float) -> str:
    daemons = Daemons(size, ())
    try:
        body = manifest.encode()
        call(daemons.admins[0], "/admin/manifest?wait_seconds=10", body)
        with_duties = measure(daemons, seconds)
    finally:
        daemons.close()
    path = daemons.folder / "manifest.jsonc"
    path.write_text(manifest, encoding="utf-8")
    ForwardingDaemons.manifest = path
    daemons = ForwardingDaemons(size, ())
    try:
        forwarding_only = measure(daemons, seconds)
    finally:
        daemons.close()
    cpu, memory, sent, calls = (
        a - b for a, b in zip(with_duties, forwarding_only, strict=True)
    )
    return (
        f"| {size} | {cpu:.2f} | {memory:.1f} | {sent:.0f} | {calls:.2f} "
        f"| {forwarding_only[0]:.2f} | {forwarding_only[1]:.1f} |"
    )


if __name__ == "__main__":
    main()
