"""How long requests of a route take, to tell whether one can end before a stop."""

from collections import OrderedDict, deque

from camphorgate.serving.catalog import Route

# Requests of a route whose durations are remembered.
REMEMBERED_REQUESTS = 32
# A request may take this much longer than the longest remembered one.
LONGER_FACTOR = 1.5
# A route with fewer remembered requests is assumed to take a multiple of its target
# latency, at least a second.
MIN_REQUESTS = 3
UNKNOWN_TARGETS = 4.0
MIN_UNKNOWN_SECONDS = 1.0
# Routes whose durations are remembered; the one used longest ago is forgotten first.
MAX_ROUTES = 500


class RouteDurations:
    """The durations of the latest requests of each route."""

    __slots__ = ("_seconds_by_route",)

    def __init__(self) -> None:
        """Initialize without durations."""
        self._seconds_by_route: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, route: Route, seconds: float) -> None:
        """Record how long a complete answer took."""
        known = self._seconds_by_route.setdefault(
            route.name, deque(maxlen=REMEMBERED_REQUESTS)
        )
        known.append(seconds)
        self._seconds_by_route.move_to_end(route.name)
        if len(self._seconds_by_route) > MAX_ROUTES:
            self._seconds_by_route.popitem(last=False)

    def needed_seconds(self, route: Route) -> float:
        """Return the time within which a request of a route ends almost certainly."""
        known = self._seconds_by_route.get(route.name, ())
        longest = max(known, default=0.0) * LONGER_FACTOR
        if len(known) < MIN_REQUESTS:
            unknown = max(route.target_seconds * UNKNOWN_TARGETS, MIN_UNKNOWN_SECONDS)
            longest = max(longest, unknown)
        return min(longest, route.timeout_seconds)
