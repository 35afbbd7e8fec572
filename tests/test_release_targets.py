"""Releases while servers can't be reached: each is heard by one that answers within half of the time there is
for it.

Seen: `pinned` broken on days when a zone is cut off, as a release went to its holder and then to one server
after another, in an order that knew nothing of who can be reached."""

import random

import pytest

from platform_harness import PlatformHarness

from lapiswing.loop import Loop, ManualClock
from lapiswing.node.release_targets import MAX_CALLS_PER_WAVE, WAVES_IN_TIME, ReleaseTargets, calls_in_wave
from lapiswing.node.servers import Servers

MS = 1000
LET_GO_US = 400 * MS


class Exchange:
    def cancel(self):
        self.over = True


class Network:
    """In place of the pool: `cut` servers say nothing, of the others' answers a share is lost, and `dead`
    ones refuse. A call is heard by a server that runs after 1 ms, its answer is back after another."""

    def __init__(self, loop, seed):
        self.loop, self.draw = loop, random.Random(seed)
        self.cut, self.dead, self.lost, self.calls, self.heard = set(), set(), 0.0, 0, {}

    def request(self, server, method, target, fields, body, handler):
        exchange = Exchange()
        exchange.over = False
        self.calls += 1
        if server in self.dead:
            self.loop.soon(lambda: exchange.over or handler.on_fail("connect", "refused"))
        elif server not in self.cut:
            self.loop.call_later(MS, self.arrive, target.rpartition(b"/")[2], exchange, handler)
        return exchange

    def arrive(self, name, exchange, handler):
        self.heard.setdefault(name, self.loop.clock.now_us())

        def answer():
            if not exchange.over:
                handler.on_head(204, [])
                handler.on_end()

        if self.draw.random() >= self.lost:
            self.loop.call_later(MS, answer)


class Site:
    def __init__(self, servers=60, zones=3, seed=1):
        self.loop = Loop(ManualClock())
        self.network = Network(self.loop, seed)
        self.zones = {f"s-{i}": i % zones for i in range(servers)}
        self.servers = Servers(self.loop, self.network, [], False, ReleaseTargets(0, seed), LET_GO_US)
        self.servers.set_servers({name: name for name in self.zones}, self.zones)

    def of_zones(self, *zones):
        return {name for name, zone in self.zones.items() if zone in zones}

    def release(self, holder, name):
        """-> the time until one that runs has heard it, the calls made; None where none has."""
        begun, calls = self.loop.clock.now_us(), self.network.calls
        self.servers.release(holder, name)
        self.loop.run_until(lambda: not self.servers.releasing, 10 * LET_GO_US)
        assert not self.servers.releasing
        heard = self.network.heard.get(name)
        return heard and heard - begun, self.network.calls - calls


@pytest.mark.parametrize(
    "how",
    ["own zone cut off", "another zone cut off", "own zone lost", "a fifth silent", "a third gone", "half of the answers lost"],
)
def test_each_release_is_heard_within_half_of_its_time_while_servers_are_silent(how):
    worst, calls, n = 0, 0, 0
    for seed in range(10):
        site = Site(seed=seed)
        net, all_ = site.network, sorted(site.zones)
        if how == "own zone cut off":
            net.cut = site.of_zones(1, 2)
        elif how == "another zone cut off":
            net.cut = site.of_zones(1)
        elif how == "own zone lost":
            net.cut = site.of_zones(0)
        elif how == "a fifth silent":
            net.cut = set(net.draw.sample(all_, 12))
        elif how == "a third gone":
            net.dead = set(net.draw.sample(all_, 20))
        else:
            net.lost = 0.5
        for i in range(20):
            took, said = site.release(net.draw.choice(all_), b"r%d" % i)
            assert took is not None and took <= LET_GO_US // 2, (how, seed, i, took)
            worst, calls, n = max(worst, took), calls + said, n + 1
    assert calls <= 4.5 * n, f"{how}: {calls / n:.1f} calls for each release"


def test_in_calm_one_call_goes_to_the_holder():
    site = Site()
    for i, holder in enumerate(sorted(site.zones)):
        assert site.release(holder, b"r%d" % i)[1] == 1


def test_calls_are_bounded_where_nobody_answers():
    site = Site()
    site.network.cut = set(site.zones)
    took, calls = site.release("s-1", b"r")
    assert (
        took is None
        and calls == sum(calls_in_wave(w) for w in range(2 * WAVES_IN_TIME)) <= 2 * WAVES_IN_TIME * MAX_CALLS_PER_WAVE
    )


def test_who_was_heard_goes_before_who_was_silent_and_zones_take_turns():
    targets = ReleaseTargets(0, 1)
    targets.set_servers({"a1": 0, "a2": 0, "b1": 1, "b2": 1, "c1": 2})
    targets.record_answer("a2", 10)
    assert targets.all_targets("b1")[:2] == ["b1", "a2"]
    targets.record_silence("b1", 20)
    line = targets.all_targets("b1")
    assert line[0] == "a2" and line[1] == "c1" and line[-1] == "b1"  # a zone with a silent one comes last
    targets.record_answer("b2", 30)  # it answers again
    assert targets.all_targets("b2")[:2] == ["b2", "a2"]
    targets.set_servers({"a1": 0})
    assert targets.all_targets("b1") == ["a1"] and not targets.answered_us and not targets.unanswered_us


def test_gateways_in_one_trouble_turn_to_different_servers():
    zones = {f"s-{i}": 0 for i in range(30)}
    first = set()
    for salt in range(100):
        targets = ReleaseTargets(0, salt)
        targets.set_servers(zones)
        targets.record_silence("s-1", 1)
        first.add(targets.all_targets("s-1")[0])
    assert len(first) > 20


def test_a_state_that_no_decode_server_claims_is_released_in_time_though_an_attempt_is_out(tmp_path):
    """Found by the soak, seed 1: a kept connection had fallen silent, and the state was held for 1.8 s: what has not arrived
    is not out, and nothing tells whether it has."""
    with PlatformHarness(tmp_path, ("read", "write")) as harness:
        reader, writer = harness.platform.servers.values()
        writer.fault = lambda exchange: exchange.method == b"POST"
        client = harness.ask("a1")
        harness.until(lambda: reader.states)
        held_us = harness.loop.clock.now_us()
        harness.until(lambda: not reader.states)
        assert harness.loop.clock.now_us() - held_us < 500 * MS
        assert not client.status  # it still waits: the attempt may have arrived
        client.close()
        harness.wait_settled()


def test_a_state_that_is_claimed_in_time_is_not_released_besides(tmp_path):
    with PlatformHarness(tmp_path, ("read", "write")) as harness:
        assert harness.ask("a1").wait_answer().status == 200
        harness.loop.run_until(lambda: False, 600 * MS)
        assert not harness.platform.seen(b"DELETE")
