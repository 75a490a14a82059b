"""Serves the state dump and the metrics on the operator address."""

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from camphorgate.application import Application
from camphorgated.http import serve_pages
from camphorgated.serving.route_explanation import RouteExplainer


class OperatorPages:
    """HTTP handlers of the operator address."""

    __slots__ = ("_app",)

    def __init__(self, app: Application) -> None:
        """Initialize with the application that provides the state."""
        self._app = app

    async def dump(self, request: Request) -> Response:
        """Return the state of this process."""
        body = msgspec.json.encode(self._app.dump())
        return Response(body, media_type="application/json")

    async def quarantine(self, request: Request) -> Response:
        """Return the blocked prompt parts; a POST lifts the blocks of one."""
        quarantine = self._app.service("quarantine")
        status = 200
        answer = quarantine.dump()
        if request.method == "POST":
            part = request.query_params.get("part", "")
            if quarantine.lift(part):
                answer = quarantine.dump()
            else:
                status = 404
                answer = {"error": {"message": f"no block has the part {part!r}"}}
        return Response(
            msgspec.json.encode(answer), status, media_type="application/json"
        )

    async def explain_route(self, request: Request) -> Response:
        """Return where a request would go now; nothing is sent.

        The query has the ``path``, any number of ``header`` as ``name: value``, and
        optionally the name of the ``workspace``.
        """
        query = request.query_params
        headers = []
        for line in query.getlist("header"):
            name, _, value = line.partition(":")
            pair = name.strip().lower(), value.strip()
            headers.append(tuple(part.encode("latin-1", "replace") for part in pair))
        explanation = RouteExplainer(self._app).explain(
            query.get("path", "/"), headers, query.get("workspace")
        )
        return Response(msgspec.json.encode(explanation), media_type="application/json")

    async def metrics(self, request: Request) -> Response:
        """Return the metrics."""
        content_type, body = self._app.service("statistics").render()
        return Response(body, media_type=content_type)


def setup(app: Application) -> None:
    """Serve the pages if an operator address is configured."""
    if not app.settings.operator_address:
        return
    pages = OperatorPages(app)
    routes = [
        Route("/admin/dump", pages.dump),
        Route("/admin/quarantine", pages.quarantine, methods=["GET", "POST"]),
        Route("/admin/explain-route", pages.explain_route),
        Route("/metrics", pages.metrics),
    ]
    serve_pages(app, Starlette(routes=routes), app.settings.operator_address)
