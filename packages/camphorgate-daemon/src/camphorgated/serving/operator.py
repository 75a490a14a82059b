"""Serves the state dump and the metrics to operators."""

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from camphorgate.application import Application
from camphorgated.http import serve_pages


class OperatorPages:
    """The pages on the operators' address."""

    __slots__ = ("_app",)

    def __init__(self, app: Application) -> None:
        """Keep the application, whose services fill the pages."""
        self._app = app

    async def dump(self, request: Request) -> Response:
        """Answer with the state of this process."""
        body = msgspec.json.encode(self._app.dump())
        return Response(body, media_type="application/json")

    async def metrics(self, request: Request) -> Response:
        """Answer with the metrics."""
        content_type, body = self._app.service("statistics").render()
        return Response(body, media_type=content_type)


def setup(app: Application) -> None:
    """Serve the pages if there is an address for them."""
    if not app.settings.operator_address:
        return
    pages = OperatorPages(app)
    routes = [Route("/admin/dump", pages.dump), Route("/metrics", pages.metrics)]
    serve_pages(app, Starlette(routes=routes), app.settings.operator_address)
