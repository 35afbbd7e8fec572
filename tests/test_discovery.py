"""A change takes effect within 5 s of the moment when discovery has it and is reachable, whatever happened to earlier calls."""

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from platform_harness import PlatformHarness, RecordingLog

from lapiswing.loop import Loop, ManualClock
from lapiswing.membership.starts import ServerStarts
from lapiswing.node.discovery import (
    ANSWER_GRACE_US,
    MAX_ANSWER_GRACE_US,
    MAX_LATE_CALLS,
    MAX_REJECTED_DELAY_US,
    RETRY_DELAY_US,
    SUBSCRIBE_WAIT_MS,
    WATCH_WAIT_MS,
    Discovery,
    ServerList,
)

MS, S = 1000, 1_000_000
LIMIT_US = 5 * S
FAILURES = (
    "refused",
    "connect times out",
    "reset",
    "silent",
    "trickles",
    "half an answer",
    "not JSON",
    "503",
    "an older list's change",
)


class Scripted:
    """Replaces the pool: plays a script with the fate of each call. After the script all calls are answered normally."""

    def __init__(self, loop, script):
        self.loop, self.script, self.requests = loop, list(script), []
        self.index, self.mode, self.whole = 1, "SERVING", None
        self.slow_us = 0  # how long each answer takes on its way
        self.open_calls = set()

    def close_idle(self, address):
        pass

    def request(self, address, method, target, fields, body, handler):
        exchange = Call(self, target, handler)
        self.requests.append((self.loop.clock.now_us(), target))
        exchange.play(self.script.pop(0) if self.script else "good")
        return exchange


class Call:
    """One scripted call, in place of an exchange."""

    def __init__(self, pool, target, handler):
        self.pool, self.target, self.handler, self.over = pool, target, handler, False
        self.on_its_way = False
        pool.open_calls.add(self)

    def later(self, after_us, call, *args):
        self.pool.loop.call_later(after_us, lambda: self.over or call(*args))

    def cancel(self):
        self.over = True
        self.pool.open_calls.discard(self)

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
        """Whether this is a watch for something newer than discovery has."""
        after = self.target.partition(b"after=")[2].partition(b"&")[0]
        return bool(after) and int(after) >= index

    def good(self):
        if self.waits(self.pool.index):
            return self.later(20 * MS, self.good)
        self.whole(self.answer())

    def whole(self, body, status=200):
        if self.pool.slow_us and not self.on_its_way:
            self.on_its_way = True
            return self.later(self.pool.slow_us, self.whole, body, status)
        self.over = True
        self.pool.open_calls.discard(self)
        self.handler.on_head(status, [])
        self.handler.on_body(body)
        self.handler.on_end()

    def fail(self, stage):
        self.over = True
        self.pool.open_calls.discard(self)
        self.handler.on_fail(stage, "scripted")

    def trickle(self):
        self.handler.on_body(b" ")
        self.later(50 * MS, self.trickle)

    def play(self, what):
        if what == "good":
            self.later(1 * MS, self.good)
        elif what == "refused":
            self.later(0, self.fail, "connect")
        elif what == "connect times out":
            self.later(1000 * MS, self.fail, "connect")
        elif what == "reset":
            self.later(30 * MS, self.fail, "sent")
        elif what == "trickles":
            self.handler.on_head(200, [])
            self.trickle()
        elif what == "half an answer":
            self.handler.on_head(200, [])
            self.handler.on_body(self.answer()[:40])
            self.later(400 * MS, self.fail, "body")
        elif what == "not JSON":
            self.later(5 * MS, self.whole, b"{")
        elif what == "503":
            self.later(5 * MS, self.whole, b"", 503)
        elif what == "an older list's change":
            self.later(5 * MS, self.whole, b'{"index":0,"snapshot":false,"endpoints":[]}')


class Scenario:
    """A Discovery with a scripted pool on a manual clock."""

    def __init__(self, subscribe=False):
        self.loop = Loop(ManualClock())
        self.changes, self.server_list = [], ServerList(["read", "write", "both"], ["a"], ServerStarts(0))
        self.pool = Scripted(self.loop, [])
        self.discovery = Discovery(self.loop, self.pool, ("127.0.0.1", 1), self.server_list, self.on_list_change, self, subscribe)
        self.until(lambda: self.server_list.rows, S)

    def on_list_change(self):
        self.changes.append((self.loop.clock.now_us(), {r.id: r.mode for r in self.server_list.rows.values()}))

    def info(self, *_, **__):
        pass

    warning = info

    def until(self, done, max_us):
        return self.loop.run_until(done, max_us)

    def change(self):
        """The server begins to drain, and discovery is reachable from now on. -> the time until the change took effect."""
        self.pool.index, self.pool.mode = self.pool.index + 1, "DRAINING"
        began = self.loop.clock.now_us()
        assert self.until(lambda: self.changes and self.changes[-1][1] == {"s-1": "draining"}, 10 * S)
        return self.loop.clock.now_us() - began


@settings(max_examples=100, deadline=None)
@given(
    before=st.lists(st.sampled_from(FAILURES), max_size=6),
    at_ms=st.integers(0, 4000),
    hups=st.lists(st.integers(0, 4000), max_size=3),
    after=st.lists(st.sampled_from(FAILURES), max_size=3),
)
@example(before=["silent"], at_ms=0, hups=[], after=["silent", "trickles", "connect times out"])
@example(before=["trickles", "silent"], at_ms=100, hups=[50], after=["half an answer", "silent", "silent"])
def test_over_all_orders_of_failures(before, at_ms, hups, after):
    """`before`: failures of the calls until the change; `after`: of at most three more, although discovery is reachable. In
    between SIGHUP changes the address."""
    scenario = Scenario()
    try:
        scenario.pool.script = list(before)
        for number, ms in enumerate(hups):
            scenario.loop.call_later(ms * MS, scenario.discovery.change_address, ("127.0.0.1", 2 + number))
        scenario.until(lambda: False, at_ms * MS)
        scenario.pool.script = list(after)
        took = scenario.change()
        assert took <= LIMIT_US, took
    finally:
        scenario.discovery.stop()
        scenario.loop.close()


def test_a_long_list_that_arrives_steadily_gets_more_time():
    scenario = Scenario()

    def slow(exchange):  # 300 KB in 2 s, at every call
        exchange.handler.on_head(200, [])
        body = exchange.answer()
        body = body[:1] + b" " * 300_000 + body[1:]
        for part in range(20):
            exchange.later(part * 100 * MS, exchange.handler.on_body, body[part * len(body) // 20 : (part + 1) * len(body) // 20])
        exchange.later(2000 * MS, exchange.handler.on_end)

    scenario.pool.index, scenario.pool.mode = 2, "DRAINING"
    real = Call.play
    try:
        Call.play = lambda exchange, what: slow(exchange)
        scenario.discovery.change_address(("127.0.0.1", 2))
        assert scenario.until(lambda: scenario.server_list.rows["s-1"].mode == "draining", 9 * S)
    finally:
        Call.play = real
        scenario.discovery.stop()
        scenario.loop.close()
    assert ANSWER_GRACE_US * 4 == MAX_ANSWER_GRACE_US > 2 * S


DUE_US = 6 * S  # by when the platform's page counts a change as told, whatever came of the calls


@pytest.mark.parametrize("subscribe", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("slow_ms", [800, 2200, 2800])
@pytest.mark.parametrize("at_ms", [300, 4900])
def test_a_change_is_heard_in_time_from_a_discovery_that_is_slow(subscribe, slow_ms, at_ms):
    """Each answer takes longer than a call is waited for: every call was cancelled before its answer, and none was heard."""
    scenario = Scenario(subscribe)
    scenario.discovery.wait_ms = WATCH_WAIT_MS  # the first watch of a gateway that asks would last for most of the test
    scenario.pool.slow_us = slow_ms * MS
    scenario.discovery.send_call()
    scenario.until(lambda: False, at_ms * MS)
    assert scenario.change() <= DUE_US
    assert len(scenario.pool.open_calls) <= 1 + MAX_LATE_CALLS
    scenario.discovery.stop()
    assert not scenario.pool.open_calls
    scenario.loop.close()


@pytest.mark.parametrize("pieces", [10, 45])
def test_a_list_that_is_written_slowly_is_not_cut(monkeypatch, pieces):
    """Each call was given up for a later one, which came no faster: the list was never heard."""
    scenario = Scenario()
    took_us = 4500 * MS

    def write_slowly(exchange, what):
        exchange.handler.on_head(200, [])
        body = exchange.answer()
        size = -(-len(body) // pieces)
        for number in range(pieces):
            exchange.later(took_us * number // pieces, exchange.handler.on_body, body[number * size : (number + 1) * size])
        exchange.later(took_us, exchange.handler.on_end)

    monkeypatch.setattr(Call, "play", write_slowly)
    scenario.discovery.change_address(("127.0.0.1", 2))
    scenario.pool.index, scenario.pool.mode = 2, "DRAINING"
    assert scenario.until(lambda: scenario.server_list.rows["s-1"].mode == "draining", DUE_US + took_us)
    assert len(scenario.pool.open_calls) <= 1 + MAX_LATE_CALLS
    scenario.discovery.stop()
    scenario.loop.close()


def test_one_watch_is_open_again_once_discovery_is_quick():
    scenario = Scenario()
    scenario.pool.slow_us = 2200 * MS
    scenario.change()
    scenario.pool.slow_us = 0
    assert scenario.until(lambda: len(scenario.pool.open_calls) == 1 and not scenario.discovery.late_calls, 5 * S)
    assert b"after=2" in scenario.pool.requests[-1][1]
    scenario.discovery.stop()
    scenario.loop.close()


def test_a_late_answer_changes_nothing_behind_that_of_a_later_call():
    scenario = Scenario()
    scenario.pool.script = ["silent"]
    scenario.discovery.send_call()
    late = scenario.discovery.call
    assert scenario.until(lambda: late in scenario.discovery.late_calls, 3 * S)
    old = late.exchange.answer()
    scenario.change()
    late.on_head(200, [])
    late.on_body(old)
    late.on_end()
    assert scenario.server_list.rows["s-1"].mode == "draining" and late not in scenario.discovery.late_calls
    scenario.discovery.stop()
    scenario.loop.close()


def test_silent_calls_are_given_up_one_by_one():
    """They occupy no more connections than the pool has, and end with the first answer or a change of the address."""
    scenario = Scenario()
    scenario.pool.script = ["silent"] * 12
    scenario.discovery.send_call()
    scenario.until(lambda: not scenario.pool.script, 20 * S)
    assert len(scenario.pool.open_calls) == 1 + MAX_LATE_CALLS
    scenario.change()
    assert len(scenario.pool.open_calls) == 1 and not scenario.discovery.late_calls
    scenario.pool.script = ["silent"] * 12
    scenario.discovery.send_call()
    scenario.until(lambda: len(scenario.pool.open_calls) == 1 + MAX_LATE_CALLS, 20 * S)
    scenario.discovery.change_address(("127.0.0.1", 2))
    assert len(scenario.pool.open_calls) == 1
    scenario.discovery.stop()
    scenario.loop.close()


def test_after_a_failed_call_the_whole_list_is_requested():
    """A restarted discovery may count from the beginning again: a watch after a later index would wait for good."""
    scenario = Scenario()
    scenario.pool.index = 40
    assert scenario.until(lambda: scenario.server_list.index == 40, S)
    scenario.pool.script, scenario.pool.index = ["reset"], 3
    scenario.discovery.change_address(("127.0.0.1", 1))
    scenario.pool.mode = "DRAINING"
    assert scenario.until(lambda: scenario.server_list.rows["s-1"].mode == "draining", S) and scenario.server_list.index == 3
    scenario.pool.script, scenario.pool.index = [], 2
    scenario.discovery.failed(scenario.discovery.call, "scripted")
    assert scenario.until(lambda: scenario.server_list.index == 2, S)
    scenario.discovery.stop()
    scenario.loop.close()


def test_the_allowed_number_of_successive_failures_ends_in_time():
    assert WATCH_WAIT_MS * MS + ANSWER_GRACE_US + RETRY_DELAY_US + 3 * (ANSWER_GRACE_US + RETRY_DELAY_US) < LIMIT_US


@pytest.mark.parametrize("how", ["silent watch", "outage", "reset"])
def test_a_change_takes_effect_within_5_s_on_real_sockets(tmp_path, how):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        discovery, server = harness.platform.discovery, harness.platform.servers["s-1"]
        harness.until(lambda: discovery.waiting)
        if how == "silent watch":  # open calls stay open and get no answer; new calls are answered
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


def test_an_indented_list_is_read_like_any_other(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        discovery = harness.platform.discovery
        for indent in (2, "\t"):
            whole = json.dumps(discovery.whole() | {"index": 70}, indent=indent).encode().replace(b"\n", b"\r\n")
            harness.node.server_list.rows.clear()
            harness.node.discovery.answered(harness.node.discovery.call, 200, whole)
            assert set(harness.node.server_list.rows) == {"s-1", "s-2"} and harness.node.server_list.index == 70


class Overloaded:
    """Replaces a discovery shared by many gateways: it processes one call after the other, each for some time, and rejects calls
    that it could not answer within its time-out."""

    COST_US, MAX_WAIT_US = 60 * MS, 2 * S

    def __init__(self, loop):
        self.loop, self.index, self.mode, self.free_us, self.waiting, self.rejected = loop, 1, "SERVING", 0, [], 0
        self.slow_us, self.open_calls = 0, set()

    def close_idle(self, address):
        pass

    def request(self, address, method, target, fields, body, handler):
        call = Call(self, target, handler)
        if call.waits(self.index):
            self.waiting.append(call)
        else:
            self.process(call)
        return call

    def process(self, call):
        begin_us = max(self.loop.clock.now_us(), self.free_us)
        if begin_us - self.loop.clock.now_us() > self.MAX_WAIT_US:
            self.rejected += 1
            return call.later(MS, call.whole, b"", 503)
        self.free_us = begin_us + self.COST_US
        call.later(self.free_us - self.loop.clock.now_us(), lambda: call.whole(call.answer()))

    def change(self):
        self.index, self.mode = self.index + 1, "DRAINING"
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            self.process(call)


def test_many_gateways_do_not_keep_discovery_overloaded():
    """All start at once and get a change, each call costing 60 ms. If they retried after 0.1 s with a request for the whole list,
    some would never get it."""
    loop = Loop(ManualClock())
    discovery, gateways = Overloaded(loop), []
    for seed in range(60):
        server_list = ServerList(["read", "write", "both"], ["a"], ServerStarts(0))
        gateways.append(
            Discovery(loop, discovery, ("127.0.0.1", 1), server_list, lambda: None, RecordingLog(), subscribe=True, seed=seed)
        )

    def all_are(mode):
        return all(g.server_list.rows and g.server_list.rows["s-1"].mode == mode for g in gateways)

    try:
        assert loop.run_until(lambda: all_are("ready"), 6 * S) and discovery.rejected
        loop.run_until(lambda: len(discovery.waiting) == len(gateways), S)
        discovery.change()
        assert loop.run_until(lambda: all_are("draining"), 6 * S)
    finally:
        for gateway in gateways:
            gateway.stop()
        loop.close()


def test_the_waits_of_gateways_that_start_together_are_spread():
    """If all waits ended at the same moment, some calls would be rejected and a change noticed 0.4 s too late."""
    waits = sorted(
        Discovery(Loop(ManualClock()), None, None, ServerList([], [], None), None, RecordingLog(), True, seed).wait_ms
        for seed in range(40)
    )
    assert waits[0] >= SUBSCRIBE_WAIT_MS * 3 // 4 and waits[-1] <= SUBSCRIBE_WAIT_MS
    assert max(sum(start <= w < start + 500 for w in waits) for start in waits) <= 10  # of 40, in any half second


def test_a_rejected_call_is_retried_later_and_asks_only_for_changes():
    scenario = Scenario(subscribe=True)
    assert scenario.until(lambda: scenario.server_list.index == 1, S)
    scenario.pool.script = ["503"] * 6
    scenario.discovery.send_call()
    first = len(scenario.pool.requests) - 1
    scenario.until(lambda: len(scenario.pool.requests) - first > 6, 8 * S)
    calls = scenario.pool.requests[first:]
    pauses = [b - a for (a, _), (b, _) in zip(calls, calls[1:])]
    assert all(b"after=1&wait_ms=%d" % scenario.discovery.wait_ms in target for _, target in calls)
    assert min(pauses) > 100 * MS and pauses[3] > pauses[0] and max(pauses) <= MAX_REJECTED_DELAY_US + 10 * MS
    scenario.discovery.stop()
    scenario.loop.close()


@pytest.mark.parametrize("after", [[], ["silent"]])
def test_a_silent_watch_in_subscribe_mode_is_detected_before_a_change_is_due(after):
    """A change is due 2 s after the watch's wait; after a further silent call, 6 s later."""
    scenario = Scenario(subscribe=True)
    scenario.pool.script = ["silent", *after]
    scenario.discovery.send_call()
    opened_us = scenario.loop.clock.now_us()
    scenario.pool.index, scenario.pool.mode = 2, "DRAINING"
    assert scenario.until(lambda: scenario.server_list.rows["s-1"].mode == "draining", 40 * S)
    assert scenario.loop.clock.now_us() - opened_us < scenario.discovery.wait_ms * MS + (6 * S if after else S)
    scenario.discovery.stop()
    scenario.loop.close()
