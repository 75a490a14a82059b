"""What the planners see of a pool, as plain data."""

from collections.abc import Iterable
from typing import Literal

import msgspec

from camphorgate.manifest import EngineRole, UpstreamKind

# serving: takes work. draining: finishes its work, takes none. changing: a role order
# is being carried out. starting: ordered, not there yet. leaving: has an eviction
# notice or was withdrawn. down: does not answer.
Phase = Literal["serving", "draining", "changing", "starting", "leaving", "down"]


class Engine(msgspec.Struct, frozen=True):
    """One upstream of a pool.

    ``running`` counts requests in flight; ``open_order`` tells that an order to it is
    neither confirmed nor abandoned. ``target`` is the role it is being changed to.
    ``notice_seconds`` is what an eviction notice leaves and ``withdrawn_for`` the
    seconds since it was withdrawn in order to be stopped, ``None`` if it was not.
    ``down_for`` tells how long it has been down.
    """

    id: str
    availability_zone: str = ""
    kind: UpstreamKind = "ordinary"
    role: EngineRole = "both"
    phase: Phase = "serving"
    running: int = 0
    open_order: bool = False
    target: EngineRole | None = None
    loaded: tuple[str, ...] = ()
    notice_seconds: float | None = None
    withdrawn_for: float | None = None
    down_for: float = 0.0

    @property
    def withdrawn(self) -> bool:
        """Tell whether it is to be stopped."""
        return self.withdrawn_for is not None

    @property
    def present(self) -> bool:
        """Tell whether it takes work now or will after a change."""
        return not self.withdrawn and self.phase in ("serving", "draining", "changing")


class Demand(msgspec.Struct, frozen=True):
    """Demand of a pool in tokens/s, with one standard deviation of each figure.

    ``prompt`` is the mean length of a prompt in tokens, 0 if unknown.
    """

    prefill: float = 0.0
    decode: float = 0.0
    prefill_error: float = 0.0
    decode_error: float = 0.0
    prompt: float = 0.0

    def raised(self, deviations: float) -> "Demand":
        """Return the demand plus some standard deviations.

        :param deviations: how many; negative values lower the demand, down to zero.
        """
        return Demand(
            max(0.0, self.prefill + deviations * self.prefill_error),
            max(0.0, self.decode + deviations * self.decode_error),
            self.prefill_error,
            self.decode_error,
            self.prompt,
        )


class Rates(msgspec.Struct, frozen=True):
    """What one engine does, in tokens/s, and how long a role change takes.

    An engine that does both at once reaches these parts of its rates for one task.
    """

    prefill: float = 20000.0
    decode: float = 600.0
    role_change_seconds: float = 8.0
    mixed_prefill: float = 0.55
    mixed_decode: float = 0.30


class Split(msgspec.Struct, frozen=True):
    """How many engines have each role."""

    prefill: int = 0
    decode: int = 0
    both: int = 0

    @property
    def total(self) -> int:
        """Return the number of engines."""
        return self.prefill + self.decode + self.both


def split_of(engines: Iterable[Engine]) -> Split:
    """Count the roles of the engines that are present, once their changes are done."""
    roles = [engine.target or engine.role for engine in engines if engine.present]
    return Split(*(roles.count(role) for role in ("prefill", "decode", "both")))
