"""Who may send a request: configuration, key, limits of the workspace."""

import re
from typing import Any

from camphorgate.manifest import ManifestIndex, Workspace
from camphorgated.ext.gateway.call import Call
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.keys import find_key

_SLASHES = re.compile(r"/{2,}")
_DOT_SEGMENTS = frozenset({".", ".."})


def check_key(gateway: Any, call: Call) -> tuple[ManifestIndex, Workspace]:
    """Return the manifest in force and the workspace of the request's key.

    :raises GatewayError: if the configuration is stale or the key is not known.
    """
    index = gateway.index()
    if not gateway.configuration.fresh():
        message = "this instance cannot confirm the configuration in force"
        raise GatewayError("configuration_stale", message)
    key = find_key(call.headers)
    if not key:
        raise GatewayError("key_missing", "the request carries no key")
    workspace = index.workspace_of_key(key)
    if workspace is None:
        raise GatewayError("key_unknown", "the key is not known")
    call.take_workspace(workspace)
    return index, workspace


def normalise_path(path: str) -> str:
    """Return the path by which routes and rules are looked up.

    Repeated slashes count as one, as an upstream may read them so.

    :raises GatewayError: if the path has dot segments, which could lead an upstream
        to another route than the one that was checked.
    """
    if "//" in path:
        path = _SLASHES.sub("/", path)
    if "/." in path and not _DOT_SEGMENTS.isdisjoint(path.split("/")):
        raise GatewayError("bad_request", "the path contains dot segments")
    return path


class LimitBook:
    """Holds the workspaces to their limits, as this instance's share of them."""

    __slots__ = ("_gateway", "_buckets_by_workspace", "_tokens_by_workspace")

    def __init__(self, gateway: Any) -> None:
        """Start with full buckets."""
        self._gateway = gateway
        self._buckets_by_workspace: dict[str, list[float]] = {}
        self._tokens_by_workspace: dict[str, list[float]] = {}

    def check(self, workspace: Workspace) -> None:
        """Count a request against the limits.

        :raises GatewayError: if a limit is reached.
        """
        limits = workspace.limits
        share = 1.0 / max(1, self._gateway.live_count())
        if limits.concurrent_requests:
            running = self._gateway.recorder.in_flight_by_workspace[workspace.name]
            if running >= max(1, limits.concurrent_requests * share):
                raise GatewayError("limit_exceeded", "too many concurrent requests")
        if limits.tokens_per_second:
            rate = limits.tokens_per_second * share
            level = self._level(self._tokens_by_workspace, workspace.name, rate)
            if level[0] <= 0:
                wait = -level[0] / rate
                message = "too many tokens per second"
                raise GatewayError("limit_exceeded", message, retry_after=wait)
        if limits.requests_per_second:
            rate = limits.requests_per_second * share
            level = self._level(self._buckets_by_workspace, workspace.name, rate)
            if level[0] < 1:
                wait = (1 - level[0]) / rate
                message = "too many requests per second"
                raise GatewayError("limit_exceeded", message, retry_after=wait)
            level[0] -= 1

    def spend_tokens(self, workspace: str, tokens: int) -> None:
        """Take the tokens of a finished request."""
        level = self._tokens_by_workspace.get(workspace)
        if level is not None:
            level[0] -= tokens

    def _level(
        self, levels: dict[str, list[float]], workspace: str, rate: float
    ) -> list[float]:
        """Return a bucket, filled up to now; it holds one second, at least one."""
        now = self._gateway.now()
        size = max(1.0, rate)
        level = levels.setdefault(workspace, [size, now])
        level[0] = min(size, level[0] + (now - level[1]) * rate)
        level[1] = now
        return level
