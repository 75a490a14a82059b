"""The external systems that take orders, by the first part of the duty's name."""

import asyncio
from typing import Any, Protocol

import msgspec
from aiosonic.exceptions import (
    AiosonicError,
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)

from camphorgate.application import Application
from camphorgate.authority.errors import OrderRefused, OrderUnanswered
from camphorgate.authority.orders import Order
from camphorgate.connections import build_http_client
from camphorgate.registry import Registry

# Well below the drain time, which starts when an attempt is given up.
ORDER_SECONDS = 3.0
# Code of a refusal because of an old fencing number.
FENCED = "order_fenced"
_CONNECTIONS = 16
_NEVER_SENT = (ConnectTimeout, ConnectionPoolAcquireTimeout, ConnectionRefusedError)
_FAILURES = (AiosonicError, OSError, EOFError, TimeoutError, ValueError)


class OrderUnsent(OrderUnanswered):
    """No connection could be opened, so the order certainly did not leave."""

    code = "order_unsent"


class Sending(msgspec.Struct, frozen=True):
    """Under whose authority an order is sent."""

    duty: str
    epoch: int
    sender: str


class Receiver(Protocol):
    """How orders of one kind of duty reach their receiver."""

    def honours_fencing(self, duty: str) -> bool:
        """Tell whether the receiver refuses old fencing numbers."""

    def known(self, duty: str, target: str) -> bool:
        """Tell whether the receiver exists."""

    async def send(self, sending: Sending, order: Order) -> None:
        """Send an order once.

        :raises OrderRefused: if the receiver refused it.
        :raises OrderUnsent: if it certainly did not leave.
        :raises OrderUnanswered: if it may have arrived.
        """

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Read whether an order took effect; ``None`` if that cannot be read."""


RECEIVERS: Registry[type] = Registry("receiver")


class _HttpReceiver:
    """What the receivers have in common: one HTTP client."""

    def __init__(self, app: Application) -> None:
        """Prepare the client."""
        self.app = app
        self._http = build_http_client(_CONNECTIONS, ORDER_SECONDS, ORDER_SECONDS)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def _call(
        self, method: str, url: str, body: Any = None, sender: str = ""
    ) -> tuple[int, Any]:
        headers = {"content-type": "application/json", "x-sender": sender}
        data = msgspec.json.encode(body) if body is not None else None
        async with asyncio.timeout(ORDER_SECONDS):
            response = await self._http.request(url, method, headers=headers, data=data)
            content = await response.content()
        if response.status_code >= 500:
            raise ValueError(f"status {response.status_code}")
        return response.status_code, msgspec.json.decode(content or b"null")

    async def _order(self, method: str, url: str, body: Any, sender: str) -> None:
        try:
            status, answer = await self._call(method, url, body, sender)
        except _NEVER_SENT as error:
            raise OrderUnsent(f"{url}: {error!r}") from None
        except _FAILURES as error:
            raise OrderUnanswered(f"{url}: {error!r}") from None
        if status >= 400:
            code = FENCED if status == 409 else None
            raise OrderRefused(f"{url}: status {status}: {answer}", code)

    async def _read(self, url: str) -> tuple[int, Any]:
        try:
            return await self._call("GET", url)
        except _FAILURES:
            return 0, None


@RECEIVERS.register("engines")
class EngineReceiver(_HttpReceiver):
    """Engines of one pool; the target is an upstream's id."""

    def honours_fencing(self, duty: str) -> bool:
        """Tell what the manifest says about the pool."""
        index = self.app.service("configuration").index
        pool = index.pools_by_name.get(duty.partition("/")[2]) if index else None
        return bool(pool and pool.honours_fencing)

    def known(self, duty: str, target: str) -> bool:
        """Tell whether the manifest or the platform lists the engine."""
        return self._address(duty, target) is not None

    async def send(self, sending: Sending, order: Order) -> None:
        """Post the order with the fencing number and the order's number."""
        address = self._address(sending.duty, order.receiver)
        if address is None:
            raise OrderUnsent(f"engine {order.receiver} is not listed")
        body = {
            **order.body,
            "fencing": sending.epoch,
            "sequence": order.number,
            "order_id": order.order_id,
            "kind": order.kind,
        }
        url = f"http://{address}/control/orders"
        await self._order("POST", url, body, sending.sender)

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Compare the engine's role, models and last order with the order."""
        address = self._address(duty, order.receiver)
        if address is None:
            return None
        status, state = await self._read(f"http://{address}/control/state")
        if status != 200:
            return None
        last = state.get("last_order") or {}
        if last.get("order_id") == order.order_id:
            return True
        model = order.body.get("model")
        if order.kind == "load_model":
            return model in state.get("models", ())
        if order.kind == "unload_model":
            return model not in state.get("models", ())
        if order.kind == "set_role":
            return state.get("role") == order.body.get("role")
        return False

    def _address(self, duty: str, target: str) -> str | None:
        pool_name = duty.partition("/")[2]
        index = self.app.service("configuration").index
        pool = index.pools_by_name.get(pool_name) if index else None
        for upstream in pool.upstreams if pool else ():
            if upstream.id == target:
                return upstream.address
        for upstream in self.app.service("membership").platform_upstreams():
            if upstream.id == target and upstream.state != "gone":
                return upstream.address
        return None


@RECEIVERS.register("capacity")
class CapacityReceiver(_HttpReceiver):
    """The platform's capacity interface, which ignores fencing."""

    def honours_fencing(self, duty: str) -> bool:
        """Tell that it does not."""
        return False

    def known(self, duty: str, target: str) -> bool:
        """Tell that it always exists."""
        return True

    async def send(self, sending: Sending, order: Order) -> None:
        """Post the order; the interface counts an order id once."""
        body = {**order.body, "order_id": order.order_id}
        # In an order, ``kind`` is the kind of the order.
        if "upstream_kind" in body:
            body["kind"] = body.pop("upstream_kind")
        url = f"http://{self._address}/capacity/{order.kind}"
        await self._order("POST", url, body, sending.sender)

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Look for the order's id among the orders that were taken."""
        status, answer = await self._read(f"http://{self._address}/capacity/orders")
        if status != 200:
            return None
        return any(item["order_id"] == order.order_id for item in answer["orders"])

    @property
    def _address(self) -> str:
        return self.app.settings.platform.capacity_address


@RECEIVERS.register("usage")
class UsageReceiver(_HttpReceiver):
    """The platform's usage interface, which ignores fencing."""

    def honours_fencing(self, duty: str) -> bool:
        """Tell that it does not."""
        return False

    def known(self, duty: str, target: str) -> bool:
        """Tell that it always exists."""
        return True

    async def send(self, sending: Sending, order: Order) -> None:
        """Put the figures of a window."""
        await self._order(
            "PUT", self._url(order), order.body["figures"], sending.sender
        )

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Read whether the window was accepted."""
        status, _ = await self._read(self._url(order))
        return {200: True, 404: False}.get(status)

    def _url(self, order: Order) -> str:
        address = self.app.settings.platform.usage_address
        return f"http://{address}/usage/windows/{order.body['window']}"
