"""A fleet of stand-in model servers ("boxes" in fleet files) on one event loop, and its fault script.

A fleet file is JSON: {"seed": 1, "record": path, "t0_us": time at which the script starts, "models": {name: {"scope": "all",
"window_ms": 5000}}, "boxes": [fields of BoxSpec], "script": [steps]}. A step is
    {"at_ms": 3000, "for_ms": 2000, "boxes": ["127.0.0.1:9001"], "do": "slow", "size": 5}
with `do` one of
    slow, hang, stall, errors, lost, reset_at, garbage, refuse, drain: faults of a server
    path_slow, path_flip, path_cut, path_hold: faults of the link over which a server sends read states to other servers
    die: the process ends, and starts again cold after `for_ms`, if given
    restart: the process ends and starts again cold at once
    flush: drops each entry of the prefix cache with probability `size` (1 by default)
Faults of both kinds are undone after `for_ms`, if given."""

from dataclasses import fields as fields_of

import orjson

from lapiswing.errors import OperatorError
from lapiswing.http1 import Pool
from lapiswing.standin.box import US_PER_MS, Box, BoxSpec, Faults
from lapiswing.standin.record import Record

BOOLEAN_FAULTS = {"hang": True, "stall": True, "refuse": True, "drain": True, "path_hold": True}
ACTIONS = {
    *BOOLEAN_FAULTS,
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
    """An invalid fleet file; the text names the entry."""

    exit_code = 2
    advice = "Correct the named entry; lapiswing/standin/fleet.py describes the format of a fleet file."


def load_fleet(text, where=""):
    """Parses and checks a fleet file; `where` names it in errors. Returns (the parsed file, its BoxSpecs). Raises FleetError."""
    try:
        value = orjson.loads(text)
        names = {field.name for field in fields_of(BoxSpec)}
        for i, row in enumerate(value["boxes"]):
            unknown = set(row) - names
            if unknown:
                raise FleetError(where, f"boxes[{i}]: no such field: {', '.join(sorted(unknown))}")
        specs = [BoxSpec(**row) for row in value["boxes"]]
        ids = {spec.id for spec in specs}
        for i, step in enumerate(value.get("script") or []):
            if step.get("do") not in ACTIONS:
                raise FleetError(where, f"script[{i}].do: {step.get('do')!r} is none of {', '.join(sorted(ACTIONS))}")
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
    """All servers of a fleet; they share the record, the connection pool and the history of idempotency keys."""

    def __init__(self, loop, specs, seed=1, models=None, record=None):
        self.loop, self.seed, self.models = loop, seed, models or {}
        self.record = record or Record(loop)
        self.pool = Pool(loop)
        self.boxes = {spec.id: Box(loop, spec, self, self.record, self.pool) for spec in specs}
        self.marks = {}  # (scope, the zone or cell, idempotency key) -> when the request first ran there

    def start(self):
        """Starts the servers that are up at the beginning."""
        for box in self.boxes.values():
            if box.spec.up:
                box.start(cold=bool(box.spec.started_ms))

    def repeat(self, box, job):
        """Records that a request runs on `box`.

        Returns whether a request with its idempotency key already ran in the same scope within the model's window."""
        model = self.models.get(job.call.model) or {"scope": "all", "window_ms": 5000}
        member = {"zone": box.spec.zone, "cell": box.spec.cell}.get(model["scope"], "")
        now = self.loop.clock.now_us()
        ran_us = self.marks.get((model["scope"], member, job.key))
        if ran_us is not None and now - ran_us <= model["window_ms"] * US_PER_MS:
            return True
        self.marks[model["scope"], member, job.key] = now
        return False

    def play(self, script, t0_us):
        """Schedules the steps of a fault script that starts at `t0_us`."""
        for step in script:
            self.loop.call_at(t0_us + round(step["at_ms"] * US_PER_MS), self.do, step)

    def do(self, step):
        """Carries out one step of the script now."""
        action, duration_ms = step["do"], step.get("for_ms")
        for name in step["boxes"]:
            box = self.boxes[name]
            self.record.put("fault", box=name, do=action, size=step.get("size"))
            if action in ("die", "restart"):
                box.die()
                if action == "restart":
                    box.start(cold=True)
                elif duration_ms:
                    self.loop.call_later(round(duration_ms * US_PER_MS), self.restart, box)
            elif action == "flush":
                box.flush(step.get("size", 1.0))
            else:
                field = "draining" if action == "drain" else action
                value = BOOLEAN_FAULTS.get(action, step.get("size"))
                setattr(box.faults, field, value)
                box.apply_link_faults()
                if duration_ms:
                    self.loop.call_later(round(duration_ms * US_PER_MS), self.undo, box, field, value)

    def undo(self, box, field, value):
        """Ends a fault, unless a later step has set it to another value."""
        if getattr(box.faults, field) == value:
            setattr(box.faults, field, getattr(Faults(), field))
            box.apply_link_faults()
            if field == "draining":
                self.record.put("undrain", box=box.spec.id)

    def restart(self, box):
        """Starts a server again, cold, unless it runs or failed under overload."""
        if box.listener is None and not box.fell:
            box.start(cold=True)

    def close(self):
        for box in self.boxes.values():
            if box.listener is not None:
                box.die()
        self.pool.close()
