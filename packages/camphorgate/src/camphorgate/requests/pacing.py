"""How much work an instance sends to the engines of a pool before it holds back.

What waits at the instance can still be ordered by fairness and go to the engine that
is free first; what waits at an engine cannot. The window follows the delay that the
engines show, as congestion windows do (Chiu and Jain, 1989), but never falls below the
instance's equal part: without that floor, instances that see little of the engines
choose badly, shrink and see even less.
"""

# Wait at an engine, beyond a request's own prompt, above which the window shrinks, and
# the prompt work in seconds that all instances together may always keep at an engine.
TARGET_SECONDS = 0.25
# With 0.25 s in both places the queue cost a tenth of the goodput below overload.
FLOOR_SECONDS = 0.5
# Part of the slots that all instances together fill in the floor. With all of them, a
# request of a small workspace waits at the engine for a slot (round 9 of
# docs/measurements/routing.md).
SLOT_SHARE = 0.9
# How much the window grows, in floors, once a whole window was answered in time.
GROWTH = 0.15
SHRINK_FACTOR = 0.7
# The window shrinks at most once in this time, the delay until it shows an effect.
SHRINK_SECONDS = 0.5


class DispatchWindow:
    """The work that an instance may have at the engines of a pool.

    ``scale`` is the window in floors: the instance's equal part of slots and of prompt
    tokens without a first token.
    """

    __slots__ = ("scale", "_tokens", "_requests", "_shrunk_at", "_limiting")

    def __init__(self) -> None:
        """Start without a floor; one request is always allowed."""
        self.scale = 1.0
        self._tokens = 0.0
        self._requests = 0.0
        self._shrunk_at = float("-inf")
        self._limiting = False

    def set_share(self, tokens_per_second: float, slots: int, instances: int) -> None:
        """Set the floor.

        :param tokens_per_second: prefill rate of all usable upstreams of the pool.
        :param slots: of the same upstreams.
        :param instances: live instances, at least 1.
        """
        self._tokens = FLOOR_SECONDS * tokens_per_second / max(instances, 1)
        self._requests = SLOT_SHARE * slots / max(instances, 1)

    def allows(self, prefill_tokens: float, requests: int) -> bool:
        """Tell whether a further request may be sent.

        :param prefill_tokens: own prompt tokens at the pool without a first token.
        :param requests: own requests at the pool.
        """
        self._limiting = requests > 0 and (
            prefill_tokens >= self.scale * self._tokens
            or requests >= self.scale * self._requests
        )
        return not self._limiting

    def note_first_token(self, wait: float, tokens: float, now: float) -> None:
        """Take a first token.

        :param wait: seconds since it was sent, less those that its prompt takes.
        :param tokens: its prompt tokens.
        :param now: monotonic seconds.
        """
        if wait > TARGET_SECONDS:
            if now - self._shrunk_at >= SHRINK_SECONDS:
                self._shrunk_at = now
                self.scale = max(1.0, self.scale * SHRINK_FACTOR)
        elif self._limiting:
            # A window that is not used up must not grow without bound.
            part = tokens / max(self.scale * self._tokens, 1.0)
            self.scale += GROWTH * min(1.0, part)
