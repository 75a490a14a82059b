"""Times at which the store ends the watches of all instances, one after the other.

A connection may go silent without an error while others work. A watch on it shows this
only when the store should have ended it. A change ends the watches of all watchers at
once, so from then on they would end in step, and none would notice before the others.
Here each watcher has its own turn on the common clock: in every interval of
:data:`CHECK_INTERVAL_SECONDS`, the watch of some watcher ends, and if it has missed a
change, its instance reads the change and tells the others. The number of calls of all
instances together does not grow with the number of instances.
"""

from collections.abc import Mapping

from camphorgate.serving.watcher_selection import first_in_zone

# In each interval of this length, the watch of one of the watchers ends. With the time
# after which a missing response counts as lost (0.5 s) and that of the broadcast, this
# is below the smallest bound on a change (2 s).
CHECK_INTERVAL_SECONDS = 0.6
# How long the store holds a watch open at most. The watchers of many zones end theirs
# more often than once per interval.
MAX_WATCH_SECONDS = 5.0
# A watch is opened for at least this long; after a change it may end a turn later.
MIN_WATCH_SECONDS = 0.1


def order_watchers(zone_by_instance: Mapping[str, str]) -> list[str]:
    """Return the instances that should watch the store, in the order of their turns.

    All instances with the same list of members return the same order. Neighbours in it
    are of different zones, so that each zone has turns at even intervals.

    :param zone_by_instance: zone of each listed instance.
    """
    instances_by_zone: dict[str, list[str]] = {}
    for instance, zone in zone_by_instance.items():
        instances_by_zone.setdefault(zone, []).append(instance)
    ranked: list[tuple[int, str, str]] = []
    for zone, instances in instances_by_zone.items():
        ranked += [
            (rank, zone, instance)
            for rank, instance in enumerate(first_in_zone(instances))
        ]
    return [instance for _, _, instance in sorted(ranked)]


def watch_seconds(own: str, watchers: list[str], now: float) -> float:
    """Return for how long the next watch of an instance is open, in seconds.

    :param own: the instance. One that is not among the watchers takes the turn after
        the last of them.
    :param watchers: the instances that should watch, in the order of their turns.
    :param now: the true time, seconds since 1970.
    """
    order = watchers if own in watchers else [*watchers, own]
    period = min(MAX_WATCH_SECONDS, len(order) * CHECK_INTERVAL_SECONDS)
    turn = order.index(own) * period / len(order)
    seconds = (turn - now) % period
    return seconds if seconds >= MIN_WATCH_SECONDS else seconds + period
