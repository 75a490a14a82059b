"""Tests of the parameters of a submission, as sent and as obeyed."""

import unittest
from unittest import mock

from starlette.requests import Request

from camphorgate.application import Application
from camphorgate_cli.client import AdminClient
from camphorgated.ext.admin import DEFAULT_WAIT_SECONDS, AdminExtension


class SubmissionTests(unittest.IsolatedAsyncioTestCase):
    """A submission waits for as long as the operator states."""

    async def submit(self, query: str) -> float:
        """Submit a manifest and return for how many seconds it waits."""
        configuration = mock.Mock(highest_known=1)
        configuration.submit = mock.AsyncMock()
        app = Application(mock.Mock())
        app.provide("configuration", configuration)
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/admin/manifest",
            "query_string": query.encode(),
            "headers": [],
        }
        receive = mock.AsyncMock(return_value={"type": "http.request", "body": b"{}"})
        with mock.patch("camphorgated.ext.admin._json_response"):
            await AdminExtension(app).submit(Request(scope, receive))
        return configuration.submit.await_args.args[2]

    async def test_wait_of_zero_is_obeyed(self):
        """Guards against an operator who waits although told not to."""
        self.assertEqual(await self.submit("wait_seconds=0"), 0)
        self.assertEqual(await self.submit("wait_seconds=7"), 7)
        self.assertEqual(await self.submit(""), DEFAULT_WAIT_SECONDS)

    async def test_client_sends_only_the_wait_that_is_stated(self):
        """Guards against a client whose default is taken for a wait of zero."""
        paths = []
        for wait_seconds in (None, 0, 7):
            with mock.patch.object(AdminClient, "_call", mock.AsyncMock()) as call:
                await AdminClient("127.0.0.1:1").submit("{}", None, wait_seconds)
            paths.append(call.await_args.args[1])
        expected = ["", "wait_seconds=0", "wait_seconds=7"]
        self.assertEqual(paths, [f"/admin/manifest?{item}" for item in expected])
