"""Measures the cost of the control extensions and how fast changes come into force.

Run ``python -m benchmarks.control_plane --sizes 2,4,8,16``. Each daemon is a process.
The baseline is a daemon without control extensions; the difference is the control cost.
"""

import argparse
import json
import statistics
import time

import msgspec

from benchmarks.control_processes import (
    BASELINE_EXTENSIONS,
    CONTROL_EXTENSIONS,
    Daemons,
    call,
    wait_for,
)
from camphorgate.manifest import (
    AvailabilityZone,
    Manifest,
    Model,
    Pool,
    Upstream,
    Workspace,
    key_digest,
)

SETTLE_SECONDS = 4.0


class Row(msgspec.Struct):
    """Results for one number of daemons; rates are means per daemon.

    ``core`` is a share of a processor core, ``change_ms`` the processor time of one
    change. ``manifest_s`` and ``withdrawal_s`` are the median and the longest time
    until a manifest or a withdrawal is in force everywhere.
    """

    daemons: int
    core: float
    megabytes: float
    bytes_per_second: float
    kv_calls_per_second: float
    change_ms: float = 0.0
    change_bytes: float = 0.0
    manifest_s: tuple[float, float] = (0.0, 0.0)
    withdrawal_s: tuple[float, float] = (0.0, 0.0)
    missing: int = 0


def build_manifest(workspaces: int, change: int, withdrawn: bool) -> str:
    """Return a manifest in which one workspace is changed.

    :param change: number of the change, which determines the workspace.
    :param withdrawn: whether its key is withdrawn; otherwise its weight changes.
    """
    changed = change % workspaces
    manifest = Manifest(
        deployment="benchmark",
        availability_zones=(AvailabilityZone("zone-a", "region-1"),),
        pools=(
            Pool(
                "models",
                "engines",
                upstreams=(Upstream("engine-1", "127.0.0.1:9001", "zone-a"),),
            ),
        ),
        models=(Model("assistant", "models"),),
        workspaces=tuple(
            Workspace(
                f"workspace-{number}",
                weight=float(1 + (change if number == changed else 0)),
                key_digests=()
                if withdrawn and number == changed
                else (key_digest(f"key-{number}"),),
            )
            for number in range(workspaces)
        ),
    )
    return msgspec.json.encode(manifest).decode()


def measure(daemons: Daemons, seconds: float) -> tuple[list[float], ...]:
    """Return rates per second: processor time and bytes of each daemon, KV calls."""
    before = (daemons.cpu_seconds(), daemons.bytes_sent(), daemons.kv_calls())
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started_at
    after = (daemons.cpu_seconds(), daemons.bytes_sent(), daemons.kv_calls())
    cpu = [(b - a) / elapsed for a, b in zip(before[0], after[0], strict=True)]
    sent = [(b - a) / elapsed for a, b in zip(before[1], after[1], strict=True)]
    return cpu, sent, (after[2] - before[2]) / elapsed


def submit(daemons: Daemons, text: str, base: int) -> tuple[float | None, bool]:
    """Submit a manifest to one daemon.

    :returns: seconds until it is in force everywhere, and whether it is.
    """
    admin = daemons.admins[base % len(daemons.admins)]
    started_at = time.time()
    path = f"/admin/manifest?base_version={base}&wait_seconds=8"
    response = call(admin, path, text.encode())
    if not response["in_force_everywhere"]:
        return None, False
    time.sleep(0.1)
    times = daemons.in_force_times(response["version"])
    return max(
        time_in_force for time_in_force in times if time_in_force
    ) - started_at, True


def run_changes(daemons: Daemons, row: Row, changes: int, workspaces: int) -> None:
    """Alternate changes and withdrawals, and store the results in a row."""
    seconds_by_kind: dict[bool, list[float]] = {False: [], True: []}
    cpu, sent = daemons.cpu_seconds(), daemons.bytes_sent()
    started_at = time.monotonic()
    for change in range(1, changes + 1):
        withdrawn = change % 2 == 0
        text = build_manifest(workspaces, change, withdrawn)
        seconds, everywhere = submit(daemons, text, change)
        if everywhere:
            seconds_by_kind[withdrawn].append(seconds)
        else:
            row.missing += 1
    elapsed = time.monotonic() - started_at
    cost = [b - a for a, b in zip(cpu, daemons.cpu_seconds(), strict=True)]
    bytes_sent = [b - a for a, b in zip(sent, daemons.bytes_sent(), strict=True)]
    extra = statistics.mean(cost) - row.core * elapsed
    row.change_ms = 1000 * extra / changes
    row.change_bytes = (
        statistics.mean(bytes_sent) - row.bytes_per_second * elapsed
    ) / changes
    row.manifest_s = _median_and_longest(seconds_by_kind[False])
    row.withdrawal_s = _median_and_longest(seconds_by_kind[True])


def measure_size(
    count: int, extensions: tuple, seconds: float, changes: int, workspaces: int
) -> Row:
    """Start a number of daemons and measure them idle and under changes."""
    daemons = Daemons(count, extensions)
    try:
        controlled = "configuration" in extensions
        if controlled:
            wait_for(lambda: _all_live(daemons, count))
            submit(daemons, build_manifest(workspaces, 0, False), 0)
        time.sleep(SETTLE_SECONDS)
        cpu, sent, calls = measure(daemons, seconds)
        row = Row(
            daemons=count,
            core=statistics.mean(cpu),
            megabytes=statistics.mean(daemons.resident_bytes()) / 1e6,
            bytes_per_second=statistics.mean(sent),
            kv_calls_per_second=calls / count,
        )
        if controlled:
            run_changes(daemons, row, changes, workspaces)
        return row
    finally:
        daemons.close()


def _all_live(daemons: Daemons, count: int) -> bool:
    return all(
        call(admin, "/admin/dump")["membership"]["live"] == count
        for admin in daemons.admins
    )


def _median_and_longest(seconds: list[float]) -> tuple[float, float]:
    if not seconds:
        return (float("nan"), float("nan"))
    return statistics.median(seconds), max(seconds)


def _slope(rows: list[Row], name: str) -> float:
    """Return the increase of a field per daemon, by least squares."""
    sizes = [row.daemons for row in rows]
    values = [getattr(row, name) for row in rows]
    return statistics.linear_regression(sizes, values).slope


def print_table(baseline: Row, rows: list[Row]) -> None:
    """Print the control cost of each size above the baseline."""
    print("daemons  core %   MB  bytes/s  KV calls/s  ms/change  bytes/change", end="")
    print("  manifest s (max)  withdrawal s (max)  missing")
    for row in rows:
        print(
            f"{row.daemons:7}  {100 * (row.core - baseline.core):6.2f}"
            f"  {row.megabytes - baseline.megabytes:3.0f}"
            f"  {row.bytes_per_second - baseline.bytes_per_second:7.0f}"
            f"  {row.kv_calls_per_second:10.2f}  {row.change_ms:9.1f}"
            f"  {row.change_bytes:12.0f}"
            f"     {row.manifest_s[0]:6.3f} ({row.manifest_s[1]:.3f})"
            f"      {row.withdrawal_s[0]:6.3f} ({row.withdrawal_s[1]:.3f})"
            f"  {row.missing:7}"
        )
    print(
        f"baseline without control: core {100 * baseline.core:.2f}%, "
        f"{baseline.megabytes:.0f} MB, {baseline.bytes_per_second:.0f} bytes/s"
    )
    if len(rows) > 1:
        for name in ("core", "megabytes", "bytes_per_second", "kv_calls_per_second"):
            print(f"slope of {name} per daemon: {_slope(rows, name):.5f}")


def main() -> None:
    """Measure the baseline and each size, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="2,4,8,16")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of the idle measurement"
    )
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--workspaces", type=int, default=100)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    baseline = measure_size(
        2, BASELINE_EXTENSIONS, options.seconds, 0, options.workspaces
    )
    rows = [
        measure_size(
            int(size),
            CONTROL_EXTENSIONS,
            options.seconds,
            options.changes,
            options.workspaces,
        )
        for size in options.sizes.split(",")
    ]
    print_table(baseline, rows)
    if options.json:
        print(json.dumps(msgspec.to_builtins([baseline, *rows])))


if __name__ == "__main__":
    main()
