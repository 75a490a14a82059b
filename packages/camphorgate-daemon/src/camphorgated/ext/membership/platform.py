"""Polls the platform's lists of instances and of upstreams."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from camphorgate.clock import Clock
from camphorgate.connections import build_http_client
from camphorgate.log import log_event

PERIOD_SECONDS = 2.0
TIMEOUT_SECONDS = 2.0

# A list costs at most this on average; a large list is read less often.
LIST_BYTES_PER_SECOND = 2000.0


class PlatformInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list; ``state`` is live, leaving or gone."""

    id: str
    address: str = ""
    zone: str = ""
    state: str = "live"


class PlatformUpstream(msgspec.Struct, frozen=True):
    """An upstream in the platform's list."""

    id: str
    address: str
    pool: str
    zone: str
    kind: str = "ordinary"
    state: str = "live"


class _Instances(msgspec.Struct):
    instances: tuple[PlatformInstance, ...]


class _Upstreams(msgspec.Struct):
    upstreams: tuple[PlatformUpstream, ...]


class PlatformLists:
    """The newest lists; an unreachable platform leaves the last ones in place."""

    __slots__ = (
        "instances_by_id",
        "upstreams",
        "read_at",
        "_address",
        "_http",
        "_clock",
        "_random",
        "_on_instances",
        "_on_upstreams",
    )

    def __init__(
        self,
        address: str,
        clock: Clock,
        generator: random.Random,
        on_instances: Callable[[], None],
        on_upstreams: Callable[[], None],
    ) -> None:
        """Prepare the polls.

        :param on_instances: called after each read of the instances.
        :param on_upstreams: called when the list of upstreams changed.
        """
        self.instances_by_id: dict[str, PlatformInstance] = {}
        self.upstreams: tuple[PlatformUpstream, ...] = ()
        self.read_at: float | None = None
        self._address = address
        self._http = build_http_client(2, TIMEOUT_SECONDS, TIMEOUT_SECONDS)
        self._clock = clock
        self._random = generator
        self._on_instances = on_instances
        self._on_upstreams = on_upstreams

    async def poll_instances(self) -> None:
        """Read the instances for ever."""
        while True:
            body = await self._read("/instances", _Instances)
            if body is not None:
                found, size = body
                self.instances_by_id = {item.id: item for item in found.instances}
                self.read_at = self._clock.monotonic()
                self._on_instances()
            await self._pause(size if body else 0)

    async def poll_upstreams(self) -> None:
        """Read the upstreams for ever."""
        while True:
            body = await self._read("/upstreams", _Upstreams)
            if body is not None:
                found, size = body
                if found.upstreams != self.upstreams:
                    self.upstreams = found.upstreams
                    self._on_upstreams()
            await self._pause(size if body else 0)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def _read(self, path: str, kind: type):
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                response = await self._http.get(f"http://{self._address}{path}")
                content = await response.content()
            if response.status_code != 200:
                raise ValueError(f"status {response.status_code}")
            return msgspec.json.decode(content, type=kind), len(content)
        except Exception as error:
            # Any failure means the same: the last list stays in place.
            log_event("platform_list_unread", level="DEBUG", path=path, error=error)
            return None

    async def _pause(self, size: int) -> None:
        seconds = max(PERIOD_SECONDS, size / LIST_BYTES_PER_SECOND)
        await asyncio.sleep(seconds * self._random.uniform(0.75, 1.25))
