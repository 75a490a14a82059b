"""Access checks for a request: configuration, API key and workspace limits."""

import re
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from camphorgate.manifest import ManifestIndex, Workspace
from camphorgate.requests.admission import WorkspaceLimiter
from camphorgated.ext.gateway.admission import refusal_error
from camphorgated.ext.gateway.call import RequestContext
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.keys import find_key

_SLASHES = re.compile(r"/{2,}")
_DOT_SEGMENTS = frozenset({".", ".."})


def check_key(gateway: Any, call: RequestContext) -> tuple[ManifestIndex, Workspace]:
    """Return the active manifest and the workspace of the request's API key.

    :raises GatewayError: if the configuration is stale, or the key is missing or
        unknown.
    """
    index = gateway.index()
    if not gateway.configuration.fresh():
        message = "this instance cannot confirm the configuration in force"
        raise GatewayError("configuration_stale", message)
    key = find_key(call.headers)
    if not key:
        raise GatewayError("key_missing", "the request carries no key")
    workspace = index.find_workspace_by_key(key)
    if workspace is None:
        raise GatewayError("key_unknown", "the key is not known")
    call.set_workspace(workspace)
    return index, workspace


def normalise_path(path: str) -> str:
    """Return the path that is used to look up routes and rules.

    Repeated slashes are collapsed, because an upstream may treat them as one.

    :raises GatewayError: if the path has dot segments, which an upstream could resolve
        to another route than the one that was checked.
    """
    if "//" in path:
        path = _SLASHES.sub("/", path)
    if "/." in path and not _DOT_SEGMENTS.isdisjoint(path.split("/")):
        raise GatewayError("bad_request", "the path contains dot segments")
    return path


class WorkspaceLimits:
    """Enforces this instance's share of the limits of each workspace."""

    __slots__ = ("_gateway", "_limiters_by_workspace")

    def __init__(self, gateway: Any) -> None:
        """Start without limiters."""
        self._gateway = gateway
        self._limiters_by_workspace: dict[str, WorkspaceLimiter] = {}

    @contextmanager
    def reserve(
        self, call: RequestContext, workspace: Workspace, tokens: int = 0
    ) -> Iterator[None]:
        """Count a request against the limits of its workspace until the block ends.

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
        limiter = self._limiters_by_workspace.get(workspace.name)
        if limiter is None:
            limiter = WorkspaceLimiter(workspace.limits, instances)
            self._limiters_by_workspace[workspace.name] = limiter
        elif (limiter.limits, limiter.instances) != (workspace.limits, instances):
            limiter.change(workspace.limits, instances)
        return limiter
