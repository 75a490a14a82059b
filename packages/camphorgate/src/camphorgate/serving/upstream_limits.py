"""Limits that upstreams name: the requests a second they take from all instances.

Instances exchange what upstreams say. Answers arrive out of order and at any instance,
so a word that allows more than the known one counts only if its request was sent after
the known one had arrived; one that allows less counts at once.
"""

from collections.abc import Iterable

import msgspec

# An upstream can only say in an answer that its limit has ended, so a very small limit
# still allows a request every ten seconds.
MIN_LIMIT_PER_SECOND = 0.1
# An ended limit is remembered for this long, so that late news do not bring it back.
ENDED_SECONDS = 30.0
# Entries of upstreams that are not listed are kept for this long, as news of a limit
# may arrive before the entry in the list.
UNLISTED_SECONDS = 10.0
# Words from further in the future are ignored: the clocks of two instances differ by
# less.
MAX_FUTURE_SECONDS = 60.0
# A word that replaces another one is later by at least this much, whatever the clocks.
MIN_STEP_SECONDS = 0.001
# Bound on entries, for a fleet of any size with many upstreams in need.
MAX_ENTRIES = 5000

Incarnation = tuple[str, int]


class LimitWord(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said about its limit.

    ``per_second`` is the limit in requests per second, 0 if it has ended. ``said_at``
    orders the words about an upstream: the true time at which the answer arrived, in
    seconds since 1970, but later than every word that it replaces.
    """

    upstream: Incarnation
    per_second: float
    said_at: float


class _Entry:
    """A word and the local time at which this instance received it last."""

    __slots__ = ("word", "received_at")

    def __init__(self, word: LimitWord, received_at: float) -> None:
        self.word = word
        self.received_at = received_at


class LimitTable:
    """The newest word of each incarnation of an upstream that ever named a limit."""

    __slots__ = ("_entry_by_incarnation",)

    def __init__(self) -> None:
        """Initialize without limits."""
        self._entry_by_incarnation: dict[Incarnation, _Entry] = {}

    def limit(self, incarnation: Incarnation) -> float | None:
        """Return the limit in force in requests per second, ``None`` for none."""
        entry = self._entry_by_incarnation.get(incarnation)
        if entry is None or not entry.word.per_second:
            return None
        return max(MIN_LIMIT_PER_SECOND, entry.word.per_second)

    def word(self, incarnation: Incarnation) -> LimitWord | None:
        """Return the newest word of an upstream."""
        entry = self._entry_by_incarnation.get(incarnation)
        return entry.word if entry is not None else None

    def words(self) -> list[LimitWord]:
        """Return the newest words of all upstreams, also of limits that have ended."""
        return [entry.word for entry in self._entry_by_incarnation.values()]

    def record_answer(
        self,
        incarnation: Incarnation,
        per_second: float | None,
        sent_at: float | None,
        now: float,
        true_now: float,
    ) -> LimitWord | None:
        """Record what the answer to a request says.

        :param per_second: the limit that it names, ``None`` if it names none.
        :param sent_at: steady clock time at which the request was sent, ``None`` if it
            is unknown.
        :param true_now: true time in seconds since 1970.
        :returns: the new word if it changes the limit.
        """
        entry = self._entry_by_incarnation.get(incarnation)
        value = per_second or 0.0
        if entry is None:
            if not value or len(self._entry_by_incarnation) >= MAX_ENTRIES:
                return None
        else:
            known = entry.word.per_second
            if value == known:
                entry.received_at = now
                return None
            allows_more = not value or 0.0 < known < value
            if allows_more and (sent_at is None or sent_at <= entry.received_at):
                return None
            true_now = max(true_now, entry.word.said_at + MIN_STEP_SECONDS)
        word = LimitWord(incarnation, value, true_now)
        self._entry_by_incarnation[incarnation] = _Entry(word, now)
        return word

    def merge(self, word: LimitWord, now: float, true_now: float) -> bool:
        """Merge a word that another instance has received.

        :returns: whether it changes the limit.
        """
        if not word.per_second >= 0.0 or not word.said_at < true_now + (
            MAX_FUTURE_SECONDS
        ):
            return False
        entry = self._entry_by_incarnation.get(word.upstream)
        if entry is None:
            if len(self._entry_by_incarnation) >= MAX_ENTRIES:
                return False
            self._entry_by_incarnation[word.upstream] = _Entry(word, now)
            return word.per_second > 0.0
        if _order(word) <= _order(entry.word):
            return False
        changed = word.per_second != entry.word.per_second
        self._entry_by_incarnation[word.upstream] = _Entry(word, now)
        return changed

    def expire(self, listed: Iterable[Incarnation], now: float) -> None:
        """Remove ended limits, and entries of upstreams that are not listed."""
        kept = set(listed)
        for incarnation, entry in list(self._entry_by_incarnation.items()):
            age = now - entry.received_at
            ended = not entry.word.per_second and age > ENDED_SECONDS
            if ended or (incarnation not in kept and age > UNLISTED_SECONDS):
                del self._entry_by_incarnation[incarnation]

    def __len__(self) -> int:
        """Return the number of upstreams with a word."""
        return len(self._entry_by_incarnation)


def _order(word: LimitWord) -> tuple[float, float]:
    """Return the order of the words about an upstream; a lower limit breaks a tie."""
    return word.said_at, -(word.per_second or float("inf"))
