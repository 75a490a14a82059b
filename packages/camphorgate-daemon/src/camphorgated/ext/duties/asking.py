"""Polls a duty's predecessors for orders that may still be in flight."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from camphorgate.authority.handover import Acknowledgement
from camphorgate.authority.leases import Predecessor
from camphorgate.clock import Clock
from camphorgate.errors import CamphorgateError
from camphorgated.ext.duties.held import HeldDuty

Acknowledge = Callable[[str, int], Awaitable[list[str]]]


class HandoverPoller:
    """Updates a duty's handover from the acknowledgements of its predecessors."""

    __slots__ = ("_membership", "_clock", "_acknowledge")

    def __init__(self, membership: Any, clock: Clock, acknowledge: Acknowledge) -> None:
        """Store the collaborators.

        :param acknowledge: acknowledges an epoch on behalf of this process and returns
            the ids of its orders in flight.
        """
        self._membership = membership
        self._clock = clock
        self._acknowledge = acknowledge

    async def poll_predecessors(self, held: HeldDuty) -> None:
        """Poll every predecessor that may still send an order."""
        await asyncio.gather(
            *(
                self._poll_predecessor(held, predecessor)
                for predecessor in held.handover.unsettled_predecessors
            )
        )

    async def _poll_predecessor(self, held: HeldDuty, predecessor: Predecessor) -> None:
        instance = predecessor.instance
        if self._membership.platform_state(instance) == "gone":
            held.handover.mark_gone(instance, self._clock.monotonic())
        answer = await self._request_acknowledgement(held, instance)
        if answer is not None:
            held.handover.receive_acknowledgement(answer, self._clock.monotonic())

    async def _request_acknowledgement(
        self, held: HeldDuty, instance: str
    ) -> Acknowledgement | None:
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
        # An instance without this extension never acknowledges, which counts as one
        # order in flight. Its incarnation still shows whether the predecessor's
        # process has ended.
        in_flight = len(answer.orders_in_flight) + (not answer.acknowledged)
        return Acknowledgement(
            answer.instance, answer.incarnation, held.epoch, in_flight
        )
