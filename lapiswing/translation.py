"""Translates the operators' settings and the servers' load reports into the names and units of lapiswing, for every wire that
brings them: the simulator's and the platform's."""

import re

from lapiswing.interface import RequestClass

REPORT_NAMES = {"x0": "held", "x1": "unread"}
EFFECTS = {"retryable": "replayable", "dedup": "keyed", "fragile": "non-replayable"}


def us(ms):
    """Milliseconds as whole microseconds; None stays None."""
    return None if ms is None else round(ms * 1000)


def report(figures):
    """A load report with the meaning that family_info gives to x0 and x1: fraction of memory held, thousands of tokens still to
    read or fetch."""
    return {REPORT_NAMES.get(name, name): value for name, value in figures.items()} if figures else None


def snake_case(name):
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower()


def normalized(value):
    """Settings with snake-case names, and every ...Ms figure as whole microseconds under ..._us."""
    if isinstance(value, list):
        return [normalized(item) for item in value]
    if not isinstance(value, dict):
        return value
    out = {}
    for name, item in value.items():
        if name.endswith("Ms") and item is not None:
            out[snake_case(name[:-2]) + "_us"] = [us(one) for one in item] if isinstance(item, list) else us(item)
        else:
            out[snake_case(name)] = normalized(item)
    return out


def settings_of(raw):
    """The settings that the Router is given, from those of the wire."""
    out = normalized(raw)
    family = out.get("family_info", {})
    classes = out.pop("classes", [])
    per_1000 = family.get("aim_us_per1000_prompt_tokens") or [0] * len(classes)
    token_targets = family.get("token_aim_us") or [0] * len(classes)
    out["groups"] = [
        RequestClass(
            c.get("name", ""),
            EFFECTS.get(c.get("effect"), c.get("effect")),
            c.get("group", "all"),
            c.get("memory_span_us", 0),
            c.get("on_time_us", 0),
            round(per_1000[i]),
            token_targets[i],
            c.get("value", 1.0),
            c.get("late_worth", 0.0),
            c.get("deadline_us"),
        )
        for i, c in enumerate(classes)
    ]
    return out
