"""Admin HTTP interface of a daemon: status, report, dump, submission and metrics.

Responses are built from the loaded services, so that a daemon with fewer extensions
still answers. No response ever contains a key.
"""

from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from camphorgate.application import Application
from camphorgate.errors import CamphorgateError, ManifestError
from camphorgate.log import log_event
from camphorgated.http import serve_pages

MAX_MANIFEST_BYTES = 64 * 1024 * 1024
# Wait of a submission that asks for none, so that the response can still tell whether a
# majority of the instances runs the version.
DEFAULT_WAIT_SECONDS = 2

STATUS_BY_CODE = {
    "manifest_invalid": 400,
    "bad_request": 400,
    "internal_error": 500,
    "conflict": 409,
    "manifest_too_large": 413,
}


def _json_response(data: Any, status: int = 200) -> Response:
    content = msgspec.json.encode(data, enc_hook=str)
    return Response(content, status, media_type="application/json")


def _error_response(error: CamphorgateError) -> Response:
    body: dict[str, Any] = {"code": error.code, "message": error.message}
    if isinstance(error, ManifestError):
        body["problems"] = error.problems
    for name in ("current", "changes"):
        if hasattr(error, name):
            body[name] = getattr(error, name)
    return _json_response({"error": body}, STATUS_BY_CODE.get(error.code, 503))


async def _handle_unexpected_error(request: Request, error: Exception) -> Response:
    path = request.url.path
    log_event("admin_failed", level="ERROR", path=path, error=repr(error))
    return _error_response(CamphorgateError(f"internal error: {error!r}"))


class AdminError(CamphorgateError):
    """An admin request is invalid or cannot be served."""

    code = "bad_request"


class AdminExtension:
    """Handles the requests to the admin address."""

    __slots__ = ("_app",)

    def __init__(self, app: Application) -> None:
        """Store the application whose services supply the responses."""
        self._app = app

    async def status(self, request: Request) -> Response:
        """Return instances, versions, queues and duties."""
        return _json_response(self._status())

    def _status(self) -> dict[str, Any]:
        app = self._app
        status: dict[str, Any] = {"instance": app.settings.instance_id}
        status["availability_zone"] = app.settings.availability_zone
        if app.has_service("configuration"):
            configuration = app.service("configuration")
            status["version"] = configuration.version
            status["fresh"] = configuration.fresh()
            status["instances"] = self._instances()
        if app.has_service("gateway"):
            status["backlog"] = app.service("gateway").counters()["queues"]
        for name in ("duties", "claims"):
            if app.has_service(name):
                status[name] = app.service(name).status()
        return status

    def _instances(self) -> list[dict[str, Any]]:
        versions_by_id = self._app.service("configuration").in_force_by_instance()
        members_by_id = {}
        if self._app.has_service("membership"):
            members = self._app.service("membership").members()
            members_by_id = {member.instance_id: member for member in members}
        rows = []
        for instance_id in sorted({*versions_by_id, *members_by_id}):
            row = {"instance": instance_id}
            row["version"] = versions_by_id.get(instance_id, 0)
            member = members_by_id.get(instance_id)
            for name in ("zone", "state", "age_seconds"):
                if hasattr(member, name):
                    row[name] = getattr(member, name)
            rows.append(row)
        return rows

    async def report(self, request: Request) -> Response:
        """Return the operators' report over all instances."""
        if not self._app.has_service("report"):
            return _error_response(
                AdminError("the report extension is not loaded", "not_available")
            )
        return _json_response(await self._app.service("report").collect())

    async def dump(self, request: Request) -> Response:
        """Return the state of this process."""
        return _json_response(self._app.dump())

    async def submit(self, request: Request) -> Response:
        """Submit a manifest; respond once it is refused, in force or timed out."""
        configuration = self._app.service("configuration")
        try:
            text = await _read_manifest(request)
            base_version = _integer_parameter(request, "base_version")
            if base_version is None:
                base_version = configuration.highest_known
            wait = _integer_parameter(request, "wait_seconds")
            if wait is None:
                wait = DEFAULT_WAIT_SECONDS
            result = await configuration.submit(text, base_version, wait)
        except CamphorgateError as error:
            log_event("manifest_refused", code=error.code, error=error.message)
            return _error_response(error)
        log_event("manifest_written", version=result.version, accepted=result.accepted)
        return _json_response(result)

    async def metrics(self, request: Request) -> Response:
        """Return the metrics in the text format of Prometheus."""
        if not self._app.has_service("metrics"):
            return Response(status_code=404)
        content_type, body = self._app.service("metrics").render()
        return Response(body, media_type=content_type)


async def _read_manifest(request: Request) -> str:
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > MAX_MANIFEST_BYTES:
            raise AdminError("the manifest is too large", "manifest_too_large")
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise AdminError("the manifest is not UTF-8") from None


def _integer_parameter(request: Request, name: str) -> int | None:
    text = request.query_params.get(name)
    if text is None:
        return None
    if not text.isdecimal():
        raise AdminError(f"{name} {text!r} is not a non-negative integer")
    return int(text)


def setup(app: Application) -> None:
    """Serve the admin interface while the application runs."""
    extension = AdminExtension(app)
    routes = [
        Route("/admin/status", extension.status),
        Route("/admin/report", extension.report),
        Route("/admin/dump", extension.dump),
        Route("/admin/manifest", extension.submit, methods=["POST"]),
        Route("/metrics", extension.metrics),
    ]
    admin_app = Starlette(
        routes=routes, exception_handlers={Exception: _handle_unexpected_error}
    )
    serve_pages(app, admin_app, app.settings.admin_address)
