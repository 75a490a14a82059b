"""Limits the work that an instance has in flight at the engines of a pool.

A request that waits at the instance can still be ordered by fairness and go to the
first free engine; a request that waits at an engine cannot. The limit is a window with
additive increase and multiplicative decrease, driven by the delay at the engines (Chiu
and Jain, 1989). It never falls below the instance's equal share: without that minimum,
instances with little information about the engines choose badly, shrink their window
and then learn even less.
"""

# The window shrinks if a request waits longer than this at an engine, not counting the
# prefill of its own prompt.
MAX_ENGINE_WAIT_SECONDS = 0.25
# Prefill work in seconds that all instances together may always have at an engine.
# With 0.25 s both here and as the maximum wait, queueing at the instance cost a tenth
# of the goodput below overload.
MIN_WINDOW_PREFILL_SECONDS = 0.5
# Fraction of the slots that all instances together fill with minimum windows. If they
# filled all slots, a request of a small workspace would wait at the engine for a slot
# (round 9 of docs/measurements/routing.md).
MIN_WINDOW_SLOT_FRACTION = 0.9
# Growth of the window, in minimum windows, per full window of requests whose first
# token came in time.
GROWTH_PER_WINDOW = 0.15
SHRINK_FACTOR = 0.7
# The window shrinks at most once per this time, as a change takes as long to show an
# effect.
MIN_SHRINK_INTERVAL_SECONDS = 0.5


class DispatchWindow:
    """Limit on the work that an instance has in flight at the engines of a pool.

    ``scale`` is the size of the window in multiples of the minimum window, which is the
    instance's equal share of the slots and of the prompt tokens in prefill.
    """

    __slots__ = ("scale", "_min_tokens", "_min_requests", "_shrunk_at", "_is_limiting")

    def __init__(self) -> None:
        """Start with a minimum of zero; one request is always allowed."""
        self.scale = 1.0
        self._min_tokens = 0.0
        self._min_requests = 0.0
        self._shrunk_at = float("-inf")
        self._is_limiting = False

    def set_minimum(self, tokens_per_second: float, slots: int, instances: int) -> None:
        """Set the minimum window.

        :param tokens_per_second: total prefill rate of the pool's usable upstreams.
        :param slots: total slots of the same upstreams.
        :param instances: number of live instances; counted as at least 1.
        """
        self._min_tokens = (
            MIN_WINDOW_PREFILL_SECONDS * tokens_per_second / max(instances, 1)
        )
        self._min_requests = MIN_WINDOW_SLOT_FRACTION * slots / max(instances, 1)

    def allows(self, prefill_tokens: float, requests: int) -> bool:
        """Return whether the window admits another request.

        :param prefill_tokens: prompt tokens that this instance has in prefill.
        :param requests: requests that this instance has in flight.
        """
        self._is_limiting = requests > 0 and (
            prefill_tokens >= self.scale * self._min_tokens
            or requests >= self.scale * self._min_requests
        )
        return not self._is_limiting

    def record_first_token(self, wait: float, tokens: float, now: float) -> None:
        """Adjust the window by the delay of a request's first token.

        :param wait: seconds since the request was sent, less its own prefill time.
        :param tokens: prompt tokens of the request.
        :param now: monotonic seconds.
        """
        if wait > MAX_ENGINE_WAIT_SECONDS:
            if now - self._shrunk_at >= MIN_SHRINK_INTERVAL_SECONDS:
                self._shrunk_at = now
                self.scale = max(1.0, self.scale * SHRINK_FACTOR)
        elif self._is_limiting:
            # An unused window must not grow, or it would grow without bound.
            part = tokens / max(self.scale * self._min_tokens, 1.0)
            self.scale += GROWTH_PER_WINDOW * min(1.0, part)
