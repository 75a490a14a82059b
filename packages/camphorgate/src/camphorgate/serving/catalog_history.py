"""Holds the newest versions of the configuration, as instances exchange them."""

from camphorgate.serving.catalog_encoding import (
    EncodedCatalog,
    decode_catalog,
    encode_catalog,
)

# Patches that are kept until the version that they are based on arrives.
MAX_WAITING_PATCHES = 8


class CatalogHistory:
    """The configuration in force and the one before it, with their encodings."""

    __slots__ = (
        "version",
        "_raw_by_version",
        "_encoded_by_base",
        "_waiting_by_base",
    )

    def __init__(self) -> None:
        """Start without a configuration."""
        self.version = 0
        self._raw_by_version: dict[int, bytes] = {}
        self._encoded_by_base: dict[int, EncodedCatalog] = {}
        self._waiting_by_base: dict[int, EncodedCatalog] = {}

    def add(self, version: int, raw: bytes) -> None:
        """Add a version that came into force."""
        previous = self.version
        self._raw_by_version = {
            known: data
            for known, data in self._raw_by_version.items()
            if known == previous
        }
        self._raw_by_version[version] = raw
        self.version = version
        self._encoded_by_base.clear()
        for base, encoded in list(self._waiting_by_base.items()):
            if encoded.version <= version:
                del self._waiting_by_base[base]

    def encode(self, base: int) -> EncodedCatalog:
        """Encode the version in force for a receiver that has another one.

        The result is complete unless the receiver has the version before.
        """
        base_raw = self._raw_by_version.get(base, b"") if base < self.version else b""
        base = base if base_raw else 0
        if base not in self._encoded_by_base:
            raw = self._raw_by_version[self.version]
            encoded = encode_catalog(self.version, raw, base, base_raw)
            self._encoded_by_base[base] = encoded
        return self._encoded_by_base[base]

    def encode_change(self) -> EncodedCatalog:
        """Encode the version in force for receivers that have the one before."""
        return self.encode(min(self._raw_by_version))

    def decode(self, encoded: EncodedCatalog) -> bytes | None:
        """Decode a version that a peer sent.

        :returns: ``None`` for a patch of a version that is not known here; it is kept
            until that version is added.
        :raises ValueError: if the data is corrupt.
        """
        if not encoded.base:
            return decode_catalog(encoded)
        base_raw = self._raw_by_version.get(encoded.base)
        if base_raw is not None:
            return decode_catalog(encoded, base_raw)
        if encoded.base > self.version:
            self._waiting_by_base[encoded.base] = encoded
            if len(self._waiting_by_base) > MAX_WAITING_PATCHES:
                del self._waiting_by_base[min(self._waiting_by_base)]
        return None

    def can_decode(self, base: int) -> bool:
        """Return whether a patch of a version can be decoded; 0 is no patch."""
        return not base or base in self._raw_by_version

    def pop_waiting(self) -> EncodedCatalog | None:
        """Return and forget the patch of the version in force, if it has arrived."""
        return self._waiting_by_base.pop(self.version, None)
