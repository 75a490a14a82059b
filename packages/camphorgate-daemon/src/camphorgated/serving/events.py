"""Splits a server-sent event stream into complete events and tracks their ids."""

import re

from camphorgated.serving.errors import EventTooLarge, MalformedEvent

# Bound on the size of an event; a larger one is considered endless. Events of engines
# have a few hundred bytes.
MAX_EVENT_BYTES = 262_144
_END = re.compile(rb"\r?\n\r?\n")
# Maximum length of the event delimiter, which may be split across reads.
_END_BYTES = 4
# The fields of an event, those that the platform adds, and comments. Anything else is
# not of the stream, such as the head of another response.
_FIELD = re.compile(rb":|(?:id|data|event|retry|x-[a-z0-9-]+)(?::|\Z)")
_LINE_END = re.compile(rb"\r?\n")
_ID = re.compile(rb"^id: ?(\d{1,18})\b", re.MULTILINE)


class EventStream:
    """Parser of one response that forwards only complete events.

    ``last_id`` is the id of the last event that :meth:`feed` returned, ``None`` before
    the first one with an id. A stream that goes on elsewhere does so after this event.
    """

    __slots__ = ("last_id", "progress", "_rest", "_error")

    def __init__(self, last_id: int | None = None) -> None:
        """Start a stream.

        :param last_id: events up to this id were forwarded before and are skipped.
        """
        self.last_id = last_id
        # Number of events with data that were forwarded or skipped as duplicates.
        self.progress = 0
        self._rest = bytearray()
        self._error: EventTooLarge | MalformedEvent | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the events that the bytes complete, without duplicates.

        The events before bytes that are no event are returned, too; call
        :meth:`raise_for_error` once they are forwarded. After an error, nothing more is
        returned.
        """
        if self._error is not None:
            return b""
        searched = max(0, len(self._rest) - _END_BYTES)
        self._rest += data
        whole = []
        start = 0
        for end in _END.finditer(self._rest, searched):
            event = bytes(self._rest[start : end.end()])
            try:
                passes = self._passes(event)
            except MalformedEvent as error:
                self._error = error
                break
            start = end.end()
            if passes:
                whole.append(event)
        del self._rest[:start]
        if self._error is None and len(self._rest) > MAX_EVENT_BYTES:
            self._error = EventTooLarge(
                f"an event has more than {MAX_EVENT_BYTES} bytes"
            )
        return b"".join(whole)

    def raise_for_error(self) -> None:
        """Raise the error that ended the stream, if any.

        :raises EventTooLarge: if an event exceeds the size limit.
        :raises MalformedEvent: if the bytes after the returned events are no event.
        """
        if self._error is not None:
            raise self._error

    def _passes(self, event: bytes) -> bool:
        """Count an event and return whether it is forwarded.

        :raises MalformedEvent: if it has a line that is no field of an event.
        """
        for line in _LINE_END.split(event):
            if line and _FIELD.match(line) is None:
                raise MalformedEvent(f"{line[:40]!r} is no field of an event")
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
        """Return the bytes that follow the last whole event."""
        return bytes(self._rest)
