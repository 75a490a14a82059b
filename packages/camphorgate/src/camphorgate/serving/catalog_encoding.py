"""Encodes a configuration for other instances.

Most changes concern a few entries of a large configuration. Such a version is encoded
as a patch of the one before it, so that its size follows from the change alone.
"""

import msgspec
import zstandard

# The largest configuration that is decoded; the store holds values of 1 MB.
MAX_RAW_BYTES = 2_097_152
# The largest encoded configuration; one that hardly compresses stays below it.
MAX_ENCODED_BYTES = 1_114_112
# The window covers the base of a patch and the new version, and the hash table has an
# entry for each of their bytes: what it does not hold is not found in the base.
# Both are powers of two.
WINDOW_LOG = 22
HASH_LOG = 20


class EncodedCatalog(msgspec.Struct, frozen=True):
    """A version of the configuration as instances exchange it.

    ``base`` is the version that ``data`` is a patch of; 0 if it is complete.
    """

    version: int
    base: int
    data: bytes


def encode_catalog(
    version: int, raw: bytes, base: int = 0, base_raw: bytes = b""
) -> EncodedCatalog:
    """Encode a configuration.

    :param base: the version that the receivers have, 0 for a complete encoding.
    :param base_raw: the configuration of that version.
    """
    parameters = zstandard.ZstdCompressionParameters(
        strategy=zstandard.STRATEGY_FAST,
        window_log=WINDOW_LOG,
        hash_log=HASH_LOG,
        write_checksum=True,
        write_content_size=True,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base_raw) if base else None,
        compression_params=parameters,
    )
    return EncodedCatalog(version, base, compressor.compress(raw))


def decode_catalog(encoded: EncodedCatalog, base_raw: bytes = b"") -> bytes:
    """Return an encoded configuration as it was.

    :param base_raw: the configuration that it is a patch of.
    :raises ValueError: if the data is corrupt, too large, or a patch of another base.
    """
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(base_raw) if encoded.base else None,
        max_window_size=1 << WINDOW_LOG,
    )
    try:
        size = zstandard.frame_content_size(encoded.data)
        if not 0 <= size <= MAX_RAW_BYTES:
            raise ValueError(f"configuration of {size} bytes")
        return decompressor.decompress(encoded.data)
    except zstandard.ZstdError as error:
        raise ValueError(f"encoded configuration: {error}") from None


def _dictionary(raw: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(raw, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
