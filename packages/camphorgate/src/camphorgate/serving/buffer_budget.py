"""Bounds the bytes of responses that all exchanges of an instance buffer together.

Each response has a bound of its own, but the sum over hundreds of exchanges with slow
or faulty upstreams would exceed the memory of a small instance. Every exchange may
buffer a small response; what goes beyond it comes from a common budget.
"""

# Budget of all exchanges together, in bytes. The smallest instances have 200 MB, of
# which a daemon needs half; joining the pieces of a response needs them twice.
MAX_BUFFERED_BYTES = 25_165_824
# What an exchange may buffer in any case, in bytes. Responses of plain services and
# events have some hundred bytes.
MIN_BUFFERED_BYTES = 16_384


class BufferBudget:
    """The budget of one instance."""

    __slots__ = ("used_bytes", "rejections")

    def __init__(self) -> None:
        """Initialize with an unused budget."""
        # Bytes that exchanges hold beyond the minimum.
        self.used_bytes = 0
        # How often an exchange got no more bytes.
        self.rejections = 0

    def try_resize(self, held_bytes: int, wanted_bytes: int) -> bool:
        """Change what an exchange holds.

        :param held_bytes: what it has been granted.
        :param wanted_bytes: what it holds from now on.
        :returns: false if the budget does not allow it; nothing changes then.
        """
        charge = _charge(wanted_bytes) - _charge(held_bytes)
        if charge > 0 and self.used_bytes + charge > MAX_BUFFERED_BYTES:
            self.rejections += 1
            return False
        self.used_bytes += charge
        return True


def _charge(held_bytes: int) -> int:
    return max(0, held_bytes - MIN_BUFFERED_BYTES)
