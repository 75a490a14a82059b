"""Splits an encoded configuration into datagrams and reassembles it."""

from camphorgate.serving.catalog_encoding import MAX_ENCODED_BYTES, EncodedCatalog
from camphorgated.serving.messages import CatalogPart, MissingParts

# Keeps the datagram of a part below the size at which links fragment it.
PART_BYTES = 1100
MAX_PARTS = -(-MAX_ENCODED_BYTES // PART_BYTES)
# Configurations of which parts are kept at a time; the oldest is dropped first.
MAX_INCOMPLETE = 4


def split_catalog(
    instance: str, zone: str, encoded: EncodedCatalog
) -> list[CatalogPart]:
    """Return an encoded configuration in parts, or none if it is too large."""
    data = encoded.data
    if len(data) > MAX_ENCODED_BYTES:
        return []
    pieces = [
        data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)
    ]
    return [
        CatalogPart(
            instance, zone, encoded.version, encoded.base, number, len(pieces), piece
        )
        for number, piece in enumerate(pieces)
    ]


class CatalogParts:
    """Collects the received parts of the newest configurations."""

    __slots__ = ("_pieces_by_encoding",)

    def __init__(self) -> None:
        """Start without parts."""
        # By version, base and number of parts.
        self._pieces_by_encoding: dict[tuple[int, int, int], dict[int, bytes]] = {}

    def lacks(self, part: CatalogPart) -> bool:
        """Return whether a part has not been received before."""
        return part.number not in self._pieces_by_encoding.get(_encoding(part), {})

    def take(self, part: CatalogPart) -> EncodedCatalog | None:
        """Add a received part.

        :returns: the configuration if this part completes it, or ``None``.
        """
        if not 0 <= part.number < part.parts <= MAX_PARTS:
            return None
        encoding = _encoding(part)
        pieces = self._pieces_by_encoding.setdefault(encoding, {})
        pieces[part.number] = part.data
        if len(pieces) == part.parts:
            del self._pieces_by_encoding[encoding]
            data = b"".join(pieces[number] for number in range(part.parts))
            return EncodedCatalog(part.version, part.base, data)
        if len(self._pieces_by_encoding) > MAX_INCOMPLETE:
            del self._pieces_by_encoding[min(self._pieces_by_encoding)]
        return None

    def missing(self) -> MissingParts | None:
        """Return what the newest incomplete configuration lacks.

        :returns: ``None`` if there is none, or if most of it is missing, so that
            another encoding may be smaller.
        """
        if not self._pieces_by_encoding:
            return None
        version, base, parts = encoding = max(self._pieces_by_encoding)
        pieces = self._pieces_by_encoding[encoding]
        numbers = [number for number in range(parts) if number not in pieces]
        if 2 * len(numbers) > parts:
            return None
        return MissingParts(version, base, parts, numbers)

    def drop_older(self, version: int) -> None:
        """Drop the parts of a version and of all before it."""
        for encoding in list(self._pieces_by_encoding):
            if encoding[0] <= version:
                del self._pieces_by_encoding[encoding]


def _encoding(part: CatalogPart) -> tuple[int, int, int]:
    """Return what the parts of one encoded configuration have in common."""
    return part.version, part.base, part.parts
