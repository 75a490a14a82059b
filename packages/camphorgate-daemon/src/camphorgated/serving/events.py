"""Splits a stream into whole events and follows their ids."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?(\d+)", re.MULTILINE)


class EventStream:
    """Bytes of one answer, passed on only as whole events.

    ``last_id`` is the id of the last event that was passed on, ``None`` before the
    first one with an id.
    """

    __slots__ = ("last_id", "_rest")

    def __init__(self, last_id: int | None = None) -> None:
        """Start a stream.

        :param last_id: events up to this id were passed on before and are left out.
        """
        self.last_id = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that the bytes complete, without repeats."""
        data = self._rest + data
        whole = []
        start = 0
        for end in _END.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            found = _ID.search(event)
            if found is not None:
                number = int(found[1])
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            whole.append(event)
        self._rest = data[start:]
        return b"".join(whole)

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._rest
