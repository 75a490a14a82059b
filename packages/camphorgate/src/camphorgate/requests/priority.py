"""The priority that an engine is told for a request, from its workspace's service.

Engines take prompts of a higher priority first. What waits inside an engine is out of
reach of the fair order, so the priority carries that order into the engine.
"""

# Highest priority; the lowest is 0. The range is small and bounded, and a workspace
# falls through it as it is served, so no workspace stays ahead of the others.
MAX_PRIORITY = 5
# Service owed per step: about five long reads.
STEP_SERVICE = 1000.0


def priority_of(owed: float) -> int:
    """Return the priority of a request, higher first.

    :param owed: service that its workspace may catch up, from ``FairOrder.owed``.
    :returns: 0 for a workspace at or above its fair share, more for one below it.
    """
    if owed <= 0:
        return 0
    return int(min(MAX_PRIORITY, owed / STEP_SERVICE))
