"""A soak that disrupts its daemons, and judges what happens at the others."""

import sys
import time
from pathlib import Path

from tests.soak.run import Soak


class DisruptedSoak(Soak):
    """A run whose daemons are killed, stopped, paused and cut off from the store."""

    def __init__(self, seed: int, seconds: float, folder: Path, daemons: int) -> None:
        super().__init__(seed, seconds, folder)
        self.daemon_count = daemons
        # Times of the disruptions by the name of what is disrupted.
        self.disrupted_at: dict[str, list[float]] = {}

    async def _start_all(self) -> None:
        """Start the store, the upstreams and the daemons."""
        python = [sys.executable, "-m", "camphorgate_standins.hosting_store"]
        self.commands["store"] = [*python, "--address", self.store_address]
        await self._spawn("store")
        await self._retry_until_true(
            lambda: self._put_in_store("op/config", self._configuration())
        )
        await self._start_upstreams()
        for number in range(self.daemon_count):
            await self._start_daemon(number)
        for address in self.caller_addresses:
            await self._retry_until_true(
                lambda address=address: self._is_ready(address)
            )

    async def _start_upstreams(self) -> None:
        """Start the upstreams and list them."""
        raise NotImplementedError

    def _draw_fault(self, faults: tuple[str, ...]) -> tuple[str, float, int]:
        """Return a random fault, its duration in seconds and the daemon it is for."""
        fault = self.random.choice(faults)
        seconds = self.random.uniform(0.3, 2.0)
        return fault, seconds, self.random.randrange(self.daemon_count)

    async def _disrupt_daemon(self, fault: str, seconds: float, number: int) -> None:
        """Kill, stop or pause a daemon, or silence the store for it."""
        name = f"entry-{number}"
        self._disrupt(name)
        if fault == "store_silent":
            await self._inject_network_fault(
                self.store_proxies[number], "silent", seconds
            )
        else:
            await self._signal_daemon(fault, name, seconds)
        self._disrupt(name)

    def _disrupt(self, name: str) -> None:
        """Record that something is or was disrupted."""
        self.disrupted_at.setdefault(name, []).append(time.time())

    def _disrupted(self, name: str, at: float, seconds: float) -> bool:
        """Return whether something was disrupted around a time."""
        return any(
            -0.1 <= at - since <= seconds for since in self.disrupted_at.get(name, ())
        )
