"""The console's process: urwid on the terminal and the admin socket on lapiswing's event loop, both in one thread.

Once a second it requests a snapshot of the parts that the current view shows, and it follows the feed. If the connection fails,
it retries with growing pauses; the last known state stays on the screen, marked as old."""

import signal
import sys
import time

import orjson
import urwid

from lapiswing.admin.client import parse_address
from lapiswing.console.model import SNAPSHOT_PARTS, Model
from lapiswing.console.views import render
from lapiswing.http1 import Pool
from lapiswing.loop import Clock, Loop

MS = 1000
SNAPSHOT_INTERVAL_US, CALL_TIMEOUT_US = 1_000_000, 3_000_000
RETRY_PAUSES_US = (200_000, 400_000, 800_000, 1_600_000, 3_000_000)
PALETTE = [
    ("head", "black", "light gray", "standout"),
    ("bad", "light red,bold", "", "bold,standout"),
    ("warn", "yellow", "", "bold"),
    ("good", "light green", "", "bold"),
    ("dim", "dark gray", "", ""),
    ("pick", "black", "dark cyan", "standout"),
]


class FeedFollower:
    """Follows the feed and passes every line to the model."""

    def __init__(self, link):
        self.link, self.buffer, self.over, self.accepted = link, bytearray(), False, False
        after_seq = link.model.seq
        self.exchange = link.request(b"GET", f"/v1/feed?after={'now' if after_seq is None else after_seq}", self)

    def on_head(self, status, fields):
        self.accepted = status == 200
        if self.accepted:
            self.link.on_connected()

    def on_body(self, data):
        self.buffer += data
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        for line in lines if self.accepted else ():
            self.link.model.feed(orjson.loads(line))
        self.link.changed = True

    def on_end(self):
        self.link.on_failure("the gateway ended the feed" if self.accepted else "the feed was refused")

    def on_fail(self, stage, why):
        self.link.on_failure(why)


class JsonCall:
    """One request with a JSON response. Calls `done(status, value)`, or `done(None, why)` if it failed."""

    def __init__(self, link, method, path, value, done):
        self.link, self.done, self.parts, self.status = link, done, [], None
        self.exchange = link.request(method, path, self, orjson.dumps(value) if value is not None else b"")
        self.timer = link.loop.call_later(CALL_TIMEOUT_US, self.on_timeout)

    def on_timeout(self):
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
            self.done(None, "the answer is not JSON")

    def on_fail(self, stage, why):
        self.timer.cancel()
        self.done(None, why)


class Link:
    """The connection to the gateway's admin socket, which keeps the model up to date."""

    def __init__(self, loop, address, key, model):
        self.loop, self.address, self.key, self.model = loop, parse_address(address), key, model
        self.pool, self.changed, self.failures, self.feed, self.timer = Pool(loop, 8, connect_us=1_000_000), True, 0, None, None
        self.snapshot_pending = False
        self.poll()

    def request(self, method, path, handler, body=b""):
        """Starts a request with the key; `handler` gets its events."""
        fields = [(b"authorization", b"Bearer " + self.key.encode())] if self.key else []
        return self.pool.request(self.address, method, path.encode(), fields, body, handler)

    def now_ms(self):
        return time.time_ns() // 1_000_000

    def poll(self):
        """Runs on the timer: requests the next snapshot."""
        self.timer = None
        self.request_snapshot()

    def on_connected(self):
        """The feed has been opened."""
        self.failures = 0
        self.model.connected(self.now_ms())
        self.changed = True

    def on_failure(self, why):
        """The feed or a snapshot has failed: reports it in the model and schedules a retry."""
        if self.feed is not None:
            self.feed.exchange.cancel()
            self.feed = None
        self.model.lost(self.now_ms(), str(why))
        self.changed = True
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(RETRY_PAUSES_US[min(self.failures, len(RETRY_PAUSES_US) - 1)], self.poll)
        self.failures += 1

    def request_snapshot(self):
        """Requests the parts of the current view, unless a request is under way."""
        if self.snapshot_pending:
            return
        self.snapshot_pending = True
        JsonCall(self, b"GET", f"/v1/snapshot?parts={SNAPSHOT_PARTS[self.model.view]}", None, self.on_snapshot)

    def on_snapshot(self, status, value):
        """Passes a snapshot to the model, starts to follow the feed if necessary, and schedules the next snapshot."""
        self.snapshot_pending = False
        if status != 200:
            return self.on_failure(value if status is None else value.get("error", f"answered {status}"))
        if value.get("v") != 1:
            return self.on_failure(f"the gateway speaks version {value.get('v')} of the admin messages")
        self.model.snapshot(value, self.now_ms())
        self.changed = True
        if self.feed is None:
            self.feed = FeedFollower(self)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(SNAPSHOT_INTERVAL_US, self.poll)

    def refresh(self):
        """Requests a snapshot at once, since another view shows other parts."""
        if self.model.connection_state == "live" and not self.snapshot_pending:
            if self.timer is not None:
                self.timer.cancel()
            self.poll()

    def act(self, value):
        """Sends an action and shows its result as the model's message."""

        def done(status, answer):
            self.model.message = (
                answer["done"]
                if status == 200
                else f"Not done: {answer}"
                if status is None
                else f"Not done: {answer.get('error')}"
            )
            self.changed = True
            self.refresh()

        JsonCall(self, b"POST", "/v1/actions", value, done)

    def fetch_req(self, number):
        """Fetches the details of an open request."""

        def done(status, answer):
            if status == 200:
                self.model.detail = answer
            else:
                self.model.message = str(answer if status is None else answer.get("error"))
            self.changed = True

        JsonCall(self, b"GET", f"/v1/reqs/{number}", None, done)


class Screen(urwid.Widget):
    """The only widget: draws the model and passes keys on."""

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
            (
                urwid.Text([(style or None, text) for style, text in line if text] or "", wrap="clip").render((columns,)),
                None,
                False,
            )
            for line in lines
        ]
        return urwid.CanvasCombine(canvases)

    def keypress(self, size, key):
        self.on_key(key)


def run_console(address, key=None, may_act=False, mono=False):
    """Runs the console until the user quits. `address`: of the admin socket; `may_act`: whether keys that act are offered;
    `mono`: without colours."""
    loop = Loop(Clock())
    model = Model(address, may_act)
    link = Link(loop, address, key, model)

    def on_key(name):
        previous_view = model.view
        command = model.key(name)
        if command is not None and command[0] == "quit":
            raise urwid.ExitMainLoop()
        if command is not None and command[0] == "act":
            link.act(command[1])
        elif command is not None and command[0] == "req":
            link.fetch_req(command[1])
        if model.view != previous_view:
            link.refresh()
        screen._invalidate()

    plain = mono or not (sys.stdout.encoding or "").lower().startswith("utf")
    screen = Screen(model, plain, on_key)
    terminal = urwid.raw_display.Screen()
    terminal.set_terminal_properties(1 if mono else 16)
    main_loop = urwid.MainLoop(screen, PALETTE, terminal, event_loop=urwid.SelectEventLoop(), handle_mouse=False)
    signal.signal(signal.SIGHUP, lambda *_: main_loop.event_loop.alarm(0, stop))
    signal.signal(signal.SIGTERM, lambda *_: main_loop.event_loop.alarm(0, stop))

    def stop():
        raise urwid.ExitMainLoop()

    def run_turn():
        loop.turn(0)
        if link.changed:
            link.changed = False
            screen._invalidate()

    def tick(*_):
        run_turn()
        screen._invalidate()  # the ages that are shown grow
        main_loop.set_alarm_in(0.25, tick)

    main_loop.watch_file(loop.selector.fileno(), run_turn)
    tick()
    try:
        main_loop.run()
    except (KeyboardInterrupt, BrokenPipeError):
        pass
    finally:
        link.pool.close()
        loop.close()
