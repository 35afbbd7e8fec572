"""A change is acted on within 5 s of when discovery had it and could be reached, whatever happened to the calls before."""

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from platform_harness import PlatformHarness, RecordingLog

from lapiswing.loop import Loop, ManualClock
from lapiswing.membership.starts import ServerStarts
from lapiswing.node.discovery import (
    RETRY_DELAY_US,
    SUBSCRIBE_WAIT_MS,
    ANSWER_GRACE_US,
    MAX_ANSWER_GRACE_US,
    MAX_REJECTED_DELAY_US,
    WATCH_WAIT_MS,
    Discovery,
    ServerList,
)

MS, S = 1000, 1_000_000
LIMIT_US = 5 * S
BAD = ("refused", "does not come up", "reset", "silent", "drips", "half an answer", "no JSON", "503", "an older list's change")


class Scripted:
    """In place of a pool: what becomes of each call. After the script all calls are answered as they should be."""

    def __init__(self, loop, script):
        self.loop, self.script, self.asked = loop, list(script), []
        self.index, self.mode, self.whole = 1, "SERVING", None

    def close_idle(self, address):
        pass

    def request(self, address, method, target, fields, body, handler):
        exchange = Call(self, target, handler)
        self.asked.append((self.loop.clock.now_us(), target))
        exchange.play(self.script.pop(0) if self.script else "good")
        return exchange


class Call:
    def __init__(self, pool, target, handler):
        self.pool, self.target, self.handler, self.over = pool, target, handler, False

    def later(self, after_us, call, *args):
        self.pool.loop.call_later(after_us, lambda: self.over or call(*args))

    def cancel(self):
        self.over = True

    def answer(self, index=None):
        pool = self.pool
        row = {
            "name": "s-1",
            "address": "127.0.0.1:9",
            "zone": "a",
            "type": "both",
            "group": 0,
            "status": pool.mode,
            "weight": 1.0,
            "since_ms": 0,
        }
        return json.dumps({"index": index or pool.index, "snapshot": b"after" not in self.target, "endpoints": [row]}).encode()

    def waits(self, index):
        """Whether it is a watch for something newer than discovery has."""
        after = self.target.partition(b"after=")[2].partition(b"&")[0]
        return bool(after) and int(after) >= index

    def good(self):
        if self.waits(self.pool.index):
            return self.later(20 * MS, self.good)
        self.whole(self.answer())

    def whole(self, body, status=200):
        self.over = True
        self.handler.on_head(status, [])
        self.handler.on_body(body)
        self.handler.on_end()

    def fail(self, stage):
        self.over = True
        self.handler.on_fail(stage, "scripted")

    def drip(self):
        self.handler.on_body(b" ")
        self.later(50 * MS, self.drip)

    def play(self, what):
        if what == "good":
            self.later(1 * MS, self.good)
        elif what == "refused":
            self.later(0, self.fail, "connect")
        elif what == "does not come up":
            self.later(1000 * MS, self.fail, "connect")
        elif what == "reset":
            self.later(30 * MS, self.fail, "sent")
        elif what == "drips":
            self.handler.on_head(200, [])
            self.drip()
        elif what == "half an answer":
            self.handler.on_head(200, [])
            self.handler.on_body(self.answer()[:40])
            self.later(400 * MS, self.fail, "body")
        elif what == "no JSON":
            self.later(5 * MS, self.whole, b"{")
        elif what == "503":
            self.later(5 * MS, self.whole, b"", 503)
        elif what == "an older list's change":
            self.later(5 * MS, self.whole, b'{"index":0,"snapshot":false,"endpoints":[]}')


class Played:
    def __init__(self, subscribe=False):
        self.loop = Loop(ManualClock())
        self.heard, self.rows = [], ServerList(["read", "write", "both"], ["a"], ServerStarts(0))
        self.pool = Scripted(self.loop, [])
        self.discovery = Discovery(self.loop, self.pool, ("127.0.0.1", 1), self.rows, self.on_list_change, self, subscribe)
        self.until(lambda: self.rows.rows, S)

    def on_list_change(self):
        self.heard.append((self.loop.clock.now_us(), {r.id: r.mode for r in self.rows.rows.values()}))

    def info(self, *_, **__):
        pass

    warning = info

    def until(self, done, most_us):
        return self.loop.run_until(done, most_us)

    def change(self):
        """The server begins to drain, and discovery can be reached from now on. -> after what time it was acted on."""
        self.pool.index, self.pool.mode = self.pool.index + 1, "DRAINING"
        began = self.loop.clock.now_us()
        assert self.until(lambda: self.heard and self.heard[-1][1] == {"s-1": "draining"}, 10 * S)
        return self.loop.clock.now_us() - began


@settings(max_examples=100, deadline=None)
@given(
    before=st.lists(st.sampled_from(BAD), max_size=6),
    at_ms=st.integers(0, 4000),
    hups=st.lists(st.integers(0, 4000), max_size=3),
    after=st.lists(st.sampled_from(BAD), max_size=3),
)
@example(before=["silent"], at_ms=0, hups=[], after=["silent", "drips", "does not come up"])
@example(before=["drips", "silent"], at_ms=100, hups=[50], after=["half an answer", "silent", "silent"])
def test_over_all_orders_of_faults(before, at_ms, hups, after):
    """`before`: what becomes of the calls until the change; `after`: of three more at the most, though discovery could be
    reached. SIGHUP moves to another address in between."""
    play = Played()
    try:
        play.pool.script = list(before)
        for number, ms in enumerate(hups):
            play.loop.call_later(ms * MS, play.discovery.change_address, ("127.0.0.1", 2 + number))
        play.until(lambda: False, at_ms * MS)
        play.pool.script = list(after)
        took = play.change()
        assert took <= LIMIT_US, took
    finally:
        play.discovery.stop()
        play.loop.close()


def test_a_list_that_takes_long_and_is_no_drip_gets_more_time():
    play = Played()

    def slow(exchange):  # 300 KB in 2 s, each time it is asked for
        exchange.handler.on_head(200, [])
        body = exchange.answer()
        body = body[:1] + b" " * 300_000 + body[1:]
        for part in range(20):
            exchange.later(part * 100 * MS, exchange.handler.on_body, body[part * len(body) // 20 : (part + 1) * len(body) // 20])
        exchange.later(2000 * MS, exchange.handler.on_end)

    play.pool.index, play.pool.mode = 2, "DRAINING"
    real = Call.play
    try:
        Call.play = lambda exchange, what: slow(exchange)
        play.discovery.change_address(("127.0.0.1", 2))
        assert play.until(lambda: play.rows.rows["s-1"].mode == "draining", 9 * S)
    finally:
        Call.play = real
        play.discovery.stop()
        play.loop.close()
    assert ANSWER_GRACE_US * 4 == MAX_ANSWER_GRACE_US > 2 * S


def test_after_a_failed_call_the_whole_list_is_asked_for():
    """A discovery that has started anew may count from the beginning: a watch after a later index would wait for good."""
    play = Played()
    play.pool.index = 40
    assert play.until(lambda: play.rows.index == 40, S)
    play.pool.script, play.pool.index = ["reset"], 3
    play.discovery.change_address(("127.0.0.1", 1))
    play.pool.mode = "DRAINING"
    assert play.until(lambda: play.rows.rows["s-1"].mode == "draining", S) and play.rows.index == 3
    play.pool.script, play.pool.index = [], 2
    play.discovery.failed(play.discovery.call, "scripted")
    assert play.until(lambda: play.rows.index == 2, S)
    play.discovery.stop()
    play.loop.close()


def test_the_row_of_failures_that_is_allowed_ends_in_time():
    assert WATCH_WAIT_MS * MS + ANSWER_GRACE_US + RETRY_DELAY_US + 3 * (ANSWER_GRACE_US + RETRY_DELAY_US) < LIMIT_US


@pytest.mark.parametrize("how", ["silent watch", "outage", "reset"])
def test_on_sockets_a_change_is_acted_on_within_5_s(tmp_path, how):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        discovery, server = harness.platform.discovery, harness.platform.servers["s-1"]
        harness.until(lambda: discovery.waiting)
        if how == "silent watch":  # what is open stays open and says nothing; new calls are answered
            discovery.waiting.clear()
        elif how == "outage":
            discovery.silent = True
            discovery.waiting.clear()
            harness.loop.run_until(lambda: False, 2 * S)
            discovery.silent = False
        else:
            for exchange, _ in discovery.waiting:
                exchange.conn.stream.abort()
            discovery.waiting.clear()
        began = harness.loop.clock.now_us()
        server.status = "DRAINING"
        discovery.tell(server.row())
        harness.until(lambda: harness.core.router.servers["s-1"].mode == "draining", 6 * S)
        assert harness.loop.clock.now_us() - began < LIMIT_US
        assert all(harness.ask(f"a{i}").wait_answer().status == 200 for i in range(3))
        assert {row[0] for row in harness.platform.seen(b"POST")} == {"s-2"}


def test_an_indented_list_is_taken_like_any_other(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        discovery = harness.platform.discovery
        for indent in (2, "\t"):
            whole = json.dumps(discovery.whole() | {"index": 70}, indent=indent).encode().replace(b"\n", b"\r\n")
            harness.node.server_list.rows.clear()
            harness.node.discovery.answered(harness.node.discovery.call, 200, whole)
            assert set(harness.node.server_list.rows) == {"s-1", "s-2"} and harness.node.server_list.index == 70


class Overloaded:
    """In place of a discovery that many gateways ask: it works on one call after the other, some time on each, and turns
    away what it could not answer within its time-out."""

    COST_US, MOST_US = 60 * MS, 2 * S

    def __init__(self, loop):
        self.loop, self.index, self.mode, self.free_us, self.waiting, self.turned_away = loop, 1, "SERVING", 0, [], 0

    def close_idle(self, address):
        pass

    def request(self, address, method, target, fields, body, handler):
        call = Call(self, target, handler)
        if call.waits(self.index):
            self.waiting.append(call)
        else:
            self.work_on(call)
        return call

    def work_on(self, call):
        begin_us = max(self.loop.clock.now_us(), self.free_us)
        if begin_us - self.loop.clock.now_us() > self.MOST_US:
            self.turned_away += 1
            return call.later(MS, call.whole, b"", 503)
        self.free_us = begin_us + self.COST_US
        call.later(self.free_us - self.loop.clock.now_us(), lambda: call.whole(call.answer()))

    def change(self):
        self.index, self.mode = self.index + 1, "DRAINING"
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            self.work_on(call)


def test_many_gateways_that_ask_do_not_keep_discovery_overloaded():
    """All start at once and hear of a change, of 60 ms work each. With a pause of 0.1 s and the whole list each time some
    never heard of it."""
    loop = Loop(ManualClock())
    discovery, gateways = Overloaded(loop), []
    for seed in range(60):
        rows = ServerList(["read", "write", "both"], ["a"], ServerStarts(0))
        gateways.append(
            Discovery(loop, discovery, ("127.0.0.1", 1), rows, lambda: None, RecordingLog(), subscribe=True, seed=seed)
        )

    def all_are(mode):
        return all(g.rows.rows and g.rows.rows["s-1"].mode == mode for g in gateways)

    try:
        assert loop.run_until(lambda: all_are("ready"), 6 * S) and discovery.turned_away
        loop.run_until(lambda: len(discovery.waiting) == len(gateways), S)
        discovery.change()
        assert loop.run_until(lambda: all_are("draining"), 6 * S)
    finally:
        for gateway in gateways:
            gateway.stop()
        loop.close()


def test_gateways_that_start_together_end_their_waits_apart():
    """All in one moment, some were turned away and heard of a change 0.4 s too late."""
    waits = sorted(
        Discovery(Loop(ManualClock()), None, None, ServerList([], [], None), None, RecordingLog(), True, seed).wait_ms
        for seed in range(40)
    )
    assert waits[0] >= SUBSCRIBE_WAIT_MS * 3 // 4 and waits[-1] <= SUBSCRIBE_WAIT_MS
    assert max(sum(at <= w < at + 500 for w in waits) for at in waits) <= 10  # of 40, in any half second


def test_a_call_that_was_turned_away_comes_later_and_with_what_it_has():
    play = Played(subscribe=True)
    assert play.until(lambda: play.rows.index == 1, S)
    play.pool.script = ["503"] * 6
    play.discovery.send_call()
    begin = len(play.pool.asked) - 1
    play.until(lambda: len(play.pool.asked) - begin > 6, 8 * S)
    asked = play.pool.asked[begin:]
    pauses = [b - a for (a, _), (b, _) in zip(asked, asked[1:])]
    assert all(b"after=1&wait_ms=%d" % play.discovery.wait_ms in target for _, target in asked)
    assert min(pauses) > 100 * MS and pauses[3] > pauses[0] and max(pauses) <= MAX_REJECTED_DELAY_US + 10 * MS
    play.discovery.stop()
    play.loop.close()


@pytest.mark.parametrize("after", [[], ["silent"]])
def test_a_silent_watch_where_discovery_is_asked_is_found_out_before_it_counts_as_told(after):
    """2 s after its wait is over; a further silent call counts anew, 6 s from there."""
    play = Played(subscribe=True)
    play.pool.script = ["silent", *after]
    play.discovery.send_call()
    opened_us = play.loop.clock.now_us()
    play.pool.index, play.pool.mode = 2, "DRAINING"
    assert play.until(lambda: play.rows.rows["s-1"].mode == "draining", 40 * S)
    assert play.loop.clock.now_us() - opened_us < play.discovery.wait_ms * MS + (6 * S if after else S)
    play.discovery.stop()
    play.loop.close()
