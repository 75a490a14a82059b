"""Parses a token stream: whole events, their ids, and the text so far."""

import msgspec

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgated.ext.gateway.errors import UpstreamFault

DONE_EVENT = b"data: [DONE]\n\n"
_END = b"\n\n"
_ID = b"id: "
_NEXT_ID = b"\n\nid: "
_DATA = b"data: "
MAX_EVENT_BYTES = 1_048_576
# Raw events are buffered up to this size, then only their text is kept.
MAX_BUFFERED_BYTES = 65536


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []


_decoder = msgspec.json.Decoder(_Event)


class TokenStream:
    """Counts the events of a stream without decoding them.

    An event ends in a blank line and begins with ``id: N``, numbered from 0 without
    gaps. Only whole events are forwarded, so that a stream can be resumed on
    another engine after the last of them.
    """

    __slots__ = (
        "last_id",
        "tokens",
        "done",
        "_partial_event",
        "_buffered",
        "_buffered_bytes",
        "_text",
    )

    def __init__(self) -> None:
        """Start before the first token."""
        self.last_id = -1
        self.tokens = 0
        self.done = False
        self._partial_event = b""
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._text: list[str] = []

    @property
    def resumable(self) -> bool:
        """Return whether every event so far had an id."""
        return self.tokens == self.last_id + 1

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are complete.

        The final ``[DONE]`` event sets ``done`` and is not returned.

        :raises UpstreamFault: if the ids have a gap or a repeat, or an event is too
            long.
        """
        if self._partial_event:
            data = self._partial_event + data
            self._partial_event = b""
        if data[-2:] != _END:
            end = data.rfind(_END) + len(_END)
            if end < len(_END):
                end = 0
            self._partial_event = data[end:]
            data = data[:end]
            if len(self._partial_event) > MAX_EVENT_BYTES:
                raise UpstreamFault("an event of the stream is too long")
            if not data:
                return b""
        done = data.endswith(DONE_EVENT)
        if done:
            data = data[: -len(DONE_EVENT)]
        if data:
            # Events count only if they are returned, so whatever can fail comes first.
            if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
                self._extract_text()
            self._check_ids(data)
            self._buffered.append(data)
            self._buffered_bytes += len(data)
        self.done = done
        return data

    def discard_partial_event(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._partial_event = b""
        self.done = False

    def text(self) -> str:
        """Return the text of all events so far."""
        self._extract_text()
        return "".join(self._text)

    def _check_ids(self, data: bytes) -> None:
        count = data.count(_NEXT_ID)
        if data.startswith(_ID):
            count += 1
        if not count:
            if not data.startswith(b":"):
                self.tokens += data.count(_END)
            return
        start = data.rfind(_NEXT_ID)
        start = start + len(_NEXT_ID) if start >= 0 else len(_ID)
        try:
            last = int(data[start : data.find(b"\n", start)])
        except ValueError:
            raise UpstreamFault("an event of the stream has no number") from None
        if last != self.last_id + count:
            raise UpstreamFault(
                f"token {last} follows token {self.last_id} after {count} events"
            )
        self.last_id = last
        self.tokens += count

    def _extract_text(self) -> None:
        for event in b"".join(self._buffered).split(_END):
            start = event.find(_DATA)
            if start < 0:
                continue
            try:
                decoded = _decoder.decode(event[start + len(_DATA) :])
            except DECODE_ERRORS:
                raise UpstreamFault("an event of the stream is no JSON") from None
            for choice in decoded.choices[:1]:
                content = choice.delta.content if choice.delta else choice.text
                self._text.append(content or "")
        self._buffered = []
        self._buffered_bytes = 0
