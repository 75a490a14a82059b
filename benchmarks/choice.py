"""Times the choice of an engine in a large fleet: ``python -m benchmarks.choice``.

Prints the microseconds per choice, as the median of several rounds. The numbers of
instances and engines are those of the users' large deployment. It uses only interfaces
that every version of the serving package has, so that two source trees can be compared
on one machine.
"""

import asyncio
import statistics
import time

import fire

from camphorgate.serving.catalog import Phase, Upstream
from camphorgate.serving.loads import Load
from camphorgate.serving.placement import Prompt
from camphorgated.serving import daemon
from tests.hosted import build_hosted_settings

SERVICE = "models"


def build_engine(number: int) -> Upstream:
    """Return an engine; one in three is a decode engine, the others are for prefill."""
    phase = Phase.DECODE if number % 3 == 0 else Phase.PREFILL
    return Upstream(
        id=f"engine-{number}",
        service=SERVICE,
        address=f"10.1.0.{number}:80",
        zone=f"zone-{number % 6}",
        slots=64,
        leaving=False,
        revision=number + 1,
        phase=phase,
    )


async def measure(engines: int, peers: int, rounds: int, choices: int) -> float:
    """Return the median duration of one choice in microseconds."""
    app = daemon.build(build_hosted_settings("127.0.0.1:9"))
    table = app.service("directory").table
    for number in range(engines):
        table.apply_entry(build_engine(number))
    upstreams = app.service("upstreams")
    for peer in range(peers):
        loads = {f"engine-{peer % engines}": Load(1, 900)}
        upstreams.loads.receive_loads(f"entry-{peer}", loads, 0.0)
    prompt = Prompt(12000, (("shared", 5400), ("own", 6600)))
    durations = []
    for _ in range(rounds):
        began = time.perf_counter()
        for _ in range(choices):
            found = upstreams.candidates(SERVICE, set())
            readers = [item for item in found if item.phase is Phase.PREFILL]
            upstreams.placement.choose_for_prefill(readers, prompt, 1.0)
        durations.append((time.perf_counter() - began) / choices * 1e6)
    return statistics.median(durations)


def main(engines=78, peers=194, rounds=15, choices=200) -> None:
    """Print the median duration of one choice."""
    duration = asyncio.run(measure(engines, peers, rounds, choices))
    print(f"{duration:.1f} us a choice, {engines} engines, {peers} peers")


if __name__ == "__main__":
    fire.Fire(main)
