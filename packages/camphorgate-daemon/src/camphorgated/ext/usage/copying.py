"""Replicates this instance's usage to a peer and stores copies for other peers."""

import asyncio
import contextlib
from typing import Any

import msgspec

from camphorgate.accounting.copies import (
    Batch,
    Candidate,
    CopySender,
    CopyStore,
    choose_copy_holder,
)
from camphorgate.accounting.windows import UsageRecorder, split_author
from camphorgate.clock import Clock
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.kv.errors import KvError
from camphorgate.log import log_event
from camphorgate.peers.peers_pb2 import UsageAck, UsageBatch
from camphorgated.ext.usage.timing import UsageTiming

MAX_SEND_ATTEMPTS = 2


class UsageReplicator:
    """Sends usage batches to the copy holder and acknowledges batches of peers."""

    def __init__(
        self,
        book: UsageRecorder,
        membership: Any,
        own_zone: str,
        clock: Clock,
        timing: UsageTiming,
    ) -> None:
        """Start without a copy holder.

        :param membership: the service ``membership``.
        :param own_zone: availability zone of this instance.
        """
        self.store = CopyStore()
        self.acknowledged_version = 0
        self.unprotected = 0
        self._book = book
        self._membership = membership
        self._own_zone = own_zone
        self._clock = clock
        self._timing = timing
        self._sender: CopySender | None = None
        self._sequence = 0
        self._sent_at = 0.0
        self._waiters: list[tuple[int, asyncio.Future]] = []
        self._registered_holder = ""

    @property
    def holder(self) -> str:
        """Return the id of the copy holder, or an empty string if there is none."""
        return self._sender.holder if self._sender else ""

    async def durable(self) -> bool:
        """Wait until everything counted so far is copied, up to a time limit.

        :returns: false if there is no copy holder or the limit was reached. The
            request is then counted as unprotected, and its answer is sent nevertheless.
        """
        version = self._book.version
        if self.acknowledged_version >= version:
            return True
        self.send_next_batch()
        if self._sender is not None:
            future = asyncio.get_running_loop().create_future()
            self._waiters.append((version, future))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._timing.durable_timeout_seconds):
                    return await future
        self.unprotected += 1
        return False

    def send_next_batch(self) -> None:
        """Send the next batch if one is due, to another holder if sending fails."""
        for _ in range(MAX_SEND_ATTEMPTS):
            if self._sender is None and not self._open_sender():
                return
            batch = self._sender.next_batch(self._book)
            if batch is None:
                return
            self._sequence = self._sender.sequence
            self._sent_at = self._clock.monotonic()
            payload = msgspec.msgpack.encode(batch)
            packet = UsageBatch(sequence=self._sequence, payload=payload)
            if self._membership.send_usage(self._sender.holder, packet):
                return
            self._sender = None

    def receive_batch(self, peer_id: str, packet: UsageBatch) -> None:
        """Store a peer's batch and acknowledge it."""
        try:
            batch = msgspec.msgpack.decode(packet.payload, type=Batch)
        except DECODE_ERRORS:
            log_event("usage_batch_unreadable", level="WARNING", peer=peer_id)
            return
        if split_author(batch.author)[0] != peer_id:
            log_event("usage_batch_foreign", level="WARNING", peer=peer_id)
            return
        self.store.receive_batch(batch)
        self._membership.send_usage(peer_id, UsageAck(sequence=packet.sequence))

    def receive_ack(self, peer_id: str, packet: UsageAck) -> None:
        """Process an acknowledgement and send what has accumulated since."""
        if self._sender is None or self._sender.holder != peer_id:
            return
        version = self._sender.receive_ack(packet.sequence)
        if version is None:
            return
        self.acknowledged_version = max(self.acknowledged_version, version)
        waiting = []
        for needed, future in self._waiters:
            if future.done():
                continue
            if needed <= self.acknowledged_version:
                future.set_result(True)
            else:
                waiting.append((needed, future))
        self._waiters = waiting
        self.send_next_batch()

    async def run(self) -> None:
        """Maintain a copy holder and send batches until cancelled."""
        while True:
            self._check_holder()
            self.send_next_batch()
            self._waiters = [item for item in self._waiters if not item[1].done()]
            await self._register()
            await asyncio.sleep(self._timing.copy_interval_seconds)

    def _candidates(self) -> list[Candidate]:
        return [
            Candidate(
                member.instance_id,
                member.availability_zone,
                member.live,
                member.leaving,
            )
            for member in self._membership.linked()
            if member.instance_id != self._membership.instance_id
        ]

    def _choose(self, current: str = "") -> str:
        own = self._membership.instance_id
        return choose_copy_holder(own, self._own_zone, self._candidates(), current)

    def _open_sender(self) -> bool:
        holder = self._choose()
        if holder:
            self._sender = CopySender(holder, self._sequence)
        return bool(holder)

    def _check_holder(self) -> None:
        """Drop the holder if another one is preferred or an acknowledgement is late."""
        if self._sender is None:
            return
        holder = self._choose(self._sender.holder)
        late = (
            self._clock.monotonic() - self._sent_at > self._timing.ack_timeout_seconds
        )
        if holder != self._sender.holder or (late and self._sender.is_awaiting_ack):
            self._sender = None

    async def _register(self) -> None:
        """Record the copy holder in KV, so that windows wait for its hand-in."""
        holder = self.holder
        if not holder or holder == self._registered_holder:
            return
        with contextlib.suppress(KvError):
            await self._membership.set_copy_holders((holder,))
            self._registered_holder = holder
