"""Transfers of read states through a relay that injects faults, one at a time and at random."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.loop import Clock, Loop
from lapiswing.standin.relay import Relay
from lapiswing.transfer.agent import Agent
from lapiswing.transfer.frames import ERROR, HEADER, MANIFEST, Error, encode_control, encode_data_header, manifest_of
from lapiswing.transfer.peers import FEATURES, ServingPeer

S = 1_000_000
CHUNK = 16 << 10


class Lab:
    """An agent that fetches, and senders that are each behind a relay."""

    def __init__(self, senders=1, keys=(b"key",), memory=64 << 20, chunk=CHUNK):
        self.loop = Loop(Clock())
        self.senders = [Agent(self.loop, f"a{i}", keys, chunk=chunk) for i in range(senders)]
        self.relays = [Relay(self.loop, a.listen("127.0.0.1", 0), seed=i) for i, a in enumerate(self.senders)]
        self.fetcher = Agent(self.loop, "b", keys, memory_bytes=memory, chunk=chunk)
        self.ended = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for agent in (self.fetcher, *self.senders):
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
        return (agent or self.fetcher).fetch(
            name, holders, now + round(due_s * S), now + round(expires_s * S), self.ended.append, **more
        )

    def until(self, done, most_s=10):
        assert self.loop.run_until(done, round(most_s * S)), "did not happen in time"

    def end(self, fetch, most_s=10):
        self.until(lambda: fetch.is_finished, most_s)
        return fetch

    def check_nothing_left(self):
        assert not self.fetcher.fetches and not any(link.fetches for link in self.fetcher.links.values())
        assert self.fetcher.used_bytes == sum(fetch.reserved_bytes for fetch in self.ended if fetch.why is None)
        assert not any(waiting for waiting in self.fetcher.awaiting_link.values())


def test_a_state_arrives_whole_and_is_counted_until_it_is_freed():
    with Lab() as lab:
        data = lab.put("s", 1_000_001)
        taken = []
        lab.senders[0].on_taken = taken.append
        fetch = lab.end(lab.fetch("s"))
        assert fetch.why is None and fetch.memory == data and lab.fetcher.used_bytes == 1_000_001
        lab.until(lambda: taken == ["s"])
        fetch.free()
        assert lab.fetcher.used_bytes == 0
        lab.check_nothing_left()


@pytest.mark.parametrize("size", [1, CHUNK - 1, CHUNK, CHUNK + 1, 5 * CHUNK])
def test_sizes_around_a_chunk(size):
    with Lab() as lab:
        data = lab.put("s", size)
        assert lab.end(lab.fetch("s")).memory == data


# Offsets of a flipped byte, from the start of the connection towards the receiver. The manifest of 20 chunks is the third
# frame.
def offsets():
    lab = Lab()
    state = lab.senders[0].put("s", random.Random(1).randbytes(20 * CHUNK))
    hello_bytes, auth_bytes = len(encode_control(1, 0, [1, "a0", FEATURES, b"n" * 16])), 20 + 2 + 33
    lab.__exit__()
    manifest_bytes = len(encode_control(MANIFEST, 1, state.manifest))
    handshake_bytes = hello_bytes + auth_bytes
    return {
        "hello": 25,
        "auth": hello_bytes + 30,
        "manifest header": handshake_bytes + 3,
        "manifest length": handshake_bytes + 10,
        "manifest sums": handshake_bytes + 40,
        "manifest root": handshake_bytes + manifest_bytes - 3,
        "data header": handshake_bytes + manifest_bytes + 1,
        "data length": handshake_bytes + manifest_bytes + 9,
        "data header check": handshake_bytes + manifest_bytes + 17,
        "data index": handshake_bytes + manifest_bytes + 22,
        "payload": handshake_bytes + manifest_bytes + 24 + 999,
        "a later payload": handshake_bytes + manifest_bytes + 3 * (24 + CHUNK) + 5000,
    }


@pytest.mark.parametrize("where,at", offsets().items())
def test_a_flipped_byte_in_every_position(where, at):
    with Lab() as lab:
        data = lab.put("s", 20 * CHUNK)
        lab.relays[0].flip_at = {at}
        fetch = lab.fetch("s")
        lab.until(lambda: lab.relays[0].flipped or fetch.is_finished)
        lab.relays[0].flip_at = set()
        assert lab.end(fetch).why is None and fetch.memory == data, fetch.why
        counts = lab.fetcher.counts
        assert counts["corrupt chunks"] + counts["bad frames"] + counts["breaks"] + lab.senders[0].counts["bad frames"] >= 1, (
            where
        )
        lab.check_nothing_left()


def test_a_path_that_corrupts_everything_ends_the_fetch():
    with Lab() as lab:
        lab.put("s", 20 * CHUNK)
        lab.relays[0].flip_part = 1.0
        fetch = lab.end(lab.fetch("s"))
        assert fetch.why and lab.fetcher.used_bytes == 0 and lab.relays[0].connections <= 10
        lab.check_nothing_left()


def test_a_sender_that_dies_at_90_percent_is_replaced_by_one_with_the_same_state():
    with Lab(2) as lab:
        data = lab.put("s", 100 * CHUNK)
        lab.relays[0].cut_after = 90 * CHUNK
        fetch = lab.fetch("s", holders=[lab.relays[0].address])
        lab.until(lambda: fetch.receiver.missing and fetch.receiver.missing <= 20)
        lab.senders[0].close()
        lab.relays[0].close()
        fetch.holders.append(lab.relays[1].address)  # the replacement
        assert lab.end(fetch).memory == data
        assert lab.fetcher.counts["resumed"] >= 1 and lab.senders[1].counts["chunks sent"] <= 20
        assert lab.fetcher.counts["started over"] == 0


def test_a_holder_with_another_state_of_the_same_name_starts_over():
    with Lab(2) as lab:
        lab.put("s", 100 * CHUNK, seed=1, only=0)
        other = lab.put("s", 90 * CHUNK + 7, seed=2, only=1)
        lab.relays[0].cut_after = 90 * CHUNK
        fetch = lab.fetch("s", holders=[lab.relays[0].address])
        lab.until(lambda: fetch.receiver.missing and fetch.receiver.missing <= 20)
        lab.senders[0].close()
        lab.relays[0].close()
        fetch.holders.append(lab.relays[1].address)
        assert lab.end(fetch).memory == other and lab.fetcher.counts["started over"] == 1


def test_a_link_that_keeps_dropping_ends_the_fetch():
    with Lab() as lab:
        lab.put("s", 400 * CHUNK)
        lab.relays[0].cut_every_ms, lab.relays[0].rate = 200, 1  # no chunk gets through between two cuts
        fetch = lab.end(lab.fetch("s", expires_s=9))
        assert fetch.why and lab.relays[0].connections <= 8
        lab.check_nothing_left()


def test_a_link_that_drops_but_makes_progress_completes():
    with Lab() as lab:
        data = lab.put("s", 100 * CHUNK)
        lab.relays[0].cut_every_ms, lab.relays[0].rate = 200, 3_000_000
        fetch = lab.end(lab.fetch("s", expires_s=9))
        assert fetch.memory == data and lab.fetcher.counts["breaks"] >= 2


def test_a_half_open_connection():
    with Lab(2) as lab:
        data = lab.put("s", 60 * CHUNK)
        lab.relays[0].rate = 2_000_000
        fetch = lab.fetch("s", holders=[lab.relays[0].address])
        lab.until(lambda: fetch.receiver.manifest and fetch.receiver.missing < 50)
        lab.relays[0].hold = True
        fetch.holders.append(lab.relays[1].address)
        assert lab.end(fetch).memory == data
        assert lab.fetcher.counts["stalls"] + lab.fetcher.counts["left for another way"] >= 1


def test_a_silent_only_holder_counts_as_a_stall():
    with Lab() as lab:
        data = lab.put("s", 60 * CHUNK)
        lab.relays[0].rate = 2_000_000
        fetch = lab.fetch("s")
        lab.until(lambda: fetch.receiver.manifest and fetch.receiver.missing < 50)
        lab.relays[0].hold = True
        lab.until(lambda: lab.fetcher.counts["stalls"])
        lab.relays[0].hold = False
        assert lab.end(fetch).memory == data and lab.fetcher.counts["resumed"] >= 1


@pytest.mark.parametrize("fault", ["truncate_after", "twice_at"])
def test_truncation_and_bytes_that_come_twice(fault):
    with Lab() as lab:
        data = lab.put("s", 40 * CHUNK)
        setattr(lab.relays[0], fault, 10 * CHUNK if fault == "truncate_after" else {9 * CHUNK + 100})
        fetch = lab.fetch("s")
        lab.until(
            lambda: lab.fetcher.counts["breaks"] or lab.fetcher.counts["bad frames"] or lab.fetcher.counts["corrupt chunks"]
        )
        setattr(lab.relays[0], fault, None if fault == "truncate_after" else set())
        assert lab.end(fetch).memory == data


def test_a_slow_receiver_does_not_hold_up_ten_others_on_the_same_sender():
    with Lab() as lab:
        data = lab.put("s", 100 * CHUNK)
        slow = Relay(lab.loop, lab.senders[0].listener.address)
        others = [Agent(lab.loop, f"c{i}", [b"key"], chunk=CHUNK) for i in range(10)]
        slow_fetch = lab.fetch("s", holders=[slow.address], expires_s=30)
        lab.until(lambda: slow_fetch.receiver.manifest and slow_fetch.receiver.missing < 80)
        slow.rate = 20_000
        start = lab.loop.clock.now_us()
        rest = [lab.fetch("s", agent=a, holders=[lab.senders[0].listener.address]) for a in others]
        lab.until(lambda: all(fetch.is_finished for fetch in rest))
        assert all(fetch.memory == data for fetch in rest) and lab.loop.clock.now_us() - start < 2 * S
        assert not slow_fetch.is_finished
        assert max(s.stream.unsent_bytes for s in lab.senders[0].servers) < 40 * CHUNK  # its memory is bounded
        slow_fetch.cancel()
        assert lab.fetcher.used_bytes == 0
        for a in others:
            a.close()
        slow.close()


def test_a_state_that_is_released_while_it_is_sent():
    with Lab() as lab:
        lab.put("s", 100 * CHUNK)
        lab.relays[0].rate = 1_000_000
        fetch = lab.fetch("s")
        lab.until(lambda: fetch.receiver.manifest and fetch.receiver.missing < 95)
        lab.senders[0].drop("s")
        assert "gone" in lab.end(fetch).why and lab.fetcher.used_bytes == 0
        assert "unknown" in lab.end(lab.fetch("nope")).why
        lab.check_nothing_left()


def test_a_receiver_without_room():
    with Lab(memory=50 * CHUNK) as lab:
        lab.put("big", 51 * CHUNK)
        data = lab.put("s", 30 * CHUNK)
        assert lab.end(lab.fetch("big")).why == "no room"
        first = lab.end(lab.fetch("s"))
        assert first.memory == data and lab.end(lab.fetch("s")).why == "no room"
        first.free()
        assert lab.end(lab.fetch("s")).why is None
        lab.check_nothing_left()


def test_two_receivers_of_one_state_and_many_states_at_once():
    with Lab() as lab:
        contents = [lab.put(f"s{i}", (i + 1) * 1000 * 7, seed=i) for i in range(40)]
        other = Agent(lab.loop, "c", [b"key"], chunk=CHUNK)
        fetches = [lab.fetch(f"s{i}", agent=a) for i in range(40) for a in (lab.fetcher, other)]
        lab.until(lambda: all(fetch.is_finished for fetch in fetches))
        assert all(fetch.memory == contents[i // 2] for i, fetch in enumerate(fetches))
        other.close()


def test_chunks_of_a_cancelled_fetch_are_skipped():
    with Lab() as lab:
        lab.put("a", 60 * CHUNK)
        data = lab.put("b", 60 * CHUNK, seed=2)
        lab.relays[0].rate = 5_000_000
        one, two = lab.fetch("a"), lab.fetch("b")
        lab.until(lambda: one.receiver.manifest and one.receiver.missing < 55)
        one.cancel()
        assert lab.end(two).memory == data and lab.fetcher.counts["breaks"] == 0


def test_the_rest_of_a_cancelled_chunk_does_not_land_in_the_next_state():
    """Its buffer may belong to another state by then, whose verified chunks would be overwritten."""
    large = 256 << 10  # larger than what a relay passes on at once
    with Lab(2, chunk=large) as lab:
        lab.put("a", 4 * large, seed=1)
        data = lab.put("b", 4 * large, seed=2, only=1)
        lab.relays[0].rate = 1_000_000
        one = lab.fetch("a", holders=[lab.relays[0].address])
        links = lab.fetcher.links
        lab.until(lambda: any(link.frames.partial_chunk for link in links.values()))
        old = next(iter(links.values()))
        one.cancel()
        two = lab.end(lab.fetch("b", holders=[lab.relays[1].address]))
        assert len(lab.fetcher.free_buffers) == 0, "the released buffer was not reused, so the test shows nothing"
        lab.relays[0].rate = None
        lab.until(lambda: not old.frames.skip_bytes and not old.frames.partial_chunk and lab.relays[0].passed > large)
        assert two.memory == data and two.memory.tobytes() == data


def test_a_slow_path_is_given_up_for_a_faster_holder():
    with Lab(2) as lab:
        data = lab.put("s", 200 * CHUNK)
        lab.relays[0].rate = 400_000
        fetch = lab.end(lab.fetch("s"))
        assert fetch.memory == data and lab.fetcher.counts["left for another way"] == 1
        assert lab.loop.clock.now_us() - fetch.start_us < 2 * S


@pytest.mark.parametrize(
    "alternatives,advice", [({"read anew": 300_000, "elsewhere": 20_000}, "elsewhere"), ({"read anew": 300_000}, "read anew")]
)
def test_a_slow_only_holder_is_given_up_for_an_alternative_of_the_caller(alternatives, advice):
    with Lab() as lab:
        lab.put("s", 200 * CHUNK)
        lab.relays[0].rate = 400_000
        fetch = lab.end(lab.fetch("s", alternatives=alternatives))
        assert fetch.why and fetch.advice == advice and lab.loop.clock.now_us() - fetch.start_us < S
        lab.check_nothing_left()


def test_advice_for_a_state_without_holder_and_for_a_full_receiver():
    with Lab(memory=10 * CHUNK) as lab:
        lab.put("big", 20 * CHUNK)
        assert lab.end(lab.fetch("none", alternatives={"elsewhere": 1})).advice == "read anew"
        assert lab.end(lab.fetch("big", alternatives={"read anew": 1})).advice == "elsewhere"


def test_a_receiver_that_has_just_started_takes_two_moves_at_once():
    with Lab() as lab:
        contents = [lab.put(f"s{i}", 20 * CHUNK, seed=i) for i in range(6)]
        lab.relays[0].rate = 8_000_000
        lab.fetcher.slow_start_until_us = lab.loop.clock.now_us() + 60 * S
        most, fetches = [], [lab.fetch(f"s{i}", due_s=6 - i) for i in range(6)]
        lab.until(
            lambda: most.append(sum(fetch.link is not None for fetch in fetches)) or all(fetch.is_finished for fetch in fetches)
        )
        assert [fetch.memory == d for fetch, d in zip(fetches, contents)] == [True] * 6 and max(most) == 2
        assert [fetch.name for fetch in lab.ended] == ["s0", "s1", "s5", "s4", "s3", "s2"]  # in the order in which they are due


def test_queued_moves_of_a_receiver_in_slow_start_can_be_cancelled_and_expire():
    with Lab() as lab:
        lab.put("s", 20 * CHUNK)
        lab.relays[0].rate = 1_000_000
        lab.fetcher.slow_start_until_us = lab.loop.clock.now_us() + 60 * S
        fetches = [lab.fetch("s", expires_s=0.15) for _ in range(5)]
        fetches[4].cancel()
        lab.until(lambda: all(fetch.is_finished for fetch in fetches))
        lab.check_nothing_left()
        assert not lab.fetcher.queued_fetches


def test_progress_is_reported_and_states_can_be_listed():
    with Lab() as lab:
        lab.put("s", 160 * CHUNK)
        lab.put("t", 3 * CHUNK, seed=3)
        lab.relays[0].rate = 4_000_000
        fetch, seen, lists = lab.fetch("s"), set(), []

        def record_progress():
            seen.update(t.verified for server in lab.senders[0].servers for t in server.sender.transfers.values())
            return fetch.is_finished

        lab.until(record_progress)
        assert len(seen) > 8 and max(seen) > 100
        next(iter(lab.fetcher.links.values())).ask_list(lists.append)
        lab.until(lambda: lists)
        assert lists[0].total == 2 and [(n, size) for n, size, _ in lists[0].states] == [("s", 160 * CHUNK), ("t", 3 * CHUNK)]


def test_done_reaches_the_holder_although_the_connection_breaks():
    """Without a repetition of DONE the holder keeps the state until it expires."""
    with Lab() as lab:
        data, taken = lab.put("s", 20 * CHUNK), []
        lab.senders[0].on_taken = taken.append
        fetch = lab.fetch("s")
        fetch.done = lambda fetch: lab.relays[0].cut()
        assert lab.end(fetch).memory == data and not taken
        lab.until(lambda: taken)
        assert taken == ["s"]
        lab.until(lambda: not any(link.unacknowledged for link in lab.fetcher.links.values()))


def test_done_to_a_holder_that_is_gone_is_given_up():
    with Lab() as lab:
        lab.put("s", CHUNK)
        fetch = lab.fetch("s")
        fetch.done = lambda fetch: (lab.relays[0].close(), lab.senders[0].close())
        lab.end(fetch)
        lab.until(lambda: lab.fetcher.counts["words lost"] == 1)
        assert not lab.fetcher.links and not lab.fetcher.connecting


@pytest.mark.parametrize("keys", [[b"other"], []])
def test_agents_with_other_keys_are_refused(keys):
    with Lab() as lab:
        lab.put("s", CHUNK)
        intruder = Agent(lab.loop, "intruder", keys, chunk=CHUNK)
        fetch = lab.end(lab.fetch("s", agent=intruder, expires_s=4))
        assert fetch.why and lab.senders[0].counts["chunks sent"] == 0
        intruder.close()


def test_keys_are_rotated_without_interruption():
    with Lab(keys=(b"old",)) as lab:
        data = lab.put("s", CHUNK)
        lab.senders[0].keys = [b"old", b"new"]
        newer = Agent(lab.loop, "n", [b"new", b"old"], chunk=CHUNK)
        assert lab.end(lab.fetch("s", agent=newer)).memory == data
        assert lab.end(lab.fetch("s")).memory == data
        newer.close()


class MisbehavingSender:
    """A sender that completes the handshake and then violates the protocol."""

    def __init__(self, lab, answer):
        self.lab = lab
        sender = self

        class MisbehavingPeer(ServingPeer):
            def handle_frame(self, kind, transfer, value):
                answer(sender, self, kind, transfer, value)

        self.agent = Agent(lab.loop, "misbehaving", [b"key"], chunk=CHUNK)
        self.agent.accept = lambda stream, peer: self.agent.servers.add(MisbehavingPeer(self.agent, stream))
        self.address = self.agent.listen("127.0.0.1", 0)


def send_wrong_length(_, server, kind, transfer, value):
    if kind == 3:
        manifest = manifest_of("s", b"x" * (3 * CHUNK), CHUNK)
        server.send(
            MANIFEST,
            transfer,
            type(manifest)(manifest.name, manifest.length * 1000, manifest.chunk, manifest.sums, manifest.root),
        )


def send_huge_header(_, server, kind, transfer, value):
    if kind == 3:
        server.stream.write(HEADER.pack(b"LT", MANIFEST, 0, transfer, 1 << 31, 0, 0))


def send_wrong_chunk(_, server, kind, transfer, value):
    if kind == 3:
        server.send(MANIFEST, transfer, manifest_of("s", b"x" * (3 * CHUNK), CHUNK))
    elif kind == 5:
        server.stream.write(encode_data_header(transfer, 0, 10) + b"y" * 10)


def send_no_chunks(_, server, kind, transfer, value):
    if kind == 3:
        server.send(MANIFEST, transfer, manifest_of("s", b"x" * (3 * CHUNK), CHUNK))


def send_error(_, server, kind, transfer, value):
    if kind == 3:
        server.send(ERROR, transfer, Error("unknown", "sender", "x" * 1000))


@pytest.mark.parametrize("answer", [send_wrong_length, send_huge_header, send_wrong_chunk, send_no_chunks, send_error])
def test_a_misbehaving_sender_is_detected_and_another_holder_is_used(answer):
    with Lab() as lab:
        data = lab.put("s", 10 * CHUNK)
        misbehaving = MisbehavingSender(lab, answer)
        fetch = lab.end(lab.fetch("s", holders=[misbehaving.address, lab.relays[0].address]))
        assert fetch.why is None and fetch.memory == data
        alone = lab.end(lab.fetch("s", holders=[misbehaving.address], expires_s=6))
        assert alone.why
        lab.check_nothing_left()
        misbehaving.agent.close()


FAULTS = st.lists(
    st.tuples(st.sampled_from(["cut", "flip", "hold", "pass", "slow", "fast", "drop"]), st.integers(0, 1), st.integers(1, 30)),
    max_size=8,
)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(FAULTS, st.integers(1, 30 * CHUNK))
def test_random_faults_never_corrupt_a_state_and_release_all_memory(faults, size):
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
        lab.until(lambda: all(fetch.is_finished for fetch in fetches), 4)
        for fetch in fetches:
            assert fetch.why is not None or fetch.memory == data
        for server in [s for a in lab.senders for s in a.servers]:
            for outgoing in server.sender.transfers.values():
                assert outgoing.granted == outgoing.sent + outgoing.credit
        lab.check_nothing_left()
