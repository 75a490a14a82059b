"""Serves the state dump and the metrics to operators."""

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from camphorgate.application import Application
from camphorgated.http import EmbeddedServer, start_server, stop_server


class OperatorPages:
    """The pages on the operators' address."""

    __slots__ = ("_app", "_server")

    def __init__(self, app: Application) -> None:
        """Keep the application, whose services fill the pages."""
        self._app = app
        self._server: EmbeddedServer | None = None

    async def start(self) -> None:
        """Listen on the operators' address."""
        routes = [
            Route("/admin/dump", self.dump),
            Route("/metrics", self.metrics),
        ]
        address = self._app.settings.operator_address
        self._server = await start_server(Starlette(routes=routes), address)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await stop_server(self._server)

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
    app.on_start(pages.start)
    app.on_stop(pages.stop)
