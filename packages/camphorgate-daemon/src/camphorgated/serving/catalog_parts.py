"""Splits a configuration into datagrams and reassembles it.

A configuration is repetitive, so it compresses to a few datagrams. A lost part is not
sent again: the receiver fetches the whole configuration from a peer.
"""

import zlib

from camphorgated.serving.messages import CatalogPart

# Keeps the datagram of a part below the size at which links fragment it.
PART_BYTES = 1100
# A configuration that compresses to more than this is only sent on request.
MAX_COMPRESSED_BYTES = 65_536
# The largest configuration that is reassembled; the store holds values of 1 MB.
MAX_RAW_BYTES = 2_097_152


def split_catalog(
    instance: str, zone: str, version: int, raw: bytes
) -> list[CatalogPart]:
    """Return a configuration in parts, or none if it is too large to broadcast."""
    data = zlib.compress(raw)
    if len(data) > MAX_COMPRESSED_BYTES:
        return []
    pieces = [
        data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)
    ]
    return [
        CatalogPart(instance, zone, version, number, len(pieces), piece)
        for number, piece in enumerate(pieces)
    ]


class CatalogParts:
    """Collects the received parts of the newest configuration."""

    __slots__ = ("_version", "_parts", "_data_by_number")

    def __init__(self) -> None:
        """Start without parts."""
        self._version = 0
        self._parts = 0
        self._data_by_number: dict[int, bytes] = {}

    def take(self, part: CatalogPart) -> bytes | None:
        """Add a received part.

        :returns: the configuration if this part completes it, or ``None``.
        :raises ValueError: if the parts cannot be decompressed.
        """
        most = -(-MAX_COMPRESSED_BYTES // PART_BYTES)
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
            raw = expander.decompress(data, MAX_RAW_BYTES)
        except zlib.error as error:
            raise ValueError(f"parts of a configuration: {error}") from None
        if not expander.eof:
            raise ValueError("parts of a configuration do not end")
        return raw
