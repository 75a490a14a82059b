"""Compares whole sessions with the approved files under tests/golden/gateway.

A difference writes a ``.received.txt`` beside the approved file; review it before
renaming it to ``.approved.txt``.
"""

import asyncio
import re
from pathlib import Path

import msgspec
from approvaltests import Options, verify
from approvaltests.namer.cli_namer import CliNamer
from approvaltests.reporters.python_native_reporter import PythonNativeReporter

from tests.test_gateway.harness import BEARER, Caller, GatewayTestCase, completion

FOLDER = Path(__file__).parent.parent / "golden" / "gateway"
_REQUEST_ID = re.compile(r"[0-9a-f]{16}-[0-9a-f]+")
_SHOWN_HEADERS = ("last-event-id", "x-request-id", "idempotency-key", "content-length")


class Transcript:
    """What a caller and the upstreams received, with ids by order of appearance."""

    def __init__(self):
        self.lines = []
        self._names_by_id = {}

    def add(self, text):
        """Add lines."""
        for line in text.rstrip("\n").split("\n"):
            self.lines.append(line.rstrip())

    def request(self, method, path, body=b""):
        """Add a request of the caller."""
        self.add(f"caller > {method} {path}")
        if body:
            self.add(f"         {body.decode()}")

    def response(self, response):
        """Add a response; header order and chunking are not compared."""
        self.add(
            f"caller < {response.status}" + ("" if response.is_complete else " CUT")
        )
        for name, value in sorted(response.headers.items()):
            # The length of an error depends on the length of the request id.
            if name == "content-length" and _REQUEST_ID.search(response.body.decode()):
                value = "<length>"
            if name != "date":
                self.add(f"         {name}: {value}")
        self.add(self._indent(response.body.decode()))

    def upstream(self, standin):
        """Add what an upstream received."""
        for request in standin.requests:
            path = "/" + request["url"].split("/", 3)[-1]
            self.add(f"upstream < {request.get('method', 'POST')} {path}")
            for name in _SHOWN_HEADERS:
                if name in request["headers"]:
                    self.add(f"         {name}: {request['headers'][name]}")

    def text(self):
        """Return the transcript with stable ids."""
        return _REQUEST_ID.sub(self._name, "\n".join(self.lines)) + "\n"

    def _name(self, found):
        names = self._names_by_id
        return names.setdefault(found.group(), f"<id-{len(names) + 1}>")

    @staticmethod
    def _indent(text):
        return "\n".join(f"         {line}" for line in text.split("\n"))


class GoldenTests(GatewayTestCase):
    LIST_LAG_SECONDS = 0.3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # One upstream of each kind, so that the sessions are deterministic.
        pools = tuple(
            msgspec.structs.replace(pool, upstreams=pool.upstreams[:1])
            for pool in self.configuration.manifest.pools
        )
        self.configuration.change(pools=pools)
        self.transcript = Transcript()

    async def _exchange(self, method, path, body=b"", headers=None, caller=None):
        connection = caller or await Caller.connect(self.address)
        self.transcript.request(method, path, body)
        connection.send(method, path, headers or BEARER, body)
        response = await connection.read()
        self.transcript.response(response)
        if caller is None:
            connection.close()

    def _compare(self, name):
        options = Options().with_namer(CliNamer(str(FOLDER / name)))
        options = options.with_reporter(PythonNativeReporter())
        verify(self.transcript.text(), options=options)

    async def test_streamed_answer(self):
        """Guards against unintended changes of a streamed response."""
        body = completion(stream=True, max_tokens=3)
        await self._exchange("POST", "/v1/completions", body)
        self.transcript.upstream(self.engines[0])
        self._compare("streamed_answer")

    async def test_resumed_stream(self):
        """Guards against unintended changes of how a stream is resumed."""
        self.arm(self.engines, "die_after", value=2, count=1)
        body = completion(stream=True, max_tokens=4)
        await self._exchange("POST", "/v1/chat/completions", body)
        self.transcript.upstream(self.engines[0])
        self._compare("resumed_stream")

    async def test_booking(self):
        """Guards against unintended changes of a booking."""
        await self._exchange("POST", "/booking/bookings", b"one sack")
        self.transcript.upstream(self.workers[0])
        self._compare("booking")

    async def test_booking_with_unknown_outcome(self):
        """Guards against a changed response to a booking that may have run."""
        self.arm(self.workers, "lose_answers", count=1)
        await self._exchange("POST", "/booking/bookings", b"one sack")
        self.transcript.upstream(self.workers[0])
        self.transcript.add(f"bookings that ran: {len(self.bookings())}")
        self._compare("booking_with_unknown_outcome")

    async def test_refusal(self):
        """Guards against a changed refusal, or a refused request that is forwarded."""
        self.configuration.is_fresh = False
        await self._exchange("POST", "/v1/completions", completion())
        self.transcript.upstream(self.engines[0])
        self._compare("refusal")

    async def test_withdrawn_key(self):
        """Guards against a changed session when a key is withdrawn mid-connection."""
        caller = await Caller.connect(self.address)
        await self._exchange("GET", "/booking/stock", caller=caller)
        self.configuration.change(workspaces=())
        self.transcript.add("operator: withdraws the key")
        await self._exchange("GET", "/booking/stock", caller=caller)
        self.transcript.upstream(self.workers[0])
        self._compare("withdrawn_key")

    async def test_drain(self):
        """Guards against a changed session during a planned stop."""
        caller = await Caller.connect(self.address)
        body = completion(stream=True, max_tokens=200)
        caller.send("POST", "/v1/completions", BEARER, body)
        await self.wait_until(lambda: self.engines[0].running)
        self.transcript.add("caller 1: a stream of 200 tokens is under way")
        stopping = asyncio.create_task(self.app.stop())
        await asyncio.sleep(0.05)
        self.transcript.add("platform: SIGTERM")
        await self._exchange("GET", "/readyz")
        await self._exchange("GET", "/booking/stock")
        streamed = await caller.read()
        count = streamed.body.count(b"\n\nid: ") + 1
        whole = streamed.is_complete and streamed.body.endswith(b"data: [DONE]\n\n")
        self.transcript.add(f"caller 1: whole: {whole}, tokens: {count}")
        await stopping
        try:
            await Caller.connect(self.address)
        except OSError:
            self.transcript.add("caller: new connections are refused")
        self._compare("drain")
