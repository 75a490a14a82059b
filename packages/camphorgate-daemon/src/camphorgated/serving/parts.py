"""Cuts a configuration into datagrams, and puts it together again.

A configuration repeats itself much, so compressed it takes a few datagrams. A part that
is lost is not sent again: whoever lacks it asks a peer for the whole.
"""

import zlib

from camphorgated.serving.messages import CatalogPart

# Bytes of a part, which keeps its datagram below the size that links pass whole.
PART_BYTES = 1100
# A larger configuration, compressed, is only told to those who ask.
MOST_TOLD_BYTES = 65_536
# The largest configuration that is put together; the store holds values of 1 MB.
MOST_RAW_BYTES = 2_097_152


def split_catalog(
    instance: str, zone: str, version: int, raw: bytes
) -> list[CatalogPart]:
    """Return a configuration in parts, none if it is too large to be told."""
    data = zlib.compress(raw)
    if len(data) > MOST_TOLD_BYTES:
        return []
    pieces = [
        data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)
    ]
    return [
        CatalogPart(instance, zone, version, number, len(pieces), piece)
        for number, piece in enumerate(pieces)
    ]


class CatalogParts:
    """The parts of the newest configuration that came so far."""

    __slots__ = ("_version", "_parts", "_data_by_number")

    def __init__(self) -> None:
        """Start without parts."""
        self._version = 0
        self._parts = 0
        self._data_by_number: dict[int, bytes] = {}

    def take(self, part: CatalogPart) -> bytes | None:
        """Take a part.

        :returns: the configuration if this part makes it whole.
        :raises ValueError: if the parts are none of a configuration.
        """
        most = -(-MOST_TOLD_BYTES // PART_BYTES)
        if not 0 <= part.number < part.parts <= most or part.version < self._version:
            return None
        if (part.version, part.parts) != (self._version, self._parts):
            self._version, self._parts = part.version, part.parts
            self._data_by_number = {}
        self._data_by_number[part.number] = part.data
        if len(self._data_by_number) < part.parts:
            return None
        data = b"".join(self._data_by_number[n] for n in range(part.parts))
        self._data_by_number = {}
        expander = zlib.decompressobj()
        try:
            raw = expander.decompress(data, MOST_RAW_BYTES)
        except zlib.error as error:
            raise ValueError(f"parts of a configuration: {error}") from None
        if not expander.eof:
            raise ValueError("parts of a configuration do not end")
        return raw
