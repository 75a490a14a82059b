"""Draws the plots of the fleet replay from ``docs/measurements/fleet.csv``.

``python -m benchmarks.fleet_plots`` writes ``docs/plots/fleet_*.svg``.
"""

import csv
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt

from benchmarks.fleet_replay import PLANS, RESULTS

PLOTS = Path(__file__).resolve().parent.parent / "docs/plots"
LABELS = {
    "goodput": "requests in time, share",
    "cost_per_goodput": "upstream-hours per 1000 requests in time",
    "changes": "role changes",
    "worst_workspace": "worst workspace, part of its fair share",
}
BAR_WIDTH = 0.2
# Text elements and stable ids keep the files small and identical between runs.
plt.rcParams["svg.fonttype"] = "none"
plt.rcParams["svg.hashsalt"] = "fleet"


def draw(rows: list[dict], deployment: str) -> None:
    """Plot each field by trace and plan, with the range over the seeds."""
    deployment_rows = [row for row in rows if row["deployment"] == deployment]
    traces = list(dict.fromkeys(row["trace"] for row in deployment_rows))
    figure, axes = plt.subplots(2, 2, figsize=(10, 6), layout="constrained")
    for axis, (field, label) in zip(axes.flat, LABELS.items(), strict=True):
        for number, plan in enumerate(PLANS):
            _draw_plan(axis, deployment_rows, traces, plan, field, number)
        axis.set_xticks(range(len(traces)), traces, fontsize=7)
        axis.set_title(label, fontsize=9)
    axes[0][0].legend(fontsize=7, loc="lower left")
    figure.suptitle(f"{deployment}: mean, lowest and highest seed")
    figure.savefig(PLOTS / f"fleet_{deployment}.svg", metadata={"Date": None})
    plt.close(figure)


def _draw_plan(axis, rows, traces, plan, field, number) -> None:
    values = [
        [
            float(row[field])
            for row in rows
            if row["trace"] == trace and row["plan"] == plan
        ]
        for trace in traces
    ]
    means = [sum(items) / len(items) for items in values]
    low = [mean - min(items) for mean, items in zip(means, values, strict=True)]
    high = [max(items) - mean for mean, items in zip(means, values, strict=True)]
    positions = [index + (number - 1.5) * BAR_WIDTH for index in range(len(traces))]
    axis.bar(
        positions, means, BAR_WIDTH, label=plan, yerr=[low, high], error_kw={"lw": 0.7}
    )


def main() -> None:
    """Draw the plots of both deployments."""
    with RESULTS.open(encoding="utf-8", newline="") as file:
        rows = list(csv.DictReader(file))
    for deployment in dict.fromkeys(row["deployment"] for row in rows):
        draw(rows, deployment)


if __name__ == "__main__":
    main()
