"""Charts of cost by number of servers, with limit and target marked, drawn from the records of `router` runs.

.venv/bin/python -m benchmarks.scale charts
"""

import json
from pathlib import Path

from benchmarks.scale.target import MEGABYTE, TARGET

RECORDS = Path(__file__).parent / "records"
CHART_FOLDER = Path(__file__).parent.parent.parent / "docs" / "capacity"
RUNS = {"router-all-pairs": "all pairs of servers", "router": "groups of like servers"}  # name of the record -> legend
PANELS = (  # field, title, limit or None, factor from the unit of the field to that of the title
    ("timers_core", "decisions and timers, % of a core", 0.6, 100),
    ("longest_timer_ms", "longest timer, ms", 10, 1),
    ("change_ms", "one server's row changes, ms", 10, 1),
    ("state_bytes", "state of one Router, MB", 10, 1 / MEGABYTE),
)


def median(values):
    """The median; of an even number of values, the upper of the two in the middle."""
    return sorted(values)[len(values) // 2]


def draw_panel(axes, panel, records):
    """Draws median and range of one field for each record."""
    field, title, limit, scale = panel
    for name, legend in RUNS.items():
        if name not in records:
            continue
        sizes = [costs[0]["servers"] for costs in records[name]]
        values = [[cost[field] * scale for cost in costs] for costs in records[name]]
        axes.plot(sizes, [median(group) for group in values], marker="o", label=legend)
        axes.fill_between(sizes, [min(group) for group in values], [max(group) for group in values], alpha=0.2)
    if limit:
        axes.axhline(limit, color="tab:red", linestyle="--", linewidth=1)
        axes.text(sizes[0], limit, "limit", color="tab:red", va="bottom", fontsize=8)
    axes.axvline(TARGET.servers, color="tab:gray", linestyle=":", linewidth=1)
    axes.set(title=title, xlabel="servers (dotted: target)", xscale="log", yscale="log")
    axes.set_xticks(sizes, [str(size) for size in sizes])
    axes.minorticks_off()
    axes.legend(fontsize=8)


def draw():
    """Draws all panels into one SVG file. -> its path"""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "lapiswing"  # makes the file reproducible
    import matplotlib.pyplot as pyplot

    records = {name: json.loads((RECORDS / f"{name}.json").read_text()) for name in RUNS if (RECORDS / f"{name}.json").exists()}
    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7), layout="constrained")
    for panel_axes, panel in zip(axes.flat, PANELS):
        draw_panel(panel_axes, panel, records)
    CHART_FOLDER.mkdir(exist_ok=True)
    path = CHART_FOLDER / "decisions.svg"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return path
