"""State of a pool as input to the planners."""

from collections.abc import Iterable
from typing import Literal

import msgspec

from camphorgate.manifest import EngineRole, UpstreamKind

# serving: accepts requests. draining: finishes its requests and accepts no new ones.
# changing: is carrying out a role order. starting: ordered but not available yet.
# leaving: has an eviction notice or was withdrawn. down: does not answer.
Phase = Literal["serving", "draining", "changing", "starting", "leaving", "down"]


class Engine(msgspec.Struct, frozen=True):
    """One upstream of a pool.

    ``requests_in_flight`` is the number of requests in flight. ``has_open_order`` is
    set while an order to the upstream is neither confirmed nor abandoned.
    ``target_role`` is the role that it is being changed to. ``notice_seconds`` is the
    time left of an eviction notice. ``withdrawn_seconds`` is the time in seconds since
    it was withdrawn in order to be stopped, ``None`` if it was not. ``down_seconds`` is
    how long it has been down, in seconds.
    """

    id: str
    availability_zone: str = ""
    kind: UpstreamKind = "ordinary"
    role: EngineRole = "both"
    phase: Phase = "serving"
    requests_in_flight: int = 0
    has_open_order: bool = False
    target_role: EngineRole | None = None
    loaded_artifacts: tuple[str, ...] = ()
    notice_seconds: float | None = None
    withdrawn_seconds: float | None = None
    down_seconds: float = 0.0

    @property
    def withdrawn(self) -> bool:
        """Return whether the upstream was withdrawn and is to be stopped."""
        return self.withdrawn_seconds is not None

    @property
    def present(self) -> bool:
        """Return whether it accepts requests now or will after a role change."""
        return not self.withdrawn and self.phase in ("serving", "draining", "changing")


class Demand(msgspec.Struct, frozen=True):
    """Demand of a pool in tokens/s, with the standard deviation of each rate.

    ``prompt`` is the mean prompt length in tokens, 0 if unknown.
    """

    prefill: float = 0.0
    decode: float = 0.0
    prefill_error: float = 0.0
    decode_error: float = 0.0
    prompt: float = 0.0

    def plus_deviations(self, deviations: float) -> "Demand":
        """Return the demand raised by a number of standard deviations.

        :param deviations: negative values lower the demand, down to zero.
        """
        return Demand(
            max(0.0, self.prefill + deviations * self.prefill_error),
            max(0.0, self.decode + deviations * self.decode_error),
            self.prefill_error,
            self.decode_error,
            self.prompt,
        )


class EngineRates(msgspec.Struct, frozen=True):
    """Rates of one engine in tokens/s, and the duration of a role change.

    ``mixed_prefill`` and ``mixed_decode`` are the shares of these rates that an engine
    reaches while it does prefill and decode at the same time.
    """

    prefill: float = 20000.0
    decode: float = 600.0
    role_change_seconds: float = 8.0
    mixed_prefill: float = 0.55
    mixed_decode: float = 0.30


class RoleCounts(msgspec.Struct, frozen=True):
    """Number of engines with each role."""

    prefill: int = 0
    decode: int = 0
    both: int = 0

    @property
    def total(self) -> int:
        """Return the number of engines."""
        return self.prefill + self.decode + self.both


def count_roles(engines: Iterable[Engine]) -> RoleCounts:
    """Count the present engines by role, as if all role changes were done."""
    roles = [engine.target_role or engine.role for engine in engines if engine.present]
    return RoleCounts(*(roles.count(role) for role in ("prefill", "decode", "both")))
