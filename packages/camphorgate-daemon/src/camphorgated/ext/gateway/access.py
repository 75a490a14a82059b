"""Who may send a request: configuration, key, limits of the workspace."""

import re
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from camphorgate.manifest import ManifestIndex, Workspace
from camphorgate.requests.admission import WorkspaceLimiter
from camphorgated.ext.gateway.call import Call
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.keys import find_key
from camphorgated.ext.gateway.queueing import refusal_error

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
    call.set_workspace(workspace)
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


class WorkspaceLimits:
    """Holds the workspaces to their limits, as this instance's share of them."""

    __slots__ = ("_gateway", "_limiters_by_workspace")

    def __init__(self, gateway: Any) -> None:
        """Start without requests."""
        self._gateway = gateway
        self._limiters_by_workspace: dict[str, WorkspaceLimiter] = {}

    @contextmanager
    def hold(self, call: Call, workspace: Workspace, tokens: int = 0) -> Iterator[None]:
        """Count a request in and, when the block ends, out.

        :param tokens: expected prompt and output tokens.
        :raises GatewayError: if a limit is reached.
        """
        limiter = self._limiter(workspace)
        refusal = limiter.admit(tokens, self._gateway.now())
        if refusal is not None:
            raise refusal_error(refusal)
        running = self._gateway.recorder.in_flight_by_workspace
        running[workspace.name] += 1
        try:
            yield
        finally:
            running[workspace.name] -= 1
            used = call.record.prompt_tokens + call.record.output_tokens
            correction = used - tokens if tokens else 0
            limiter.finish(correction, self._gateway.now())

    def _limiter(self, workspace: Workspace) -> WorkspaceLimiter:
        instances = self._gateway.instances
        known = self._limiters_by_workspace.get(workspace.name)
        if (
            known is not None
            and known.limits == workspace.limits
            and known.instances == instances
        ):
            return known
        limiter = WorkspaceLimiter(workspace.limits, instances)
        if known is not None:
            limiter.running = known.running
        self._limiters_by_workspace[workspace.name] = limiter
        return limiter
