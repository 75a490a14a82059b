"""Tests of HEAD, whose responses have no body."""

import asyncio
from unittest import mock

from camphorgated.serving.caller import Caller
from camphorgated.serving.caller_request import Request
from camphorgated.serving.http1 import encode_head
from tests.hosting_builders import HOST, KEY
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase

BODY_BYTES = 800


class HeadRequestTests(ScriptedWorkerCase):
    """The next response on a connection begins where the one to HEAD ends."""

    async def start_caller(self, script):
        """Start a daemon and open a connection of a caller."""
        app, _ = await self.start_scripted(script, engine=False)
        host, _, port = app.settings.caller_address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.stack.callback(self.writer.close)

    async def send(self, method: bytes, path: bytes, key: str = KEY, *fields) -> tuple:
        """Send a request and return the status and the headers of its response."""
        lines = [
            (b"host", HOST.encode()),
            (b"x-attempt-id", b"attempt-1"),
            (b"x-deadline", b"1500"),
            (b"authorization", b"Bearer " + key.encode()),
            *fields,
        ]
        self.writer.write(encode_head(b"%b %b HTTP/1.1" % (method, path), lines))
        async with asyncio.timeout(3.0):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head.rstrip().split("\r\n")
        self.assertTrue(start.startswith("HTTP/1.1 "), start)
        headers = dict(line.lower().split(": ", 1) for line in lines)
        if method != b"HEAD":
            await self.reader.readexactly(int(headers["content-length"]))
        return int(start.split()[1]), headers

    async def test_refusals_have_no_body(self):
        """Guards against a body that stands before the next response."""
        await self.start_caller([])
        for path, key, status in ((b"/read/a", "gone", 401), (b"/none/a", KEY, 404)):
            found, headers = await self.send(b"HEAD", path, key)
            self.assertEqual(found, status)
            self.assertGreater(int(headers["content-length"]), 0)
            found, _ = await self.send(b"GET", b"/read/a")
            self.assertEqual(found, 200)

    async def test_length_of_the_upstream_is_passed_on_without_a_body(self):
        """Guards against a wait for a body until the deadline."""
        await self.start_caller([f"respond_without_body:{BODY_BYTES}"])
        status, headers = await self.send(b"HEAD", b"/read/a")
        self.assertEqual((status, headers["content-length"]), (200, str(BODY_BYTES)))
        self.assertEqual((await self.send(b"GET", b"/read/a"))[0], 200)

    async def test_refusal_of_a_malformed_request_has_no_body(self):
        """Guards against a body after a head that was not read to its end."""
        await self.start_caller([])
        filler = (b"x-filler", b"x" * 400_000)
        status, _ = await self.send(b"HEAD", b"/read/a", KEY, filler)
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
