"""HTTP transport to the KV service, with rate limit, failover and circuit breaker."""

import asyncio
import random
from collections import Counter

import msgspec
from aiosonic.exceptions import (
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)
from aiosonic.timeout import Timeouts

from camphorgate.clock import Clock
from camphorgate.http_client import RESPONSE_ERRORS, build_http_client
from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.rate_limit import Backoff, CallRateLimiter, CircuitBreaker, Priority

BREAKER_FAILURE_THRESHOLD = 3
INITIAL_PROBE_DELAY_SECONDS = 0.2
# Upper bound on the time between the recovery of the service and the next probe. Until
# that probe, a process that no majority of peers reaches refuses keyed requests. 750
# processes that probe every 3 s on average make 250 calls a second, an eighth of the
# capacity of the service.
MAX_PROBE_DELAY_SECONDS = 4.0
MAX_WAITING_CALLS = 256
_MAX_CONNECTIONS = 16
# Errors raised before a connection exists, so that nothing was sent.
_NOT_SENT_ERRORS = (
    ConnectTimeout,
    ConnectionPoolAcquireTimeout,
    ConnectionRefusedError,
)
_BREAKER_OPEN = "circuit breaker open after repeated failures"


class Transport:
    """HTTP client for all addresses; a failed address moves to the end of the list."""

    __slots__ = (
        "_addresses",
        "_clock",
        "_http",
        "_timeout_seconds",
        "_waiting_calls",
        "budget",
        "breaker",
        "failures_by_kind",
    )

    def __init__(
        self,
        addresses: tuple[str, ...],
        calls_per_second: float,
        timeout_seconds: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the client; connections are opened on demand.

        :param addresses: ``host:port`` of each address of the service.
        :param timeout_seconds: timeout of one attempt at one address.
        """
        self._addresses = list(addresses)
        rng.shuffle(self._addresses)
        self._clock = clock
        self._timeout_seconds = timeout_seconds
        self._http = build_http_client(
            _MAX_CONNECTIONS, timeout_seconds, timeout_seconds
        )
        self._waiting_calls = 0
        self.budget = CallRateLimiter(calls_per_second, clock.monotonic())
        backoff = Backoff(INITIAL_PROBE_DELAY_SECONDS, MAX_PROBE_DELAY_SECONDS, rng)
        self.breaker = CircuitBreaker(BREAKER_FAILURE_THRESHOLD, backoff)
        self.failures_by_kind: Counter[str] = Counter()

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def send_with_failover(
        self, path: str, body: dict, priority: Priority
    ) -> dict:
        """Send a call that is safe to repeat, trying each address in turn.

        :raises KvUnavailable: if no address responded.
        """
        # With a single address, the second attempt handles a pooled connection that
        # the service has closed in the meantime.
        attempts = max(2, len(self._addresses))
        while True:
            attempts -= 1
            try:
                return await self.send(path, body, priority)
            except (KvOutcomeUnknown, KvUnavailable) as error:
                if not attempts or self.breaker.is_open:
                    raise KvUnavailable(error.message) from None

    async def send(self, path: str, body: dict, priority: Priority) -> dict:
        """Send a call once, to one address.

        :raises KvUnavailable: if the call definitely had no effect.
        :raises KvOutcomeUnknown: if it may have taken effect.
        :raises KvRefused: if the service rejected it as invalid.
        """
        kind = path.rsplit("/", 1)[-1]
        await self._admit_call(kind, priority)
        address = self._addresses[0]
        try:
            async with asyncio.timeout(self._timeout_seconds):
                status, payload = await self._post(address, path, body)
            decoded = self._decode(path, status, payload)
        except _NOT_SENT_ERRORS as error:
            self._record_failure(kind, address)
            raise KvUnavailable(f"{path}: {address}: {error!r}") from None
        except RESPONSE_ERRORS as error:
            self._record_failure(kind, address)
            raise KvOutcomeUnknown(f"{path}: {address}: {error!r}") from None
        self.breaker.record_success()
        return decoded

    async def open_stream(self, path: str, body: dict, priority: Priority):
        """Send a call and return its streaming response.

        :raises KvUnavailable: if the stream could not be opened.
        """
        kind = path.rsplit("/", 1)[-1]
        await self._admit_call(kind, priority)
        address = self._addresses[0]
        try:
            async with asyncio.timeout(self._timeout_seconds):
                response = await self._request(address, path, body, stream=True)
            if response.status_code != 200:
                await response.aclose()
                raise ValueError(f"status {response.status_code}")
        except RESPONSE_ERRORS as error:
            self._record_failure(kind, address)
            raise KvUnavailable(f"{path}: {address}: {error!r}") from None
        self.breaker.record_success()
        return response

    async def _admit_call(self, kind: str, priority: Priority) -> None:
        now = self._clock.monotonic()
        if not self.breaker.allows_call(now):
            raise KvUnavailable(f"{kind}: {_BREAKER_OPEN}")
        if self._waiting_calls >= MAX_WAITING_CALLS:
            raise KvUnavailable(f"{kind}: too many calls wait for the rate limit")
        deadline = now + self._timeout_seconds
        self._waiting_calls += 1
        try:
            while wait := self.budget.try_acquire(
                kind, priority, self._clock.monotonic()
            ):
                if self._clock.monotonic() + wait > deadline:
                    raise KvUnavailable(
                        f"{kind}: the wait for the rate limit exceeds the timeout"
                    )
                await asyncio.sleep(wait)
        finally:
            self._waiting_calls -= 1
        # Only a call that is sent may use up the probe.
        if not self.breaker.admits_call(self._clock.monotonic()):
            raise KvUnavailable(f"{kind}: {_BREAKER_OPEN}")

    async def _post(self, address: str, path: str, body: dict) -> tuple[int, bytes]:
        response = await self._request(address, path, body)
        return response.status_code, await response.content()

    async def _request(self, address: str, path: str, body: dict, stream: bool = False):
        # The JSON gateway uses only POST, which aiosonic never retries by itself.
        return await self._http.request(
            f"http://{address}{path}",
            "POST",
            headers={"content-type": "application/json"},
            data=msgspec.json.encode(body),
            timeouts=Timeouts(
                self._timeout_seconds,
                self._timeout_seconds,
                self._timeout_seconds,
                None,
            ),
            stream=stream,
        )

    def _decode(self, path: str, status: int, payload: bytes) -> dict:
        if status >= 500:
            raise ValueError(f"status {status}")
        decoded = msgspec.json.decode(payload)
        if status >= 400:
            self.breaker.record_success()
            message = decoded.get("error") or decoded.get("message") or status
            raise KvRefused(f"{path}: {message}")
        return decoded

    def _record_failure(self, kind: str, address: str) -> None:
        self.failures_by_kind[kind] += 1
        self.breaker.record_failure(self._clock.monotonic())
        if self._addresses[0] == address:
            self._addresses.append(self._addresses.pop(0))
