"""The operators' settings and load reports in the module's words, for every wire that brings them: the
simulator's and the platform's. Names and units, nothing else."""

import re

from lapiswing.interface import RequestClass

NAMES = {"x0": "held", "x1": "unread"}
EFFECTS = {"retryable": "replayable", "dedup": "keyed", "fragile": "non-replayable"}


def us(ms):
    return None if ms is None else round(ms * 1000)


def report(pairs):
    """x0 and x1 under what family_info says they mean: memory held, thousands of tokens to read or fetch."""
    return {NAMES.get(name, name): value for name, value in pairs.items()} if pairs else None


def snake(name):
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower()


def plain(value):
    """Settings with snake-case names and every ...Ms figure as whole microseconds under ..._us."""
    if isinstance(value, list):
        return [plain(item) for item in value]
    if not isinstance(value, dict):
        return value
    out = {}
    for name, item in value.items():
        if name.endswith("Ms") and item is not None:
            out[snake(name[:-2]) + "_us"] = [us(one) for one in item] if isinstance(item, list) else us(item)
        else:
            out[snake(name)] = plain(item)
    return out


def settings_of(raw):
    out = plain(raw)
    family = out.get("family_info", {})
    groups = out.pop("classes", [])
    per_1000 = family.get("aim_us_per1000_prompt_tokens") or [0] * len(groups)
    tokens = family.get("token_aim_us") or [0] * len(groups)
    out["groups"] = [
        RequestClass(
            g.get("name", ""),
            EFFECTS.get(g.get("effect"), g.get("effect")),
            g.get("group", "all"),
            g.get("memory_span_us", 0),
            g.get("on_time_us", 0),
            round(per_1000[i]),
            tokens[i],
            g.get("value", 1.0),
            g.get("late_worth", 0.0),
        )
        for i, g in enumerate(groups)
    ]
    return out
