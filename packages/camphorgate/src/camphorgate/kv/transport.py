"""Sends calls to the service's addresses, within the budget and the deadline."""

import asyncio
import random
from collections import Counter

import msgspec
from aiosonic.exceptions import (
    AiosonicError,
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)
from aiosonic.timeout import Timeouts

from camphorgate.clock import Clock
from camphorgate.connections import build_http_client
from camphorgate.kv.budget import Backoff, CallBudget, Outage, Priority
from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused, KvUnavailable

OUTAGE_AFTER_FAILURES = 3
FIRST_RETURN_SECONDS = 0.2
# A process is back at most this long after the service. One that no majority of peers
# reaches refuses keyed requests until then. 750 processes that probe every 3 s on
# average make 250 calls a second, an eighth of what the service takes.
LONGEST_RETURN_SECONDS = 4.0
MAX_WAITING_CALLS = 256
_CONNECTIONS = 16
# Errors raised before a connection exists: nothing was sent.
_NEVER_SENT = (ConnectTimeout, ConnectionPoolAcquireTimeout, ConnectionRefusedError)
_FAILURES = (AiosonicError, OSError, EOFError, TimeoutError, ValueError)


class Transport:
    """One HTTP client for all addresses; a failed address goes to the end."""

    __slots__ = (
        "_addresses",
        "_clock",
        "_http",
        "_timeout",
        "_waiting",
        "budget",
        "outage",
        "failures_by_kind",
    )

    def __init__(
        self,
        addresses: tuple[str, ...],
        calls_per_second: float,
        timeout_seconds: float,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Prepare the client; connections are opened on demand.

        :param addresses: ``host:port`` of each address of the service.
        :param timeout_seconds: bound on one attempt at one address.
        """
        self._addresses = list(addresses)
        generator.shuffle(self._addresses)
        self._clock = clock
        self._timeout = timeout_seconds
        self._http = build_http_client(_CONNECTIONS, timeout_seconds, timeout_seconds)
        self._waiting = 0
        self.budget = CallBudget(calls_per_second, clock.monotonic())
        backoff = Backoff(FIRST_RETURN_SECONDS, LONGEST_RETURN_SECONDS, generator)
        self.outage = Outage(OUTAGE_AFTER_FAILURES, backoff)
        self.failures_by_kind: Counter[str] = Counter()

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def read(self, path: str, body: dict, priority: Priority) -> dict:
        """Send a call that changes nothing, to each address in turn.

        :raises KvUnavailable: if no address answered.
        """
        # With one address, the second attempt covers a pooled connection that the
        # service closed meanwhile.
        attempts = max(2, len(self._addresses))
        while True:
            attempts -= 1
            try:
                return await self.send(path, body, priority)
            except (KvOutcomeUnknown, KvUnavailable) as error:
                if not attempts or self.outage.active:
                    raise KvUnavailable(error.message) from None

    async def send(self, path: str, body: dict, priority: Priority) -> dict:
        """Send a call once, to one address.

        :raises KvUnavailable: if it certainly had no effect.
        :raises KvOutcomeUnknown: if it may have had an effect.
        :raises KvRefused: if the service refused it.
        """
        kind = path.rsplit("/", 1)[-1]
        await self._admit(kind, priority)
        address = self._addresses[0]
        try:
            async with asyncio.timeout(self._timeout):
                status, raw = await self._post(address, path, body)
            answer = self._decode(path, status, raw)
        except _NEVER_SENT as error:
            self._failed(kind, address)
            raise KvUnavailable(f"{path}: {address}: {error!r}") from None
        except _FAILURES as error:
            self._failed(kind, address)
            raise KvOutcomeUnknown(f"{path}: {address}: {error!r}") from None
        self.outage.succeeded()
        return answer

    async def open_stream(self, path: str, body: dict, priority: Priority):
        """Send a call whose answer is a stream and return the response.

        :raises KvUnavailable: if the stream could not be opened.
        """
        kind = path.rsplit("/", 1)[-1]
        await self._admit(kind, priority)
        address = self._addresses[0]
        try:
            async with asyncio.timeout(self._timeout):
                response = await self._request(address, path, body, stream=True)
            if response.status_code != 200:
                await response.aclose()
                raise ValueError(f"status {response.status_code}")
        except _FAILURES as error:
            self._failed(kind, address)
            raise KvUnavailable(f"{path}: {address}: {error!r}") from None
        self.outage.succeeded()
        return response

    async def _admit(self, kind: str, priority: Priority) -> None:
        now = self._clock.monotonic()
        if not self.outage.allows(now):
            raise KvUnavailable(f"{kind}: the service has not answered lately")
        if self._waiting >= MAX_WAITING_CALLS:
            raise KvUnavailable(f"{kind}: too many calls wait for the budget")
        deadline = now + self._timeout
        self._waiting += 1
        try:
            while wait := self.budget.take(kind, priority, self._clock.monotonic()):
                if self._clock.monotonic() + wait > deadline:
                    raise KvUnavailable(f"{kind}: no budget within the deadline")
                await asyncio.sleep(wait)
        finally:
            self._waiting -= 1

    async def _post(self, address: str, path: str, body: dict) -> tuple[int, bytes]:
        response = await self._request(address, path, body)
        return response.status_code, await response.content()

    async def _request(self, address: str, path: str, body: dict, stream: bool = False):
        # The gateway's calls are all POST, which aiosonic never repeats by itself.
        return await self._http.request(
            f"http://{address}{path}",
            "POST",
            headers={"content-type": "application/json"},
            data=msgspec.json.encode(body),
            timeouts=Timeouts(self._timeout, self._timeout, self._timeout, None),
            stream=stream,
        )

    def _decode(self, path: str, status: int, raw: bytes) -> dict:
        if status >= 500:
            raise ValueError(f"status {status}")
        answer = msgspec.json.decode(raw)
        if status >= 400:
            self.outage.succeeded()
            message = answer.get("error") or answer.get("message") or status
            raise KvRefused(f"{path}: {message}")
        return answer

    def _failed(self, kind: str, address: str) -> None:
        self.failures_by_kind[kind] += 1
        self.outage.failed(self._clock.monotonic())
        if self._addresses[0] == address:
            self._addresses.append(self._addresses.pop(0))
