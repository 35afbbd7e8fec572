"""Cost against size, with limit and target marked: drawn from the records of `router` runs.

.venv/bin/python -m benchmarks.scale charts
"""

import json
from pathlib import Path

from benchmarks.scale.target import MEGABYTE, TARGET

RECORDS = Path(__file__).parent / "records"
PICTURES = Path(__file__).parent.parent.parent / "docs" / "capacity"
RUNS = {"router-all-pairs": "all pairs of servers", "router": "groups of like servers"}  # record -> how it was
PANELS = (  # field, title, limit or None, scale of the figure
    ("timers_core", "decisions and timers, % of a core", 0.6, 100),
    ("longest_timer_ms", "longest timer, ms", 10, 1),
    ("change_ms", "one server's row changes, ms", 10, 1),
    ("state_bytes", "state of one Router, MB", 10, 1 / MEGABYTE),
)


def middle(values):
    return sorted(values)[len(values) // 2]


def draw_panel(axes, panel, records):
    field, title, limit, scale = panel
    for name, of in RUNS.items():
        if name not in records:
            continue
        sizes = [costs[0]["servers"] for costs in records[name]]
        values = [[cost[field] * scale for cost in costs] for costs in records[name]]
        axes.plot(sizes, [middle(v) for v in values], marker="o", label=of)
        axes.fill_between(sizes, [min(v) for v in values], [max(v) for v in values], alpha=0.2)
    if limit:
        axes.axhline(limit, color="tab:red", linestyle="--", linewidth=1)
        axes.text(sizes[0], limit, "limit", color="tab:red", va="bottom", fontsize=8)
    axes.axvline(TARGET.servers, color="tab:gray", linestyle=":", linewidth=1)
    axes.set(title=title, xlabel="servers (dotted: target)", xscale="log", yscale="log")
    axes.set_xticks(sizes, [str(size) for size in sizes])
    axes.minorticks_off()
    axes.legend(fontsize=8)


def draw():
    """-> the picture's path."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "lapiswing"  # the same picture each time
    import matplotlib.pyplot as plot

    records = {name: json.loads((RECORDS / f"{name}.json").read_text()) for name in RUNS if (RECORDS / f"{name}.json").exists()}
    figure, axes = plot.subplots(2, 2, figsize=(10, 7), layout="constrained")
    for one, panel in zip(axes.flat, PANELS):
        draw_panel(one, panel, records)
    PICTURES.mkdir(exist_ok=True)
    path = PICTURES / "decisions.svg"
    figure.savefig(path, metadata={"Date": None})
    plot.close(figure)
    return path
