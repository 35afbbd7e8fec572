"""The console's process: urwid on the terminal, the admin socket on the project's own loop, both in one thread.

It asks for a snapshot of what its view shows once a second, and follows the feed. A gateway that is gone is tried again with growing
pauses; what was known stays on the screen, marked as old."""

import signal
import sys
import time

import orjson
import urwid

from lapiswing.admin.client import parse_address
from lapiswing.console.model import NEEDS, Model
from lapiswing.console.views import render
from lapiswing.http1 import Pool
from lapiswing.loop import Clock, Loop

MS = 1000
SNAP_US, LATE_US = 1_000_000, 3_000_000
PAUSES_US = (200_000, 400_000, 800_000, 1_600_000, 3_000_000)
PALETTE = [
    ("head", "black", "light gray", "standout"),
    ("bad", "light red,bold", "", "bold,standout"),
    ("warn", "yellow", "", "bold"),
    ("good", "light green", "", "bold"),
    ("dim", "dark gray", "", ""),
    ("pick", "black", "dark cyan", "standout"),
]


class Feed:
    """Follows the feed; every line goes to the model."""

    def __init__(self, link):
        self.link, self.raw, self.over, self.ok = link, bytearray(), False, False
        after = link.model.seq
        self.exchange = link.ask(b"GET", f"/v1/feed?after={'now' if after is None else after}", self)

    def on_head(self, status, fields):
        self.ok = status == 200
        if self.ok:
            self.link.up()

    def on_body(self, data):
        self.raw += data
        *lines, rest = bytes(self.raw).split(b"\n")
        self.raw = bytearray(rest)
        for line in lines if self.ok else ():
            self.link.model.feed(orjson.loads(line))
        self.link.changed = True

    def on_end(self):
        self.link.down("the gateway ended the feed" if self.ok else "the feed was refused")

    def on_fail(self, stage, why):
        self.link.down(why)


class Call:
    """One answer in JSON; `done(status, value)`, or `done(None, why)`."""

    def __init__(self, link, method, path, value, done):
        self.link, self.done, self.parts, self.status = link, done, [], None
        self.exchange = link.ask(method, path, self, orjson.dumps(value) if value is not None else b"")
        self.timer = link.loop.call_later(LATE_US, self.late)

    def late(self):
        self.exchange.cancel()
        self.done(None, "no answer in time")

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        self.parts.append(data)

    def on_end(self):
        self.timer.cancel()
        try:
            self.done(self.status, orjson.loads(b"".join(self.parts)))
        except ValueError:
            self.done(None, "an answer that is no JSON")

    def on_fail(self, stage, why):
        self.timer.cancel()
        self.done(None, why)


class Link:
    """The model's connection to the gateway."""

    def __init__(self, loop, where, key, model):
        self.loop, self.place, self.key, self.model = loop, parse_address(where), key, model
        self.pool, self.changed, self.fails, self.feed, self.due = Pool(loop, 8, connect_us=1_000_000), True, 0, None, None
        self.asked = False
        self.start()

    def ask(self, method, path, handler, body=b""):
        fields = [(b"authorization", b"Bearer " + self.key.encode())] if self.key else []
        return self.pool.request(self.place, method, path.encode(), fields, body, handler)

    def now_ms(self):
        return time.time_ns() // 1_000_000

    def start(self):
        self.due = None
        self.snapshot()

    def up(self):
        self.fails = 0
        self.model.connected(self.now_ms())
        self.changed = True

    def down(self, why):
        if self.feed is not None:
            self.feed.exchange.cancel()
            self.feed = None
        self.model.lost(self.now_ms(), str(why))
        self.changed = True
        if self.due is not None:
            self.due.cancel()
        self.due = self.loop.call_later(PAUSES_US[min(self.fails, len(PAUSES_US) - 1)], self.start)
        self.fails += 1

    def snapshot(self):
        if self.asked:
            return
        self.asked = True
        Call(self, b"GET", f"/v1/snapshot?parts={NEEDS[self.model.view]}", None, self.got)

    def got(self, status, value):
        self.asked = False
        if status != 200:
            return self.down(value if status is None else value.get("error", f"answered {status}"))
        if value.get("v") != 1:
            return self.down(f"the gateway speaks version {value.get('v')} of the admin messages")
        self.model.snapshot(value, self.now_ms())
        self.changed = True
        if self.feed is None:
            self.feed = Feed(self)
        if self.due is not None:
            self.due.cancel()
        self.due = self.loop.call_later(SNAP_US, self.start)

    def sooner(self):
        """Another view wants other parts: now."""
        if self.model.link == "live" and not self.asked:
            if self.due is not None:
                self.due.cancel()
            self.start()

    def act(self, value):
        def done(status, answer):
            self.model.message = (
                answer["done"]
                if status == 200
                else f"Not done: {answer}"
                if status is None
                else f"Not done: {answer.get('error')}"
            )
            self.changed = True
            self.sooner()

        Call(self, b"POST", "/v1/actions", value, done)

    def req(self, number):
        def done(status, answer):
            if status == 200:
                self.model.detail = answer
            else:
                self.model.message = str(answer if status is None else answer.get("error"))
            self.changed = True

        Call(self, b"GET", f"/v1/reqs/{number}", None, done)


class Screen(urwid.Widget):
    _sizing, _selectable = frozenset(["box"]), True

    def __init__(self, model, plain, on_key):
        super().__init__()
        self.model, self.plain, self.on_key = model, plain, on_key

    def selectable(self):
        return True

    def render(self, size, focus=False):
        columns, rows = size
        lines = render(self.model, columns, rows, time.time_ns() // 1_000_000, self.plain)
        canvases = [
            (urwid.Text([(s or None, t) for s, t in line if t] or "", wrap="clip").render((columns,)), None, False)
            for line in lines
        ]
        return urwid.CanvasCombine(canvases)

    def keypress(self, size, key):
        self.on_key(key)


def run_console(where, key=None, may_act=False, mono=False):
    loop = Loop(Clock())
    model = Model(where, may_act)
    link = Link(loop, where, key, model)

    def on_key(name):
        view = model.view
        what = model.key(name)
        if what is not None and what[0] == "quit":
            raise urwid.ExitMainLoop()
        if what is not None and what[0] == "act":
            link.act(what[1])
        elif what is not None and what[0] == "req":
            link.req(what[1])
        if model.view != view:
            link.sooner()
        screen._invalidate()

    plain = mono or not (sys.stdout.encoding or "").lower().startswith("utf")
    screen = Screen(model, plain, on_key)
    terminal = urwid.raw_display.Screen()
    terminal.set_terminal_properties(1 if mono else 16)
    main = urwid.MainLoop(screen, PALETTE, terminal, event_loop=urwid.SelectEventLoop(), handle_mouse=False)
    signal.signal(signal.SIGHUP, lambda *_: main.event_loop.alarm(0, stop))
    signal.signal(signal.SIGTERM, lambda *_: main.event_loop.alarm(0, stop))

    def stop():
        raise urwid.ExitMainLoop()

    def turn():
        loop.turn(0)
        if link.changed:
            link.changed = False
            screen._invalidate()

    def tick(*_):
        turn()
        screen._invalidate()  # ages grow
        main.set_alarm_in(0.25, tick)

    main.watch_file(loop.selector.fileno(), turn)
    tick()
    try:
        main.run()
    except (KeyboardInterrupt, BrokenPipeError):
        pass
    finally:
        link.pool.close()
        loop.close()
