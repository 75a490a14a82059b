"""Suspends the process that sends orders for longer than its lease, and resumes it."""

import asyncio
import json
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from camphorgate_standins.kv import KvStandin
from camphorgate_standins.platform import PlatformStandin
from tests.serving import serve

ROOT = Path(__file__).resolve().parent.parent.parent
NAMES = ("alpha", "beta")
LEASE_SECONDS = 3.0
PAUSE_SECONDS = 5.0


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class PauseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.kv, self.platform = KvStandin(), PlatformStandin()
        self.kv_address = await self.enterAsyncContext(serve(self.kv.app()))
        app = self.platform.app()
        self.platform_address = await self.enterAsyncContext(serve(app))
        # Orders are in flight most of the time, so a pause usually interrupts one.
        self.platform.faults.arm({"fault": "slow", "value": 0.05})
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        peers = [_free_address() for _ in NAMES]
        self.processes_by_name = {}
        for name, address in zip(NAMES, peers, strict=True):
            await self.start(name, address, peers)

    async def start(self, name, address, peers):
        platform = self.platform_address
        settings = {
            "instance_id": name,
            "availability_zone": "zone-b",
            "region": "region-1",
            "caller_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "peer_address": address,
            "peers": peers,
            "kv": {"addresses": [self.kv_address], "calls_per_second": 500.0},
            "platform": {
                "list_address": platform,
                "capacity_address": platform,
                "usage_address": platform,
            },
            "timing": {
                "lease_seconds": LEASE_SECONDS,
                "lease_margin_seconds": 1.0,
                "order_drain_seconds": 4.0,
            },
            "log_level": "ERROR",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.test_pauses.holder",
            str(path),
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.processes_by_name[name] = process
        self.addAsyncCleanup(self.kill, process)

    async def kill(self, process):
        process.kill()
        await process.wait()

    def epochs(self):
        return [int(o["order_id"].split(".")[0]) for o in self.platform.orders]

    async def wait_for_orders_after(self, epoch, min_orders=5):
        """Wait for orders of a later epoch and return the last sender."""
        async with asyncio.timeout(30):
            while sum(item > epoch for item in self.epochs()) < min_orders:
                await asyncio.sleep(0.05)
        return self.platform.orders[-1]["sender"].split(".")[0]

    async def test_orders_never_overlap_across_a_pause(self):
        """Guards against a holder that resumes and sends beside its successor (I5)."""
        epoch = 0
        for _ in range(2):
            sender = await self.wait_for_orders_after(epoch)
            epoch = self.epochs()[-1]
            process = self.processes_by_name[sender]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_SECONDS)
            process.send_signal(signal.SIGCONT)
        await self.wait_for_orders_after(epoch)
        self.assertEqual(self.epochs(), sorted(self.epochs()))
        ids = [order["order_id"] for order in self.platform.orders]
        self.assertEqual(len(ids), len(set(ids)))
