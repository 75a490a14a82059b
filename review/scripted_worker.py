"""A decoding engine whose first answer may hand out wrong bytes, or a plain worker.

Speaks the platform's protocol for workers. It streams events with increasing ids, goes
on after ``Last-Event-Id``, and answers 421 to what is for another worker or phase.
Without a phase it reads the body, works for ``--work-ms`` and answers a few bytes.
With ``--spoil-after N``, the first stream that it runs ends in wrong bytes: they follow
event N in the same write, and then the channel ends. ``GET /control/runs`` lists
the runs.
"""

import argparse
import asyncio
import contextlib
import json
import time

EVENT_SECONDS = 0.03
# Bytes of another answer, which are no events of this stream.
WRONG_BYTES = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n\r\n"


class Worker:
    """Answers requests on any number of channels and records the runs."""

    def __init__(self, options):
        """Keep the options of the command line."""
        self.options = options
        self.runs = []
        self.arrivals = []
        self.to_spoil = options.spoil_after

    async def serve(self, reader, writer):
        """Answer the requests of a channel until it ends."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if target == "/control/runs":
            data = json.dumps({"runs": self.runs, "arrivals": self.arrivals}).encode()
            return await self._answer(writer, 200, [], data)
        attempt = headers.get("x-attempt-id", "")
        if target == "/v1/report":
            return await self._answer(writer, 200, [], self._report())
        if method == "DELETE":
            return await self._answer(writer, 200, [], b"{}")
        if target.startswith("/v1/"):
            # It takes no orders: such an operation does not exist here.
            return await self._answer(writer, 400, [], b"{}")
        self.arrivals.append((time.time(), attempt))
        expected = headers.get("x-expect-instance", self.options.id)
        if expected != self.options.id or headers.get("x-phase") == "prefill":
            lines = [f"X-Attempt-Id: {attempt}", "X-Not-Executed: 1"]
            return await self._answer(writer, 421, lines, b"")
        self.runs.append(
            {
                "attempt": attempt,
                "last": headers.get("last-event-id"),
                "body": len(body),
            }
        )
        if not self.options.phase:
            await asyncio.sleep(self.options.work_ms / 1000)
            stamp = f"X-Server-Stamp: {self.options.id}.{len(self.runs)}"
            lines = [f"X-Attempt-Id: {attempt}", stamp]
            return await self._answer(writer, 200, lines, b"booked")
        return await self._stream(writer, attempt, int(headers.get("last-event-id", 0)))

    def _report(self):
        models = [{"name": "m", "version": 1, "adapters": []}]
        report = {"phase": self.options.phase, "models": models, "busy": False}
        counts = ("sequence", "waiting", "running", "kv-used", "kv-handles")
        report.update(dict.fromkeys(counts, 0))
        return json.dumps({**report, "kv-total": 494558}).encode()

    async def _answer(self, writer, status, lines, body):
        head = [f"HTTP/1.1 {status} Answer", *lines, f"Content-Length: {len(body)}"]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True

    async def _stream(self, writer, attempt, last):
        spoil, self.to_spoil = self.to_spoil, 0
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Attempt-Id: {attempt}",
            f"X-Server-Stamp: {self.options.id}.{len(self.runs)}",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(last + 1, self.options.events + 1):
            await asyncio.sleep(EVENT_SECONDS)
            data = b"id: %d\ndata: token-%d\n\n" % (number, number)
            if number == spoil:
                data += WRONG_BYTES
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            if number == spoil:
                await asyncio.sleep(EVENT_SECONDS)
                writer.transport.abort()
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def run(options):
    """Serve until the process is ended."""
    host, _, port = options.address.rpartition(":")
    worker = Worker(options)
    server = await asyncio.start_server(worker.serve, host, int(port))
    await server.serve_forever()


def main():
    """Run the stand-in as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--phase", default="")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=30.0)
    parser.add_argument("--events", type=int, default=12)
    parser.add_argument("--spoil-after", type=int, default=0)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
