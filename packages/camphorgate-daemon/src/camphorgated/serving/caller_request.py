"""Requests as callers send them."""

from camphorgated.serving.http1 import Headers, find_header


class Request:
    """A completely received request of a caller."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "keep_alive",
        "read_at",
        "held_bytes",
    )

    def __init__(
        self, method: str, target: bytes, headers: Headers, body: bytes, keep: bool
    ) -> None:
        """Initialize the request.

        :param target: path and query as received.
        :param headers: with lower-case names, in order of receipt.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep
        self.read_at = 0.0
        # What the request takes in memory, including its parsed head.
        self.held_bytes = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header with a lower-case name."""
        return find_header(self.headers, name)
