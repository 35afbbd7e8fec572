"""The state of the console and the effect of keys. No I/O.

`key(name)` changes the state and returns the command that the program must carry out: None, ('quit',), ('act', {...}) to send an
action, or ('req', number) to fetch the details of a request."""

from collections import deque

VIEWS = ("overview", "boxes", "reqs", "holds", "tenants", "timeline")
SNAPSHOT_PARTS = {
    "overview": "boxes,counts,tenants,sessions,store,records,modes",
    "boxes": "boxes,counts",
    "reqs": "reqs,counts",
    "holds": "reqs,counts",
    "tenants": "tenants,counts",
    "timeline": "modes,counts",
}
SORT_FIELDS = {
    "boxes": ("box", "mode", "out", "first_us", "bad"),
    "reqs": ("age_ms", "left_ms", "tenant", "stage", "box"),
    "holds": ("held_ms", "box"),
    "tenants": ("taken", "tenant", "pushed back", "open"),
}
MAX_TICKS = 300


class Model:
    """What the console shows: the last snapshot, the feed's ticks and changes, the view and the selection."""

    def __init__(self, address, may_act=False):
        self.address, self.may_act = address, may_act
        self.connection_state, self.state_since_ms, self.problem = "connecting", None, None
        self.snap, self.snap_at_ms, self.seq, self.process = None, None, None, None  # process: the gateway's (pid, name)
        self.ticks, self.changes, self.missed_changes, self.restarts = deque(maxlen=MAX_TICKS), deque(maxlen=500), 0, 0
        self.view, self.selected, self.first_visible = "overview", 0, 0
        self.sort = {name: 0 for name in SORT_FIELDS}
        self.reverse_order, self.search, self.paused, self.show_help = False, "", False, False
        self.prompt = None  # (question, text typed so far, what to do on Enter)
        self.message, self.detail = "", None

    # ---- from the socket

    def connected(self, now_ms):
        """The feed has been opened."""
        self.connection_state, self.state_since_ms, self.problem = "live", now_ms, None

    def lost(self, now_ms, why):
        """The connection has failed, or an attempt to open it."""
        if self.connection_state == "live" or self.state_since_ms is None:
            self.state_since_ms = now_ms
        self.connection_state, self.problem = "lost", why

    def snapshot(self, value, now_ms):
        """Takes a snapshot over, unless the console is paused; detects a restart of the gateway."""
        gateway = value["gateway"]
        process = gateway["pid"], gateway["name"]
        if self.process is not None and process != self.process:
            self.restarts += 1
            self.message = f"The gateway was started again ({gateway['pid']}); its counts start at zero."
            self.ticks.clear()
            self.seq = None
        self.process = process
        if not self.paused:
            # Parts that this snapshot does not contain keep their last values.
            self.snap, self.snap_at_ms = {**(self.snap or {}), **value}, now_ms
        if self.seq is None:
            self.seq = value["seq"]

    def feed(self, line):
        """Takes a line of the feed over."""
        if line["type"] == "lost":
            self.missed_changes += line["to"] - line["from"] + 1
            self.message = f"{line['to'] - line['from'] + 1} changes were missed."
            return
        if self.seq is not None and line["seq"] <= self.seq and self.ticks:
            return
        self.seq = line["seq"]
        if line["type"] == "tick":
            self.ticks.append(line)
        else:
            self.changes.append(line)
            if line["type"] == "action":
                self.message = line["text"]

    def rates(self, name, span=60):
        """The growth of a counter per tick."""
        values = [tick["counts"].get(name, 0) for tick in list(self.ticks)[-span - 1 :]]
        return [max(0, later - earlier) for earlier, later in zip(values, values[1:])]

    def rate(self, name, span=10):
        """The growth of a counter per second over the last ticks; None with fewer than two."""
        ticks = list(self.ticks)[-span - 1 :]
        if len(ticks) < 2:
            return None
        span_ms = ticks[-1]["unix_ms"] - ticks[0]["unix_ms"]
        return (ticks[-1]["counts"].get(name, 0) - ticks[0]["counts"].get(name, 0)) * 1000 / max(1, span_ms)

    # ---- rows of the views

    def listed(self):
        """The rows of the current view, filtered by the search and sorted."""
        snap = self.snap or {}
        rows = {
            "boxes": snap.get("boxes"),
            "reqs": snap.get("reqs"),
            "tenants": snap.get("tenants"),
            "holds": [r for r in snap.get("reqs") or [] if r.get("held_ms") is not None],
            "timeline": snap.get("modes"),
        }.get(self.view) or []
        if self.search:
            rows = [r for r in rows if any(self.search in str(v).lower() for v in r.values())]
        if self.view in SORT_FIELDS:
            field = SORT_FIELDS[self.view][self.sort[self.view] % len(SORT_FIELDS[self.view])]
            numeric = any(isinstance(r.get(field), (int, float)) for r in rows)
            rows = sorted(rows, key=(lambda r: -(r.get(field) or 0)) if numeric else (lambda r: str(r.get(field))))
        elif self.view == "timeline":
            rows = rows[::-1]
        if self.reverse_order:
            rows = rows[::-1]
        return rows

    # ---- keys

    def key(self, key):
        """Handles a key; for the result see the head of this module."""
        if self.prompt is not None:
            return self.key_in_prompt(key)
        self.message = ""
        if self.show_help:
            self.show_help = False
            return None
        if key in ("q", "Q", "ctrl c"):
            return ("quit",)
        if key in ("?", "h", "f1"):
            self.show_help = True
        elif key in "123456" and len(key) == 1:
            self.show_view(VIEWS[int(key) - 1])
        elif key in ("tab", "right"):
            self.show_view(VIEWS[(VIEWS.index(self.view) + 1) % len(VIEWS)])
        elif key in ("shift tab", "left"):
            self.show_view(VIEWS[VIEWS.index(self.view) - 1])
        elif key in ("down", "j"):
            self.selected += 1
        elif key in ("up", "k"):
            self.selected -= 1
        elif key in ("page down", " "):
            self.selected += 15
        elif key in ("page up", "b"):
            self.selected -= 15
        elif key in ("home", "g"):
            self.selected = 0
        elif key in ("end", "G"):
            self.selected = 1 << 30
        elif key in ("s", ">"):
            if self.view in SORT_FIELDS:
                self.sort[self.view] += 1
                self.message = (
                    "Sorted by "
                    + SORT_FIELDS[self.view][self.sort[self.view] % len(SORT_FIELDS[self.view])].replace("_", " ")
                    + "."
                )
        elif key == "r":
            self.reverse_order = not self.reverse_order
        elif key == "p":
            self.paused = not self.paused
        elif key == "/":
            self.prompt = ("Search: ", "", "search")
        elif key == "esc":
            self.search, self.detail = "", None
        elif key == "enter":
            return self.open_selected()
        else:
            return self.action_for(key)
        self.clamp_selection()
        return None

    def show_view(self, view):
        """Switches to a view and resets what belongs to the last one."""
        self.view, self.selected, self.first_visible, self.detail, self.reverse_order = view, 0, 0, None, False

    def clamp_selection(self):
        """Keeps the selection within the rows."""
        self.selected = max(0, min(self.selected, len(self.listed()) - 1))

    def selected_row(self):
        """The selected row, or None."""
        rows = self.listed()
        return rows[min(self.selected, len(rows) - 1)] if rows else None

    def open_selected(self):
        """Asks for the details of the selected request."""
        row = self.selected_row()
        if self.view in ("reqs", "holds") and row:
            return ("req", row["req"])
        return None

    def action_for(self, key):
        """Handles the keys that act on the gateway."""
        if key not in ("d", "t", "c", "u", "a", "D"):
            return None
        if not self.may_act:
            self.message = "This socket may look only; open the console on the control socket to act."
            return None
        row = self.selected_row() or {}
        if key == "D":
            self.prompt = ("Drain the whole gateway? Type yes: ", "", ("drain-gateway", None))
        elif key == "a":
            open_findings = [f for f in (self.snap or {}).get("findings", ()) if not f["acknowledged"]]
            if open_findings:
                return ("act", {"act": "acknowledge", "what": open_findings[0]["subject"], "kind": open_findings[0]["kind"]})
            self.message = "There is nothing to acknowledge."
        elif self.view == "boxes" and "box" in row:
            if key == "d":
                self.prompt = (f"Drain {row['box']}? Type yes: ", "", ("drain", row["box"]))
            elif key == "t":
                return ("act", {"act": "take-back", "what": row["box"]})
        elif self.view == "tenants" and "tenant" in row:
            if key == "c":
                self.prompt = (f"Cap {row['tenant']} at how many reqs a second, for an hour? ", "", ("cap", row["tenant"]))
            elif key == "u":
                return ("act", {"act": "uncap", "what": row["tenant"]})
        else:
            self.message = "Go to the boxes (2) or tenants (5) first."
        return None

    def key_in_prompt(self, key):
        """Handles a key while a prompt is open."""
        question, text, on_enter = self.prompt
        if key in ("esc", "ctrl c"):
            self.prompt = None
        elif key == "backspace":
            self.prompt = (question, text[:-1], on_enter)
        elif key == "enter":
            self.prompt = None
            if on_enter == "search":
                self.search, self.selected = text.lower(), 0
            elif on_enter[0] == "cap":
                try:
                    return ("act", {"act": "cap", "what": on_enter[1], "rps": float(text)})
                except ValueError:
                    self.message = f"{text!r} is not a number; nothing was done."
            elif text.strip().lower() == "yes":
                return ("act", {"act": on_enter[0], "what": on_enter[1]})
            else:
                self.message = "Nothing was done."
        elif len(key) == 1 and key.isprintable():
            self.prompt = (question, (text + key)[:80], on_enter)
        return None
