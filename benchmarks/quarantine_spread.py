"""Measures the exchange of quarantines: ``python -m benchmarks.quarantine_spread``.

Prints for each size of fleet, from a simulation with 30% of the datagrams lost: the
ends under a crashing part, the time from the fifth end to the block on the last
instance, the bytes a second that an instance sends during the incident and with one
block at rest, the largest datagram and the calls to the store.
"""

from camphorgate.log import configure_logging
from tests.quarantine_fleet import CRASHING_PART, QuarantineFleet

SIZES = ((8, 6), (33, 14), (195, 78), (750, 300))
CRASHING_RATE = 4.0
SOUND_PER_ENGINE = 2.0
LOSS = 0.3
INCIDENT_SECONDS = 10.0
STEP_SECONDS = 0.05


def measure(size: int, engines: int) -> dict[str, float]:
    """Return the figures of one fleet."""
    fleet = QuarantineFleet(size, engines, loss=LOSS)
    fleet.send_steadily(SOUND_PER_ENGINE * engines, False, INCIDENT_SECONDS + 2.0)
    fleet.run(2.0)
    fleet.send_steadily(CRASHING_RATE, True, INCIDENT_SECONDS)
    began_at = fleet.now
    blocked_at = None
    while fleet.now < began_at + INCIDENT_SECONDS:
        fleet.run(STEP_SECONDS)
        if blocked_at is None and all(
            instance.quarantine.find_block((CRASHING_PART,)) is not None
            for instance in fleet.instances
        ):
            blocked_at = fleet.now
    incident = fleet.sent_bytes / size / INCIDENT_SECONDS
    fleet.run(60.0)
    fleet.sent_bytes = 0
    fleet.run(10.0)
    fifth = fleet.ends[4] if len(fleet.ends) > 4 else fleet.ends[-1]
    return {
        "ends": len(fleet.ends),
        "seconds_to_last_block": round(blocked_at - fifth, 2),
        "incident_bytes_per_second": round(incident),
        "rest_bytes_per_second": round(fleet.sent_bytes / size / 10.0),
        "largest_datagram": fleet.largest_datagram,
        "store_calls": fleet.store.calls,
        "late_sends": fleet.late_sends(5, 3.0),
    }


if __name__ == "__main__":
    configure_logging("CRITICAL")
    for size, engines in SIZES:
        print(size, engines, measure(size, engines), flush=True)
