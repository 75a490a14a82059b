"""Maps the service that a workspace is owed to a request priority for the engine.

Engines prefill prompts of a higher priority first. Fair queueing does not cover
requests that wait inside an engine, so the priority extends its order into the engine.
"""

# Highest priority; the lowest is 0. The range is small, and the priority of a workspace
# falls as it is served, so no workspace stays ahead of the others.
MAX_PRIORITY = 5
# Owed service per priority level, about five long reads.
SERVICE_PER_PRIORITY = 1000.0


def priority_for_deficit(owed: float) -> int:
    """Return the priority of a request, higher first.

    :param owed: service that its workspace lacks, from ``FairOrder.owed``.
    :returns: 0 for a workspace at or above its fair share, more for one below it.
    """
    if owed <= 0:
        return 0
    return int(min(MAX_PRIORITY, owed / SERVICE_PER_PRIORITY))
