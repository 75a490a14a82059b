"""Bounded names of prompt parts.

Load addressed: callers choose the names of parts, up to the size of a head each, and
instances keep names of many prompts and send them to each other.
"""

import xxhash

# Longer names are replaced by a hash; those of ordinary callers are far shorter.
MAX_NAME_CHARACTERS = 32
# Length of such a hash, with its prefix.
MAX_KEY_CHARACTERS = 37


def part_key(name: str) -> str:
    """Return the name of a part, or a hash in its place if it is long."""
    if len(name) <= MAX_NAME_CHARACTERS:
        return name
    return f"hash-{xxhash.xxh3_128_hexdigest(name.encode())}"


def bound_names(parts: tuple[tuple[str, int], ...]) -> tuple[tuple[str, int], ...]:
    """Return parts, given as pairs of name and tokens, with bounded names."""
    if all(len(name) <= MAX_NAME_CHARACTERS for name, _ in parts):
        return parts
    return tuple((part_key(name), tokens) for name, tokens in parts)
