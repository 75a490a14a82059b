"""Splits a stream into whole events and follows their ids."""

import re

from camphorgated.serving.errors import EndlessEvent

# An event that is not whole after so many bytes never will be; events of engines have
# some hundred.
MOST_EVENT_BYTES = 262_144
_END = re.compile(rb"\r?\n\r?\n")
# The end of an event has at most so many bytes, of which some may have come before.
_END_BYTES = 4
_ID = re.compile(rb"^id: ?(\d{1,18})\b", re.MULTILINE)


class EventStream:
    """Bytes of one answer, passed on only as whole events.

    ``last_id`` is the id of the last event that was passed on, ``None`` before the
    first one with an id.
    """

    __slots__ = ("last_id", "progress", "_rest")

    def __init__(self, last_id: int | None = None) -> None:
        """Start a stream.

        :param last_id: events up to this id were passed on before and are left out.
        """
        self.last_id = last_id
        # Events with data that were passed on, or left out as known.
        self.progress = 0
        self._rest = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that the bytes complete, without repeats.

        :raises EndlessEvent: if an event is larger than any of an engine.
        """
        searched = max(0, len(self._rest) - _END_BYTES)
        self._rest += data
        whole = []
        start = 0
        for end in _END.finditer(self._rest, searched):
            event = bytes(self._rest[start : end.end()])
            start = end.end()
            if self._passes(event):
                whole.append(event)
        del self._rest[:start]
        if len(self._rest) > MOST_EVENT_BYTES:
            raise EndlessEvent(f"an event has more than {MOST_EVENT_BYTES} bytes")
        return b"".join(whole)

    def _passes(self, event: bytes) -> bool:
        """Count an event, and tell whether it is passed on."""
        self.progress += not event.startswith((b":", b"\n", b"\r"))
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found[1])
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return bytes(self._rest)
