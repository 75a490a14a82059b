"""Stand-in for the platform's API for usage and scaling, within the case's process.

It accepts the calls as the protocol page says and records who sent them when. Where it
checks fences, a call with a lower token than one seen before gets 409.
"""

import asyncio
import contextlib
import json
import time

from review_fleet import Record, free_port


class Call:
    """A call of a duty as the platform received it."""

    def __init__(self, holder: str, token: int, subject: str, accepted: bool):
        self.at = time.monotonic()
        self.holder = holder
        self.token = token
        self.subject = subject
        self.accepted = accepted


class Platform:
    """Receives the calls of the duties."""

    def __init__(self, record: Record, checks_fence: bool):
        self.record = record
        self.checks_fence = checks_fence
        self.port = free_port()
        self.calls: list[Call] = []
        self._highest: dict[str, int] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    @property
    def address(self) -> str:
        """Return the address for the settings."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while line := await reader.readline():
                path = line.split()[1].decode()
                headers = {}
                while (line := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size))
                accepted = self._receive(path, headers, body)
                status = b"200 OK" if accepted else b"409 Conflict"
                text = b"{}" if accepted else b'{"error":"fence"}'
                writer.write(
                    b"HTTP/1.1 %b\r\ncontent-length: %d\r\n\r\n%b"
                    % (status, len(text), text)
                )
                await writer.drain()
        writer.close()

    def _receive(self, path: str, headers: dict[str, str], body: dict) -> bool:
        subject = "usage"
        if path == "/scale":
            kind = "spot" if body.get("spot") else "ordinary"
            subject = f"scale {body['service']} {body['zone']} {kind}"
        holder = headers["x-duty-holder"]
        token = int(headers["x-fence-token"])
        refused = self.checks_fence and token < self._highest.get(subject, 0)
        if not refused:
            self._highest[subject] = max(token, self._highest.get(subject, 0))
        call = Call(holder, token, subject, not refused)
        self.calls.append(call)
        self.record.line(
            f"platform: {subject} by {holder} with token {token}"
            f" {'refused' if refused else 'accepted'}: {json.dumps(body)}"
        )
        return not refused

    async def next_call(self, known: int, seconds: float, subject: str) -> Call | None:
        """Return the first call on a subject after a number of known ones."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for call in self.calls[known:]:
                if call.subject.startswith(subject):
                    return call
            await asyncio.sleep(0.002)
        return None
