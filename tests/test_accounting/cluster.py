"""A cluster of usage services in one process, linked in memory."""

import asyncio
import contextlib
from datetime import timedelta
from types import SimpleNamespace

import msgspec

from camphorgate.clock import SystemClock
from camphorgate.kv.client import KvClient
from camphorgate.kv.records import Put
from camphorgate.membership.roster import MemberState
from camphorgate.settings import TimingSettings
from camphorgate.supervision import Supervisor
from camphorgated.ext.usage.service import UsageService
from camphorgated.ext.usage.timing import UsageTiming

RETAINED_WINDOWS = 6
# The loops run once and then sleep; the tests call their steps themselves.
TIMING = UsageTiming(
    copy_interval_seconds=1e6,
    hand_in_interval_seconds=1e6,
    report_interval_seconds=1e6,
    ack_timeout_seconds=1e6,
    max_wait_seconds=0.0,
    retained_windows=RETAINED_WINDOWS,
)
WINDOW_SECONDS = 60


class SkippingClock(SystemClock):
    """The system clock with a wall time that tests can move forward."""

    def __init__(self):
        self.skipped = timedelta()

    def now(self):
        """Return the wall time including all skips."""
        return super().now() + self.skipped

    def skip_window(self):
        """Skip the rest of the current window and the time allowed for late parts."""
        self.skipped += timedelta(
            seconds=WINDOW_SECONDS + TIMING.close_delay_seconds + 1
        )


class MemoryMembership:
    """An in-memory fake of what the usage service needs of ``membership``."""

    def __init__(self, cluster, instance_id, zone, incarnation):
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.zone = zone
        self.cluster = cluster
        self.roster = SimpleNamespace(member=self._member)
        self.copy_holders = ()
        self.on_batch = self.on_ack = None

    def members(self):
        """Return all running instances."""
        return [self._view(item) for item in self.cluster.instances_by_id.values()]

    linked = members

    def platform_state(self, instance_id):
        """Return the state that the platform reports for an instance."""
        return self.cluster.platform_states.get(instance_id)

    def handle_usage(self, on_batch, on_ack):
        """Register the handlers for batches and acknowledgements."""
        self.on_batch, self.on_ack = on_batch, on_ack

    def send_usage(self, instance_id, packet):
        """Schedule delivery of a packet; a cut link drops it silently.

        :returns: whether the peer is running.
        """
        pair = frozenset((self.instance_id, instance_id))
        if instance_id not in self.cluster.instances_by_id:
            return False
        if pair not in self.cluster.silent_links:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, instance_id, packet)
        return True

    async def set_copy_holders(self, holders):
        """Store the copy holders in the roster entry."""
        self.copy_holders = tuple(holders)
        await self.register()

    async def register(self):
        """Store the roster entry of this instance."""
        entry = {
            "instance_id": self.instance_id,
            "incarnation": self.incarnation,
            "copy_holders": self.copy_holders,
        }
        key = f"roster/{self.instance_id}"
        await self.cluster.kv.transact([], [Put(key, msgspec.json.encode(entry))])

    def _deliver(self, instance_id, packet):
        peer = self.cluster.instances_by_id.get(instance_id)
        if peer is None:
            return
        membership = peer.membership
        handler = membership.on_ack
        if hasattr(packet, "payload") and packet.payload:
            handler = membership.on_batch
        handler(self.instance_id, packet)

    def _member(self, instance_id):
        found = self.cluster.instances_by_id.get(instance_id)
        if found is None:
            return None
        view = self._view(found)
        return SimpleNamespace(state=MemberState.PRESENT, incarnation=view.incarnation)

    @staticmethod
    def _view(instance):
        return SimpleNamespace(
            instance_id=instance.membership.instance_id,
            availability_zone=instance.membership.zone,
            incarnation=instance.membership.incarnation,
            live=True,
            leaving=False,
        )


class MemoryDuties:
    """A fake that grants every duty to the reporters and records their reports."""

    def __init__(self, cluster, instance_id):
        self.cluster = cluster
        self.instance_id = instance_id

    def authority(self, duty):
        """Return an authority if the instance is a reporter, otherwise ``None``."""
        if self.instance_id not in self.cluster.reporters:
            return None
        return SimpleNamespace(epoch=1, valid=lambda: True)

    async def submit_order(self, duty, receiver, order):
        """Record a report."""
        self.cluster.reports.append((order["window"], order["figures"]))


class Instance:
    """The usage service of one running daemon, with fakes for the rest."""

    def __init__(self, cluster, instance_id, zone, incarnation):
        self.membership = MemoryMembership(cluster, instance_id, zone, incarnation)
        self.tasks = []
        services = {
            "membership": self.membership,
            "kv": cluster.kv,
            "duties": MemoryDuties(cluster, instance_id),
        }
        app = SimpleNamespace(
            clock=cluster.clock,
            settings=SimpleNamespace(
                availability_zone=zone,
                timing=TimingSettings(usage_window_seconds=WINDOW_SECONDS),
            ),
            service=services.__getitem__,
            has_service=services.__contains__,
            supervise=self._supervise,
        )
        self.usage = UsageService(app, TIMING)

    def _supervise(self, function, name):
        task = Supervisor(SystemClock()).run(function, name)
        self.tasks.append(asyncio.create_task(task, name=name))

    async def use(self, workspace, calls=1):
        """Record usage and return whether it became durable."""
        entry = SimpleNamespace(
            workspace=workspace,
            model="assistant",
            service="",
            calls=calls,
            prompt_tokens=10 * calls,
            output_tokens=calls,
        )
        self.usage.record(entry)
        return await self.usage.durable(entry)


class Cluster:
    """Instances that share a key-value service, and the reports they sent."""

    def __init__(self, kv_address):
        self.clock = SkippingClock()
        self.kv = KvClient((kv_address,), self.clock, 5000.0, 0.3, seed=1)
        self.instances_by_id = {}
        self.platform_states = {}
        self.silent_links = set()
        self.reporters = set()
        self.reports = []
        self._starts = 0

    async def start(self, instance_id, zone):
        """Start an instance, or a newer incarnation of it."""
        self._starts += 1
        begun = int(self.clock.now().timestamp() * 1000) + self._starts
        instance = Instance(self, instance_id, zone, begun)
        self.instances_by_id[instance_id] = instance
        await instance.membership.register()
        await instance.usage.start()
        # Give the loops time for their first iteration.
        await asyncio.sleep(0.05)
        return instance

    async def kill(self, instance_id):
        """Stop an instance without any shutdown steps."""
        instance = self.instances_by_id.pop(instance_id)
        for task in instance.tasks:
            task.cancel()
        await asyncio.gather(*instance.tasks, return_exceptions=True)

    async def close(self):
        """Stop all instances and close the key-value client."""
        for instance_id in list(self.instances_by_id):
            await self.kill(instance_id)
        await self.kv.close()

    async def hand_in(self):
        """Hand in the pending windows of every instance and the copies it holds."""
        for instance in self.instances_by_id.values():
            await instance.usage.hand_in_writer.hand_in_own()
            await instance.usage.hand_in_writer.hand_in_orphans()

    async def report(self):
        """Report all shards on every instance; only reporters have the duty."""
        for instance in list(self.instances_by_id.values()):
            for shard in range(4):
                await instance.usage.window_reporter.report(shard)

    def calls_by_workspace(self):
        """Return the reported calls, counting each window once."""
        figures_by_window = dict(self.reports)
        totals = {}
        for figures in figures_by_window.values():
            for row in figures["usage"]:
                name = row["workspace"]
                totals[name] = totals.get(name, 0) + row["calls"]
        return totals


@contextlib.asynccontextmanager
async def run_cluster(kv_address, names=("a", "b", "c")):
    """Yield a cluster with one instance in each zone."""
    cluster = Cluster(kv_address)
    try:
        for name in names:
            await cluster.start(name, f"zone-{name}")
        cluster.reporters = {names[-1]}
        yield cluster
    finally:
        await cluster.close()
