"""Tests of HEAD, whose responses have no body."""

import asyncio
from unittest import mock

from camphorgated.serving.caller import Caller
from camphorgated.serving.caller_request import Request
from tests.hosted import encode_request, read_response
from tests.hosting_builders import KEY
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase

BODY_BYTES = 800


class HeadRequestTests(ScriptedWorkerCase):
    """The next response on a connection begins where the one to HEAD ends."""

    async def start_caller(self, script):
        """Start a daemon and open a connection of a caller."""
        app, _ = await self.start_scripted(script, engine=False)
        self.reader, self.writer = await self.open_caller(app)

    async def send(self, method: str, path: str, key: str = KEY, *fields) -> tuple:
        """Send a request and return the status and the headers of its response."""
        headers = {
            b"x-deadline": b"1500",
            b"authorization": b"Bearer " + key.encode(),
            b"content-length": None,
            **dict(fields),
        }
        self.writer.write(encode_request(method, path, headers=headers))
        return await read_response(self.reader, has_body=method != "HEAD")

    async def test_refusals_have_no_body(self):
        """Guards against a body that stands before the next response."""
        await self.start_caller([])
        for path, key, status in (("/read/a", "gone", 401), ("/none/a", KEY, 404)):
            found, headers = await self.send("HEAD", path, key)
            self.assertEqual(found, status)
            self.assertGreater(int(headers["content-length"]), 0)
            found, _ = await self.send("GET", "/read/a")
            self.assertEqual(found, 200)

    async def test_length_of_the_upstream_is_passed_on_without_a_body(self):
        """Guards against a wait for a body until the deadline."""
        await self.start_caller([f"respond_without_body:{BODY_BYTES}"])
        status, headers = await self.send("HEAD", "/read/a")
        self.assertEqual((status, headers["content-length"]), (200, str(BODY_BYTES)))
        self.assertEqual((await self.send("GET", "/read/a"))[0], 200)

    async def test_refusal_of_a_malformed_request_has_no_body(self):
        """Guards against a body after a head that was not read to its end."""
        await self.start_caller([])
        filler = (b"x-filler", b"x" * 400_000)
        status, _ = await self.send("HEAD", "/read/a", KEY, filler)
        self.assertEqual(status, 431)
        self.assertEqual(await asyncio.wait_for(self.reader.read(), 3.0), b"")

    def test_streams_have_no_body(self):
        """Guards against chunks after the head of a response to HEAD."""
        connection = mock.Mock(receiving=False)
        caller = Caller(connection, Request("HEAD", b"/chat/a", [], b"", True))
        caller.begin_stream(200, [])
        caller.stream(b"id: 1\n\n")
        caller.end_stream()
        (written,), _ = connection.write.call_args
        self.assertEqual(connection.write.call_count, 1)
        self.assertTrue(written.endswith(b"\r\n\r\n"))
        self.assertTrue(caller.ended)
