"""Workers that name a limit in their answers, and count what reaches them."""

import asyncio
import time

from tests.scripted_worker import ScriptedRequest, ScriptedWorker

# The users' window, and the time after the first naming in which it does not count.
WINDOW_SECONDS = 4.0
CONTACT_SECONDS = 3.0
# What a window may hold: this multiple of the limit, and a few requests.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Time that an answer takes, in seconds.
ANSWER_SECONDS = 0.02


class LimitedWorker(ScriptedWorker):
    """A worker that answers everything, and names its limit while it has one."""

    def __init__(self, worker_id: str, phase: str = "") -> None:
        """Start without a limit.

        :param phase: phase of an engine; empty for a plain service.
        """
        super().__init__(worker_id, [], engine=phase == "decode")
        self.phase = phase
        self.answer_seconds = ANSWER_SECONDS
        # The value of the header, ``None`` for none.
        self.limit: str | None = None
        self.named_at: float | None = None
        # Times and request lines of all arrivals.
        self.requests: list[tuple[float, str]] = []

    def name_limit(self, value: str | None) -> None:
        """Name a limit in all further answers, or none."""
        self.limit = value
        self.named_at = time.monotonic()

    async def _serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        self.requests.append((time.monotonic(), start))
        request = ScriptedRequest(self, reader, writer, headers)
        request.record_run()
        await asyncio.sleep(self.answer_seconds)
        if headers.get("x-phase") == "prefill":
            body = b'{"kv-handle":"h1","tokens":9,"version":1}'
        else:
            body = request.build_body()
        extra = [] if self.limit is None else [f"Server-Limit: {self.limit}"]
        head = request.build_head(200, f"Content-Length: {len(body)}", *extra)
        await request.send(head + body)
        return True

    def worst_window(self) -> int:
        """Return the most arrivals in a window that counts."""
        first = self.named_at + CONTACT_SECONDS
        times = sorted(at for at, _ in self.requests if at >= first)
        return max(
            (
                sum(begin <= at < begin + WINDOW_SECONDS for at in times)
                for begin in times
            ),
            default=0,
        )

    def count_since(self, since: float) -> int:
        """Return the number of arrivals since a time."""
        return sum(at >= since for at, _ in self.requests)


def allowed(limit: float) -> float:
    """Return what the users allow in a window."""
    return ALLOWED_FACTOR * limit * WINDOW_SECONDS + ALLOWED_EXTRA
