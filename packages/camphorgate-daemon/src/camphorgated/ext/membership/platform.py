"""Polls the platform's lists of instances and of upstreams."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from camphorgate.clock import Clock
from camphorgate.http_client import build_http_client
from camphorgate.log import log_event

POLL_PERIOD_SECONDS = 2.0
REQUEST_TIMEOUT_SECONDS = 2.0

# Limit of the average transfer rate of one list: after a full response, the next poll
# is delayed accordingly. An unchanged list costs little if the platform supports entity
# tags, and is then polled every period.
MAX_LIST_BYTES_PER_SECOND = 20000.0


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
    """The lists as last read; they are kept while the platform is unreachable."""

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
        "_tags_by_path",
    )

    def __init__(
        self,
        address: str,
        clock: Clock,
        generator: random.Random,
        on_instances: Callable[[], None],
        on_upstreams: Callable[[], None],
    ) -> None:
        """Create empty lists, which the poll methods fill.

        :param on_instances: called after each read of the instances.
        :param on_upstreams: called when the list of upstreams changed.
        """
        self.instances_by_id: dict[str, PlatformInstance] = {}
        self.upstreams: tuple[PlatformUpstream, ...] = ()
        self.read_at: float | None = None
        self._address = address
        self._http = build_http_client(
            2, REQUEST_TIMEOUT_SECONDS, REQUEST_TIMEOUT_SECONDS
        )
        self._clock = clock
        self._random = generator
        self._on_instances = on_instances
        self._on_upstreams = on_upstreams
        self._tags_by_path: dict[str, str] = {}

    async def poll_instances(self, should_poll: Callable[[], bool]) -> None:
        """Poll the list of instances until cancelled.

        :param wanted: whether this instance polls now. In a large system a few
            instances do, and the others learn from the records in beats.
        """
        while True:
            size = 0
            if should_poll():
                platform_list, size = await self._fetch("/instances", _Instances)
                if platform_list is not None:
                    self.instances_by_id = {
                        item.id: item for item in platform_list.instances
                    }
                if size is not None:
                    self.read_at = self._clock.monotonic()
                    self._on_instances()
            await self._sleep(size)

    async def poll_upstreams(self) -> None:
        """Poll the list of upstreams until cancelled."""
        while True:
            platform_list, size = await self._fetch("/upstreams", _Upstreams)
            if platform_list is not None and platform_list.upstreams != self.upstreams:
                self.upstreams = platform_list.upstreams
                self._on_upstreams()
            await self._sleep(size)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def _fetch(self, path: str, list_type: type) -> tuple[Any, int | None]:
        """Fetch a list and return it with its size in bytes.

        :returns: no list and size 0 if it is unchanged, no list and no size if it
            cannot be read; the last list is kept then.
        """
        headers = {}
        if path in self._tags_by_path:
            headers["if-none-match"] = self._tags_by_path[path]
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                url = f"http://{self._address}{path}"
                response = await self._http.get(url, headers=headers)
                content = await response.content()
            if response.status_code == 304:
                return None, 0
            if response.status_code != 200:
                raise ValueError(f"status {response.status_code}")
            platform_list = msgspec.json.decode(content, type=list_type)
            tag = response.headers.get("etag")
            if tag:
                self._tags_by_path[path] = tag
            return platform_list, len(content)
        except Exception as error:
            # All failures of the connection or the response are handled alike.
            log_event("platform_list_unread", level="DEBUG", path=path, error=error)
            return None, None

    async def _sleep(self, size: int | None) -> None:
        seconds = max(POLL_PERIOD_SECONDS, (size or 0) / MAX_LIST_BYTES_PER_SECOND)
        await asyncio.sleep(seconds * self._random.uniform(0.75, 1.25))
