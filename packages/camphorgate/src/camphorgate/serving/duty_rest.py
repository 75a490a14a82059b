"""When an instance leaves a free duty to others, so that holders do not alternate.

Load addressed: holders that are killed and stopped one after the other at customers
whose platform checks no fencing numbers. The platform counts instances, not processes:
if an instance acts, another one does, and the first acts again within a lease, a rule
is broken, although a process may have ended in between and with it all that it knew.
"""


class DutyRest:
    """Until when this instance does not take the duty.

    It rests from the last time at which it may have acted. A new process does not know
    this time, only that it is before its own start. The key of the duty is no evidence
    at that moment: it may be the own one, another holder's or missing.

    Every time is of a steady clock, in seconds.
    """

    __slots__ = ("_rest_seconds", "_until")

    def __init__(self, lease_seconds: float, call_seconds: float) -> None:
        """Start without a rest.

        :param lease_seconds: within which holders may not alternate.
        :param call_seconds: how long after the end of a holder its last call may
            arrive.
        """
        self._rest_seconds = lease_seconds + call_seconds
        self._until = float("-inf")

    def record_end(self, now: float) -> None:
        """Record that this instance stopped acting now or at an unknown time before."""
        self._until = now + self._rest_seconds

    def seconds_left(self, now: float) -> float:
        """Return for how long this instance still has to leave the duty to others."""
        return max(0.0, self._until - now)
