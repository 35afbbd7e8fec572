"""Moves of read states through a lossy relay, each fault on its own and drawn at random."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.loop import Clock, Loop
from lapiswing.standin.relay import Relay
from lapiswing.transfer.agent import Agent
from lapiswing.transfer.frames import ERROR, HEADER, MANIFEST, Error, control, data_head, manifest_of
from lapiswing.transfer.peers import FEATURES, Server

S = 1_000_000
CHUNK = 16 << 10


class Lab:
    """A receiver `b` and senders, each behind a relay."""

    def __init__(self, senders=1, keys=(b"key",), memory=64 << 20, chunk=CHUNK):
        self.loop = Loop(Clock())
        self.senders = [Agent(self.loop, f"a{i}", keys, chunk=chunk) for i in range(senders)]
        self.relays = [Relay(self.loop, a.listen("127.0.0.1", 0), seed=i) for i, a in enumerate(self.senders)]
        self.b = Agent(self.loop, "b", keys, memory_bytes=memory, chunk=chunk)
        self.ended = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for agent in (self.b, *self.senders):
            agent.close()
        for relay in self.relays:
            relay.close()
        self.loop.close()

    def put(self, name, size, seed=1, only=None):
        data = random.Random(seed).randbytes(size)
        for agent in self.senders if only is None else [self.senders[only]]:
            agent.put(name, data)
        return data

    def fetch(self, name, due_s=1.0, expires_s=8.0, holders=None, agent=None, **more):
        now = self.loop.clock.now_us()
        holders = [r.address for r in self.relays] if holders is None else holders
        return (agent or self.b).fetch(
            name, holders, now + round(due_s * S), now + round(expires_s * S), self.ended.append, **more
        )

    def until(self, done, most_s=10):
        assert self.loop.run_until(done, round(most_s * S)), "did not happen in time"

    def end(self, fetch, most_s=10):
        self.until(lambda: fetch.is_finished, most_s)
        return fetch

    def check_nothing_held(self):
        assert not self.b.fetches and not any(link.fetches for link in self.b.links.values())
        assert self.b.used_bytes == sum(f.reserved for f in self.ended if f.why is None)
        assert not any(line for line in self.b.waiting.values())


def test_a_state_arrives_whole_and_is_counted_until_it_is_freed():
    with Lab() as lab:
        data = lab.put("s", 1_000_001)
        taken = []
        lab.senders[0].on_taken = taken.append
        f = lab.end(lab.fetch("s"))
        assert f.why is None and f.memory == data and lab.b.used_bytes == 1_000_001
        lab.until(lambda: taken == ["s"])
        f.free()
        assert lab.b.used_bytes == 0
        lab.check_nothing_held()


@pytest.mark.parametrize("size", [1, CHUNK - 1, CHUNK, CHUNK + 1, 5 * CHUNK])
def test_sizes_around_a_chunk(size):
    with Lab() as lab:
        data = lab.put("s", size)
        assert lab.end(lab.fetch("s")).memory == data


# Where a byte is flipped, counted from the connection's begin towards the receiver; the manifest of 20 chunks is the
# third frame.
def offsets():
    lab = Lab()
    state = lab.senders[0].put("s", random.Random(1).randbytes(20 * CHUNK))
    hello, auth = len(control(1, 0, [1, "a0", FEATURES, b"n" * 16])), 20 + 2 + 33
    lab.__exit__()
    manifest = len(control(MANIFEST, 1, state.manifest))
    first = hello + auth
    return {
        "hello": 25,
        "auth": hello + 30,
        "manifest header": first + 3,
        "manifest length": first + 10,
        "manifest sums": first + 40,
        "manifest root": first + manifest - 3,
        "data header": first + manifest + 1,
        "data length": first + manifest + 9,
        "data header check": first + manifest + 17,
        "data index": first + manifest + 22,
        "payload": first + manifest + 24 + 999,
        "a later payload": first + manifest + 3 * (24 + CHUNK) + 5000,
    }


@pytest.mark.parametrize("where,at", offsets().items())
def test_a_flipped_byte_in_every_position(where, at):
    with Lab() as lab:
        data = lab.put("s", 20 * CHUNK)
        lab.relays[0].flip_at = {at}
        f = lab.fetch("s")
        lab.until(lambda: lab.relays[0].flipped or f.is_finished)
        lab.relays[0].flip_at = set()
        assert lab.end(f).why is None and f.memory == data, f.why
        c = lab.b.counts
        assert c["corrupt chunks"] + c["bad frames"] + c["breaks"] + lab.senders[0].counts["bad frames"] >= 1, where
        lab.check_nothing_held()


def test_a_path_that_damages_everything_ends_in_a_decision():
    with Lab() as lab:
        lab.put("s", 20 * CHUNK)
        lab.relays[0].flip_part = 1.0
        f = lab.end(lab.fetch("s"))
        assert f.why and lab.b.used_bytes == 0 and lab.relays[0].connections <= 10
        lab.check_nothing_held()


def test_a_sender_that_dies_at_nine_tenths_and_is_replaced_by_one_with_the_same_state():
    with Lab(2) as lab:
        data = lab.put("s", 100 * CHUNK)
        lab.relays[0].cut_after = 90 * CHUNK
        f = lab.fetch("s", holders=[lab.relays[0].address])
        lab.until(lambda: f.receiver.missing and f.receiver.missing <= 20)
        lab.senders[0].close()
        lab.relays[0].close()
        f.holders.append(lab.relays[1].address)  # the replacement
        assert lab.end(f).memory == data
        assert lab.b.counts["resumed"] >= 1 and lab.senders[1].counts["chunks sent"] <= 20
        assert lab.b.counts["started over"] == 0


def test_one_with_another_state_under_the_same_name_starts_over():
    with Lab(2) as lab:
        lab.put("s", 100 * CHUNK, seed=1, only=0)
        other = lab.put("s", 90 * CHUNK + 7, seed=2, only=1)
        lab.relays[0].cut_after = 90 * CHUNK
        f = lab.fetch("s", holders=[lab.relays[0].address])
        lab.until(lambda: f.receiver.missing and f.receiver.missing <= 20)
        lab.senders[0].close()
        lab.relays[0].close()
        f.holders.append(lab.relays[1].address)
        assert lab.end(f).memory == other and lab.b.counts["started over"] == 1


def test_a_link_that_drops_for_ever_ends_in_a_decision():
    with Lab() as lab:
        lab.put("s", 400 * CHUNK)
        lab.relays[0].cut_every_ms, lab.relays[0].rate = 200, 1  # nothing ever comes through
        f = lab.end(lab.fetch("s", expires_s=9))
        assert f.why and lab.relays[0].connections <= 8
        lab.check_nothing_held()


def test_a_link_that_drops_but_gains_each_time_gets_there():
    with Lab() as lab:
        data = lab.put("s", 100 * CHUNK)
        lab.relays[0].cut_every_ms, lab.relays[0].rate = 200, 3_000_000
        f = lab.end(lab.fetch("s", expires_s=9))
        assert f.memory == data and lab.b.counts["breaks"] >= 2


def test_half_open():
    with Lab(2) as lab:
        data = lab.put("s", 60 * CHUNK)
        lab.relays[0].rate = 2_000_000
        f = lab.fetch("s", holders=[lab.relays[0].address])
        lab.until(lambda: f.receiver.manifest and f.receiver.missing < 50)
        lab.relays[0].hold = True
        f.holders.append(lab.relays[1].address)
        assert lab.end(f).memory == data
        assert lab.b.counts["stalls"] + lab.b.counts["left for another way"] >= 1


def test_the_only_holder_that_goes_silent_is_a_stall():
    with Lab() as lab:
        data = lab.put("s", 60 * CHUNK)
        lab.relays[0].rate = 2_000_000
        f = lab.fetch("s")
        lab.until(lambda: f.receiver.manifest and f.receiver.missing < 50)
        lab.relays[0].hold = True
        lab.until(lambda: lab.b.counts["stalls"])
        lab.relays[0].hold = False
        assert lab.end(f).memory == data and lab.b.counts["resumed"] >= 1


@pytest.mark.parametrize("fault", ["truncate_after", "twice_at"])
def test_truncation_and_bytes_that_come_twice(fault):
    with Lab() as lab:
        data = lab.put("s", 40 * CHUNK)
        setattr(lab.relays[0], fault, 10 * CHUNK if fault == "truncate_after" else {9 * CHUNK + 100})
        f = lab.fetch("s")
        lab.until(lambda: lab.b.counts["breaks"] or lab.b.counts["bad frames"] or lab.b.counts["corrupt chunks"])
        setattr(lab.relays[0], fault, None if fault == "truncate_after" else set())
        assert lab.end(f).memory == data


def test_a_receiver_that_crawls_does_not_hold_up_ten_others_on_the_same_sender():
    with Lab() as lab:
        data = lab.put("s", 100 * CHUNK)
        slow = Relay(lab.loop, lab.senders[0].listener.address)
        others = [Agent(lab.loop, f"c{i}", [b"key"], chunk=CHUNK) for i in range(10)]
        crawl = lab.fetch("s", holders=[slow.address], expires_s=30)
        lab.until(lambda: crawl.receiver.manifest and crawl.receiver.missing < 80)
        slow.rate = 20_000
        start = lab.loop.clock.now_us()
        rest = [lab.fetch("s", agent=a, holders=[lab.senders[0].listener.address]) for a in others]
        lab.until(lambda: all(f.is_finished for f in rest))
        assert all(f.memory == data for f in rest) and lab.loop.clock.now_us() - start < 2 * S
        assert not crawl.is_finished
        assert max(s.stream.unsent_bytes for s in lab.senders[0].servers) < 40 * CHUNK  # its memory is bounded
        crawl.cancel()
        assert lab.b.used_bytes == 0
        for a in others:
            a.close()
        slow.close()


def test_a_state_that_is_let_go_while_it_is_sent():
    with Lab() as lab:
        lab.put("s", 100 * CHUNK)
        lab.relays[0].rate = 1_000_000
        f = lab.fetch("s")
        lab.until(lambda: f.receiver.manifest and f.receiver.missing < 95)
        lab.senders[0].drop("s")
        assert "gone" in lab.end(f).why and lab.b.used_bytes == 0
        assert "unknown" in lab.end(lab.fetch("nope")).why
        lab.check_nothing_held()


def test_a_receiver_without_room():
    with Lab(memory=50 * CHUNK) as lab:
        lab.put("big", 51 * CHUNK)
        data = lab.put("s", 30 * CHUNK)
        assert lab.end(lab.fetch("big")).why == "no room"
        first = lab.end(lab.fetch("s"))
        assert first.memory == data and lab.end(lab.fetch("s")).why == "no room"
        first.free()
        assert lab.end(lab.fetch("s")).why is None
        lab.check_nothing_held()


def test_two_receivers_of_one_state_and_many_states_at_once():
    with Lab() as lab:
        datas = [lab.put(f"s{i}", (i + 1) * 1000 * 7, seed=i) for i in range(40)]
        other = Agent(lab.loop, "c", [b"key"], chunk=CHUNK)
        fetches = [lab.fetch(f"s{i}", agent=a) for i in range(40) for a in (lab.b, other)]
        lab.until(lambda: all(f.is_finished for f in fetches))
        assert all(f.memory == datas[i // 2] for i, f in enumerate(fetches))
        other.close()


def test_cancelled_chunks_are_read_past():
    with Lab() as lab:
        lab.put("a", 60 * CHUNK)
        data = lab.put("b", 60 * CHUNK, seed=2)
        lab.relays[0].rate = 5_000_000
        one, two = lab.fetch("a"), lab.fetch("b")
        lab.until(lambda: one.receiver.manifest and one.receiver.missing < 55)
        one.cancel()
        assert lab.end(two).memory == data and lab.b.counts["breaks"] == 0


def test_the_rest_of_a_cancelled_chunk_does_not_land_in_the_next_state():
    """Its memory is another state's by then, whose chunks there are verified already."""
    large = 256 << 10  # a relay's pieces are smaller
    with Lab(2, chunk=large) as lab:
        lab.put("a", 4 * large, seed=1)
        data = lab.put("b", 4 * large, seed=2, only=1)
        lab.relays[0].rate = 1_000_000
        one = lab.fetch("a", holders=[lab.relays[0].address])
        link = lab.b.links
        lab.until(lambda: any(x.frames.filling for x in link.values()))
        old = next(iter(link.values()))
        one.cancel()
        two = lab.end(lab.fetch("b", holders=[lab.relays[1].address]))
        assert len(lab.b.spare) == 0, "the freed memory was not used again: nothing is shown"
        lab.relays[0].rate = None
        lab.until(lambda: not old.frames.skip and not old.frames.filling and lab.relays[0].passed > large)
        assert two.memory == data and two.memory.tobytes() == data


def test_a_slow_path_is_left_for_a_holder_that_is_faster():
    with Lab(2) as lab:
        data = lab.put("s", 200 * CHUNK)
        lab.relays[0].rate = 400_000
        f = lab.end(lab.fetch("s"))
        assert f.memory == data and lab.b.counts["left for another way"] == 1
        assert lab.loop.clock.now_us() - f.start_us < 2 * S


@pytest.mark.parametrize(
    "alternatives,advice", [({"read anew": 300_000, "elsewhere": 20_000}, "elsewhere"), ({"read anew": 300_000}, "read anew")]
)
def test_a_slow_only_holder_is_left_for_what_the_caller_offers(alternatives, advice):
    with Lab() as lab:
        lab.put("s", 200 * CHUNK)
        lab.relays[0].rate = 400_000
        f = lab.end(lab.fetch("s", alternatives=alternatives))
        assert f.why and f.advice == advice and lab.loop.clock.now_us() - f.start_us < S
        lab.check_nothing_held()


def test_what_nobody_has_any_more_can_only_be_read_anew_and_a_full_receiver_asks_for_another():
    with Lab(memory=10 * CHUNK) as lab:
        lab.put("big", 20 * CHUNK)
        assert lab.end(lab.fetch("none", alternatives={"elsewhere": 1})).advice == "read anew"
        assert lab.end(lab.fetch("big", alternatives={"read anew": 1})).advice == "elsewhere"


def test_a_receiver_that_has_just_started_takes_two_moves_at_once():
    with Lab() as lab:
        datas = [lab.put(f"s{i}", 20 * CHUNK, seed=i) for i in range(6)]
        lab.relays[0].rate = 8_000_000
        lab.b.slow_start_until_us = lab.loop.clock.now_us() + 60 * S
        most, fetches = [], [lab.fetch(f"s{i}", due_s=6 - i) for i in range(6)]
        lab.until(lambda: most.append(sum(f.link is not None for f in fetches)) or all(f.is_finished for f in fetches))
        assert [f.memory == d for f, d in zip(fetches, datas)] == [True] * 6 and max(most) == 2
        assert [f.name for f in lab.ended] == ["s0", "s1", "s5", "s4", "s3", "s2"]  # by when they are due


def test_a_cold_receivers_waiting_moves_can_be_cancelled_and_expire():
    with Lab() as lab:
        lab.put("s", 20 * CHUNK)
        lab.relays[0].rate = 1_000_000
        lab.b.slow_start_until_us = lab.loop.clock.now_us() + 60 * S
        fetches = [lab.fetch("s", expires_s=0.15) for _ in range(5)]
        fetches[4].cancel()
        lab.until(lambda: all(f.is_finished for f in fetches))
        lab.check_nothing_held()
        assert not lab.b.held_back


def test_progress_is_told_and_the_list_of_states_can_be_asked_for():
    with Lab() as lab:
        lab.put("s", 160 * CHUNK)
        lab.put("t", 3 * CHUNK, seed=3)
        lab.relays[0].rate = 4_000_000
        f, seen, lists = lab.fetch("s"), set(), []

        def look():
            seen.update(t.verified for server in lab.senders[0].servers for t in server.sender.transfers.values())
            return f.is_finished

        lab.until(look)
        assert len(seen) > 8 and max(seen) > 100
        next(iter(lab.b.links.values())).ask_list(lists.append)
        lab.until(lambda: lists)
        assert lists[0].total == 2 and [(n, size) for n, size, _ in lists[0].states] == [("s", 160 * CHUNK), ("t", 3 * CHUNK)]


def test_the_word_that_a_state_is_here_reaches_its_holder_though_the_connection_breaks_just_then():
    """Else the holder keeps its memory until the state expires."""
    with Lab() as lab:
        data, taken = lab.put("s", 20 * CHUNK), []
        lab.senders[0].on_taken = taken.append
        f = lab.fetch("s")
        f.done = lambda f: lab.relays[0].cut()
        assert lab.end(f).memory == data and not taken
        lab.until(lambda: taken)
        assert taken == ["s"]
        lab.until(lambda: not any(link.unheard for link in lab.b.links.values()))


def test_the_word_to_a_holder_that_is_gone_is_given_up():
    with Lab() as lab:
        lab.put("s", CHUNK)
        f = lab.fetch("s")
        f.done = lambda f: (lab.relays[0].close(), lab.senders[0].close())
        lab.end(f)
        lab.until(lambda: lab.b.counts["words lost"] == 1)
        assert not lab.b.links and not lab.b.dialling


@pytest.mark.parametrize("keys", [[b"other"], []])
def test_agents_with_other_keys_get_nothing(keys):
    with Lab() as lab:
        lab.put("s", CHUNK)
        thief = Agent(lab.loop, "thief", keys, chunk=CHUNK)
        f = lab.end(lab.fetch("s", agent=thief, expires_s=4))
        assert f.why and lab.senders[0].counts["chunks sent"] == 0
        thief.close()


def test_keys_are_changed_without_a_gap():
    with Lab(keys=(b"old",)) as lab:
        data = lab.put("s", CHUNK)
        lab.senders[0].keys = [b"old", b"new"]
        newer = Agent(lab.loop, "n", [b"new", b"old"], chunk=CHUNK)
        assert lab.end(lab.fetch("s", agent=newer)).memory == data
        assert lab.end(lab.fetch("s")).memory == data
        newer.close()


class Liar:
    """A sender that speaks the protocol and lies."""

    def __init__(self, lab, answer):
        self.lab = lab
        lying = self

        class Lying(Server):
            def take(self, kind, transfer, value):
                answer(lying, self, kind, transfer, value)

        self.agent = Agent(lab.loop, "liar", [b"key"], chunk=CHUNK)
        self.agent.accept = lambda stream, peer: self.agent.servers.add(Lying(self.agent, stream))
        self.address = self.agent.listen("127.0.0.1", 0)


def lie_length(_, server, kind, transfer, value):
    if kind == 3:
        m = manifest_of("s", b"x" * (3 * CHUNK), CHUNK)
        server.send(MANIFEST, transfer, type(m)(m.name, m.length * 1000, m.chunk, m.sums, m.root))


def lie_huge(_, server, kind, transfer, value):
    if kind == 3:
        server.stream.write(HEADER.pack(b"LT", MANIFEST, 0, transfer, 1 << 31, 0, 0))


def lie_chunks(_, server, kind, transfer, value):
    if kind == 3:
        server.send(MANIFEST, transfer, manifest_of("s", b"x" * (3 * CHUNK), CHUNK))
    elif kind == 5:
        server.stream.write(data_head(transfer, 0, 10) + b"y" * 10)


def lie_nothing(_, server, kind, transfer, value):
    if kind == 3:
        server.send(MANIFEST, transfer, manifest_of("s", b"x" * (3 * CHUNK), CHUNK))


def lie_errors(_, server, kind, transfer, value):
    if kind == 3:
        server.send(ERROR, transfer, Error("unknown", "sender", "x" * 1000))


@pytest.mark.parametrize("answer", [lie_length, lie_huge, lie_chunks, lie_nothing, lie_errors])
def test_a_sender_that_lies_harms_nobody_and_an_honest_one_is_asked(answer):
    with Lab() as lab:
        data = lab.put("s", 10 * CHUNK)
        liar = Liar(lab, answer)
        f = lab.end(lab.fetch("s", holders=[liar.address, lab.relays[0].address]))
        assert f.why is None and f.memory == data
        alone = lab.end(lab.fetch("s", holders=[liar.address], expires_s=6))
        assert alone.why
        lab.check_nothing_held()
        liar.agent.close()


FAULTS = st.lists(
    st.tuples(st.sampled_from(["cut", "flip", "hold", "pass", "slow", "fast", "drop"]), st.integers(0, 1), st.integers(1, 30)),
    max_size=8,
)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(FAULTS, st.integers(1, 30 * CHUNK))
def test_random_faults_every_whole_state_is_identical_and_nothing_is_held(faults, size):
    with Lab(2) as lab:
        data = lab.put("s", size)
        fetches = [lab.fetch("s", expires_s=1.5) for _ in range(3)]
        steps = iter(faults)

        def step():
            what, n, ms = next(steps, (None, 0, 0))
            relay = lab.relays[n]
            if what == "cut":
                relay.cut()
            elif what == "flip":
                relay.flip_part = 0.2
            elif what == "hold":
                relay.hold = True
            elif what == "pass":
                relay.hold, relay.flip_part, relay.rate = False, 0.0, None
            elif what in ("slow", "fast"):
                relay.rate = 300_000 if what == "slow" else 20_000_000
            elif what == "drop":
                lab.senders[n].drop("s")
            if what:
                lab.loop.call_later(ms * 1000, step)

        step()
        lab.until(lambda: all(f.is_finished for f in fetches), 4)
        for f in fetches:
            assert f.why is not None or f.memory == data
        for server in [s for a in lab.senders for s in a.servers]:
            for one in server.sender.transfers.values():
                assert one.granted == one.sent + one.credit
        lab.check_nothing_held()
