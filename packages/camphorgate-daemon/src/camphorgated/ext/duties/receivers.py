"""Receivers of orders, registered by the first part of the duty's name."""

import asyncio
from typing import Any, Protocol

import msgspec
from aiosonic.exceptions import (
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)

from camphorgate.application import Application
from camphorgate.authority.errors import OrderRefused, OrderUnanswered
from camphorgate.authority.orders import Order
from camphorgate.http_client import RESPONSE_ERRORS, build_http_client
from camphorgate.registry import Registry

# Must stay well below the drain time, which starts when an attempt times out.
ORDER_TIMEOUT_SECONDS = 3.0
# Error code of an order refused because of an outdated fencing number.
FENCED_CODE = "order_fenced"
_MAX_CONNECTIONS = 16
_NOT_SENT_ERRORS = (
    ConnectTimeout,
    ConnectionPoolAcquireTimeout,
    ConnectionRefusedError,
)


class OrderUnsent(OrderUnanswered):
    """The order was certainly not sent, because no connection could be opened."""

    code = "order_unsent"


class Sending(msgspec.Struct, frozen=True):
    """The duty, epoch and sender under whose authority an order is sent."""

    duty: str
    epoch: int
    sender: str


class Receiver(Protocol):
    """Sends the orders of one kind of duty to the system that executes them."""

    def honours_fencing(self, duty: str) -> bool:
        """Return whether the receiver refuses outdated fencing numbers."""

    def is_known(self, duty: str, target: str) -> bool:
        """Return whether the target of an order exists."""

    async def send(self, context: Sending, order: Order) -> None:
        """Send an order once.

        :raises OrderRefused: if the receiver refused it.
        :raises OrderUnsent: if it was certainly not sent.
        :raises OrderUnanswered: if it may have arrived.
        """

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Return whether an order took effect; ``None`` if that cannot be read."""


RECEIVERS: Registry[type] = Registry("receiver")


class _HttpReceiver:
    """Base class of receivers that are reached over HTTP."""

    def __init__(self, app: Application) -> None:
        """Create the HTTP client."""
        self.app = app
        self._http = build_http_client(
            _MAX_CONNECTIONS, ORDER_TIMEOUT_SECONDS, ORDER_TIMEOUT_SECONDS
        )

    async def close(self) -> None:
        """Close the HTTP client."""
        await self._http.aclose()

    async def _call(
        self, method: str, url: str, body: Any = None, sender: str = ""
    ) -> tuple[int, Any]:
        headers = {"content-type": "application/json", "x-sender": sender}
        data = msgspec.json.encode(body) if body is not None else None
        async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
            response = await self._http.request(url, method, headers=headers, data=data)
            content = await response.content()
        if response.status_code >= 500:
            raise ValueError(f"status {response.status_code}")
        return response.status_code, msgspec.json.decode(content or b"null")

    async def _send_order(self, method: str, url: str, body: Any, sender: str) -> None:
        try:
            status, answer = await self._call(method, url, body, sender)
        except _NOT_SENT_ERRORS as error:
            raise OrderUnsent(f"{url}: {error!r}") from None
        except RESPONSE_ERRORS as error:
            raise OrderUnanswered(f"{url}: {error!r}") from None
        if status >= 400:
            code = FENCED_CODE if status == 409 else None
            raise OrderRefused(f"{url}: status {status}: {answer}", code)

    async def _get(self, url: str) -> tuple[int, Any]:
        try:
            return await self._call("GET", url)
        except RESPONSE_ERRORS:
            return 0, None


@RECEIVERS.register("engines")
class EngineReceiver(_HttpReceiver):
    """The engines of a pool; the target is an upstream id."""

    def honours_fencing(self, duty: str) -> bool:
        """Return whether the manifest says that the pool honours fencing."""
        index = self.app.service("configuration").index
        pool = index.pools_by_name.get(duty.partition("/")[2]) if index else None
        return bool(pool and pool.honours_fencing)

    def is_known(self, duty: str, target: str) -> bool:
        """Return whether the manifest or the platform lists the engine."""
        return self._address(duty, target) is not None

    async def send(self, context: Sending, order: Order) -> None:
        """Post the order with the fencing number and its sequence number."""
        address = self._address(context.duty, order.receiver)
        if address is None:
            raise OrderUnsent(f"engine {order.receiver} is not listed")
        body = {
            **order.body,
            "fencing": context.epoch,
            "sequence": order.number,
            "order_id": order.order_id,
            "kind": order.kind,
        }
        url = f"http://{address}/control/orders"
        await self._send_order("POST", url, body, context.sender)

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Compare the engine's role, models and last order with the order."""
        address = self._address(duty, order.receiver)
        if address is None:
            return None
        status, state = await self._get(f"http://{address}/control/state")
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
        """Return false: fencing numbers are ignored."""
        return False

    def is_known(self, duty: str, target: str) -> bool:
        """Return true: there is a single endpoint."""
        return True

    async def send(self, context: Sending, order: Order) -> None:
        """Post the order; the interface deduplicates orders by id."""
        body = {**order.body, "order_id": order.order_id}
        # In the journal ``kind`` is the kind of the order; the interface expects the
        # kind of the upstream there.
        if "upstream_kind" in body:
            body["kind"] = body.pop("upstream_kind")
        url = f"http://{self._address}/capacity/{order.kind}"
        await self._send_order("POST", url, body, context.sender)

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Look for the order id among the orders that the interface accepted."""
        status, answer = await self._get(f"http://{self._address}/capacity/orders")
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
        """Return false: fencing numbers are ignored."""
        return False

    def is_known(self, duty: str, target: str) -> bool:
        """Return true: there is a single endpoint."""
        return True

    async def send(self, context: Sending, order: Order) -> None:
        """Put the usage figures of a window."""
        await self._send_order(
            "PUT", self._url(order), order.body["figures"], context.sender
        )

    async def took_effect(self, duty: str, order: Order) -> bool | None:
        """Return whether the interface has accepted the window."""
        status, _ = await self._get(self._url(order))
        return {200: True, 404: False}.get(status)

    def _url(self, order: Order) -> str:
        address = self.app.settings.platform.usage_address
        return f"http://{address}/usage/windows/{order.body['window']}"
