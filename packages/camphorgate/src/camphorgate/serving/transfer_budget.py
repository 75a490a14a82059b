"""Bounds what an instance sends to peers that ask for large state."""


class TransferBudget:
    """Limits the bytes that wait on an instance's link.

    :param bytes_per_second: rate at which the link is taken to send them.
    :param max_queue_seconds: how long they may take to send. One transfer is accepted
        while none is under way, whatever its size.
    """

    __slots__ = ("_bytes_per_second", "_max_queue_seconds", "_free_at")

    def __init__(self, bytes_per_second: float, max_queue_seconds: float) -> None:
        """Start with an idle link."""
        self._bytes_per_second = bytes_per_second
        self._max_queue_seconds = max_queue_seconds
        self._free_at = 0.0

    def try_reserve(self, size: int, now: float) -> bool:
        """Reserve the time of a transfer.

        :param size: bytes to send.
        :returns: false if the peer should ask another instance instead.
        """
        free_at = max(self._free_at, now) + size / self._bytes_per_second
        if self._free_at > now and free_at - now > self._max_queue_seconds:
            return False
        self._free_at = free_at
        return True
