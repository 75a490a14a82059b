"""Calls to the admin interface of a daemon."""

from typing import Any
from urllib.parse import urlencode

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.settings import split_address
from camphorgate_cli.errors import (
    CommandError,
    ConflictError,
    UnreachableError,
)

CONNECT_TIMEOUT_SECONDS = 2.0
RESPONSE_TIMEOUT_SECONDS = 15.0

HTTP_CONFLICT = 409


class AdminClient:
    """Client of the admin interface of one daemon."""

    __slots__ = ("address",)

    def __init__(self, address: str) -> None:
        """Validate and store the address.

        :param address: ``host:port`` of a daemon's admin interface.
        :raises CommandError: if the address is invalid.
        """
        try:
            split_address(address)
        except ValueError as error:
            raise CommandError(f"invalid address: {error}") from None
        self.address = address

    async def get(self, path: str) -> dict[str, Any]:
        """Send a GET request to the admin interface.

        :raises UnreachableError: if no daemon answers in time.
        :raises CommandError: if the daemon answers with an error.
        """
        return await self._call("GET", path)

    async def lift_block(self, part: str) -> dict[str, Any]:
        """Lift the blocks of a prompt part on every instance.

        :raises CommandError: if no block has this part.
        """
        return await self._call(
            "POST", f"/admin/quarantine?{urlencode({'part': part})}"
        )

    async def explain_route(
        self, path: str, headers: list[str], workspace: str
    ) -> dict[str, Any]:
        """Return where a request would go now.

        :param headers: each as ``name: value``.
        :param workspace: name of the sending workspace; empty if a header has its key.
        """
        parameters = [("path", path), *(("header", line) for line in headers)]
        if workspace:
            parameters.append(("workspace", workspace))
        return await self._call("GET", f"/admin/explain-route?{urlencode(parameters)}")

    async def submit(
        self, text: str, base_version: int | None, wait_seconds: int | None
    ) -> dict[str, Any]:
        """Submit a manifest.

        :param base_version: the version that the manifest replaces; the newest one
            that the daemon knows by default.
        :param wait_seconds: how long the daemon waits until it is in force on every
            instance; ``None`` for the daemon's short default.
        :raises ConflictError: if the base version is not the newest one.
        :raises CommandError: if the manifest is refused.
        """
        options = {"wait_seconds": wait_seconds, "base_version": base_version}
        parameters = {
            name: value for name, value in options.items() if value is not None
        }
        path = f"/admin/manifest?{urlencode(parameters)}"
        timeout_seconds = (wait_seconds or 0) + RESPONSE_TIMEOUT_SECONDS
        return await self._call("POST", path, text.encode(), timeout_seconds)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> dict[str, Any]:
        url = f"http://{self.address}{path}"
        timeouts = aiosonic.Timeouts(
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=timeout_seconds,
            request_timeout=timeout_seconds,
        )
        try:
            async with aiosonic.HTTPClient() as client:
                response = await client.request(
                    url, method=method, data=body, timeouts=timeouts
                )
                data = await response.content()
        except (OSError, AiosonicError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            message = f"no daemon answers at {self.address}: {reason}"
            raise UnreachableError(message) from None
        return _decode(response.status_code, data, self.address)


def _decode(status: int, data: bytes, address: str) -> dict[str, Any]:
    try:
        answer = msgspec.json.decode(data)
    except DECODE_ERRORS:
        answer = None
    if not isinstance(answer, dict):
        message = f"{address} does not answer like an admin interface (HTTP {status})"
        raise CommandError(message)
    if status < 400:
        return answer
    error = answer.get("error", {})
    text = error.get("message", f"HTTP {status}")
    if status == HTTP_CONFLICT:
        raise ConflictError(text, error)
    raise CommandError(text, error)
