"""Asks the predecessors of a duty whether they may still send an order."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from camphorgate.authority.handover import Acknowledgement
from camphorgate.authority.leases import Predecessor
from camphorgate.clock import Clock
from camphorgate.errors import CamphorgateError
from camphorgated.ext.duties.held import HeldDuty

Acknowledge = Callable[[str, int], Awaitable[list[str]]]


class Asker:
    """Feeds the hand-over of each duty with what instances and the platform say."""

    __slots__ = ("_membership", "_clock", "_acknowledge")

    def __init__(self, membership: Any, clock: Clock, acknowledge: Acknowledge) -> None:
        """Prepare to ask.

        :param acknowledge: what this process itself answers to a newer epoch.
        """
        self._membership = membership
        self._clock = clock
        self._acknowledge = acknowledge

    async def ask_all(self, held: HeldDuty) -> None:
        """Ask every predecessor that may still send an order."""
        await asyncio.gather(
            *(self._ask(held, predecessor) for predecessor in held.handover.waiting)
        )

    async def _ask(self, held: HeldDuty, predecessor: Predecessor) -> None:
        instance = predecessor.instance
        if self._membership.platform_state(instance) == "gone":
            held.handover.listed_gone(instance, self._clock.monotonic())
        answer = await self._question(held, instance)
        if answer is not None:
            held.handover.acknowledged(answer, self._clock.monotonic())

    async def _question(self, held: HeldDuty, instance: str) -> Acknowledgement | None:
        own = self._membership.instance_id
        if instance == own:
            in_flight = await self._acknowledge(held.duty, held.epoch)
            incarnation = self._membership.incarnation
            return Acknowledgement(instance, incarnation, held.epoch, len(in_flight))
        peer = self._membership.peer(instance)
        if peer is None:
            return None
        try:
            answer = await peer.acknowledge_epoch(held.duty, held.epoch, own)
        except CamphorgateError:
            return None
        # An instance without the extension acknowledges nothing, but its incarnation
        # still tells whether the predecessor is dead.
        in_flight = len(answer.orders_in_flight) + (not answer.acknowledged)
        return Acknowledgement(
            answer.instance, answer.incarnation, held.epoch, in_flight
        )
