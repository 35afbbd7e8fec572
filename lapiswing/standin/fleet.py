"""A fleet of stand-ins on one loop, and its fault script.

A fleet file is JSON: {"seed": 1, "record": path, "t0_us": time of the script's zero, "models": {name: {"scope": "all",
"window_ms": 5000}}, "boxes": [fields of BoxSpec], "script": [steps]}. A step is
    {"at_ms": 3000, "for_ms": 2000, "boxes": ["127.0.0.1:9001"], "do": "slow", "size": 5}
with `do` one of slow, hang, stall, errors, lost, reset_at, garbage, refuse, drain, and for what a box sends to others
path_slow, path_flip, path_cut, path_hold (each undone after `for_ms`, if given),
die (returns cold after `for_ms`, if given), restart (at once cold), flush."""

from dataclasses import fields as fields_of

import orjson

from lapiswing.errors import OperatorError
from lapiswing.http1 import Pool
from lapiswing.standin.box import MS, Box, BoxSpec, Faults
from lapiswing.standin.record import Record

SWITCHES = {"hang": True, "stall": True, "refuse": True, "drain": True, "path_hold": True}
DOES = {
    *SWITCHES,
    "path_slow",
    "path_flip",
    "path_cut",
    "slow",
    "errors",
    "lost",
    "reset_at",
    "garbage",
    "die",
    "restart",
    "flush",
}


class FleetError(OperatorError):
    """A fleet file that can't be played; the text names the entry."""

    exit_code = 2
    advice = "Mend the named entry; lapiswing/standin/fleet.py lists what a fleet file may hold."


def load_fleet(text, where=""):
    """Raises FleetError."""
    try:
        value = orjson.loads(text)
        names = {f.name for f in fields_of(BoxSpec)}
        for i, row in enumerate(value["boxes"]):
            unknown = set(row) - names
            if unknown:
                raise FleetError(where, f"boxes[{i}]: no such field: {', '.join(sorted(unknown))}")
        specs = [BoxSpec(**row) for row in value["boxes"]]
        ids = {s.id for s in specs}
        for i, step in enumerate(value.get("script") or []):
            if step.get("do") not in DOES:
                raise FleetError(where, f"script[{i}].do: {step.get('do')!r} is none of {', '.join(sorted(DOES))}")
            missing = set(step.get("boxes") or ()) - ids
            if missing or not step.get("boxes"):
                raise FleetError(where, f"script[{i}].boxes: {', '.join(sorted(missing)) or 'none'} not in the fleet")
            if not isinstance(step.get("at_ms"), (int, float)):
                raise FleetError(where, f"script[{i}].at_ms: is missing")
    except orjson.JSONDecodeError as problem:
        raise FleetError(where, f"not JSON: {problem}") from None
    except (KeyError, TypeError) as problem:
        raise FleetError(where, f"malformed: {problem}") from None
    return value, specs


class Fleet:
    def __init__(self, loop, specs, seed=1, models=None, record=None):
        self.loop, self.seed, self.models = loop, seed, models or {}
        self.record = record or Record(loop)
        self.pool = Pool(loop)
        self.boxes = {s.id: Box(loop, s, self, self.record, self.pool) for s in specs}
        self.marks = {}  # (scope's member, key) -> when it first ran there

    def start(self):
        for box in self.boxes.values():
            if box.spec.up:
                box.start(cold=bool(box.spec.started_ms))

    def repeat(self, box, job):
        """Whether the group of boxes that share marks has run this key within its window."""
        model = self.models.get(job.call.model) or {"scope": "all", "window_ms": 5000}
        member = {"zone": box.spec.zone, "cell": box.spec.cell}.get(model["scope"], "")
        now = self.loop.clock.now_us()
        ran = self.marks.get((model["scope"], member, job.key))
        if ran is not None and now - ran <= model["window_ms"] * MS:
            return True
        self.marks[model["scope"], member, job.key] = now
        return False

    def play(self, script, t0_us):
        for step in script:
            self.loop.call_at(t0_us + round(step["at_ms"] * MS), self.do, step)

    def do(self, step):
        what, lasts = step["do"], step.get("for_ms")
        for name in step["boxes"]:
            box = self.boxes[name]
            self.record.put("fault", box=name, do=what, size=step.get("size"))
            if what in ("die", "restart"):
                box.die()
                if what == "restart":
                    box.start(cold=True)
                elif lasts:
                    self.loop.call_later(round(lasts * MS), self.back, box)
            elif what == "flush":
                box.flush(step.get("size", 1.0))
            else:
                field = "draining" if what == "drain" else what
                value = SWITCHES.get(what, step.get("size"))
                setattr(box.faults, field, value)
                box.spoil()
                if lasts:
                    self.loop.call_later(round(lasts * MS), self.undo, box, field, value)

    def undo(self, box, field, value):
        if getattr(box.faults, field) == value:
            setattr(box.faults, field, getattr(Faults(), field))
            box.spoil()
            if field == "draining":
                self.record.put("undrain", box=box.spec.id)

    def back(self, box):
        if box.listener is None and not box.fell:
            box.start(cold=True)

    def close(self):
        for box in self.boxes.values():
            if box.listener is not None:
                box.die()
        self.pool.close()
