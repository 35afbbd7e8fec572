"""The state machines of moves and what is decided about them, without I/O; a model check over all interleavings."""

from collections import deque

import pytest

from lapiswing.transfer import decide
from lapiswing.transfer.decide import Move, Paths, Way, Window, admit, next_step, order, other_ways, worth_leaving
from lapiswing.transfer.frames import BadFrame, Manifest, manifest_of, read_control, read_header
from lapiswing.transfer.machine import Receiver, Sender

MS = 1000


def state(chunks):
    return manifest_of("s", bytes(range(1, chunks * 2 + 1)), 2)


def test_model_check_of_credit_and_resumption():
    """Every interleaving of asking, sending, arriving (whole or damaged) and losing the connection, for a state of four
    chunks, two losses and one damaged chunk: never a wrong byte, credit is conserved, and the end can always be reached."""
    manifest = state(4)
    content = bytes(range(1, 9))

    def start():
        return (bytes(4), frozenset(), (), (), 0, 2, 1)  # have, out, sender's queue, wire, credit, losses, damages

    def build(have, out):
        r = Receiver("s", lambda m: bytearray(m.length))
        r.take_manifest(manifest)
        for i in range(4):
            if have[i]:
                at, size = manifest.span(i)
                r.memory[at : at + size] = content[at : at + size]
                r.received[i], r.missing = 1, r.missing - 1
        r.requested = dict.fromkeys(out, 0)
        r.next = 0
        return r

    def moves(node):
        have, out, queue, wire, credit, losses, damages = node
        r = build(have, out)
        for most in (1, 2):
            r2 = build(have, out)
            asked = [i for a, b in r2.ask(most, 0) for i in range(a, b)]
            if asked:
                s = Sender()
                s.open(1, None, 0)
                one = s.transfers[1]
                one.queue, one.credit, one.granted = deque(queue), credit, credit
                assert s.want(1, [(i, i + 1) for i in asked], len(asked), 4)
                assert one.granted == one.sent + one.credit
                yield (have, frozenset(r2.requested), tuple(one.queue), wire, one.credit, losses, damages)
        if queue and credit:
            s = Sender()
            s.open(1, None, 0)
            one = s.transfers[1]
            one.queue, one.credit = deque(queue), credit
            _, _, index = s.next()
            yield (have, out, tuple(one.queue), (*wire, index), one.credit, losses, damages)
        if wire:
            for bad in (False, True) if damages else (False,):
                r = build(have, out)
                index = wire[0]
                place = r.place(index)
                at, size = manifest.span(index)
                if place is not None:
                    place[:] = b"\xff\xff" if bad else content[at : at + size]
                    assert r.chunk_received(index, size) == ("corrupt" if bad else "whole" if not r.missing else "good")
                for i in range(4):
                    if r.received[i]:
                        a, n = manifest.span(i)
                        assert bytes(r.memory[a : a + n]) == content[a : a + n]
                yield (bytes(r.received), frozenset(r.requested), queue, wire[1:], credit, losses, damages - bad)
        if losses:
            yield (have, frozenset(), (), (), 0, losses - 1, damages)

    seen, line, edges = {start()}, deque([start()]), {}
    while line:
        node = line.popleft()
        edges[node] = set(moves(node))
        # Whatever is out is with the sender, against credit, or on the wire: nothing is waited for that can't come.
        assert node[1] <= set(node[2]) | set(node[3]) and node[4] >= len(node[2])
        for other in edges[node] - seen:
            seen.add(other)
            line.append(other)
    ends = {n for n in seen if n[0] == b"\1" * 4}
    back = {}
    for node, others in edges.items():
        for other in others:
            back.setdefault(other, []).append(node)
    reach, line = set(ends), deque(ends)
    while line:
        for node in back.get(line.popleft(), ()):
            if node not in reach:
                reach.add(node)
                line.append(node)
    print(f"{len(seen)} states, {sum(map(len, edges.values()))} steps, {len(ends)} ends")
    assert reach == seen and ends and len(seen) > 500


def test_resumption_by_root():
    r = Receiver("s", lambda m: bytearray(m.length))
    assert r.take_manifest(state(4)) == "new"
    r.ask(2, 0)
    r.place(0)[:] = bytes([1, 2])
    assert r.chunk_received(0, 2) == "good"
    assert r.take_manifest(state(4)) == "same" and r.missing == 3 and r.ask(9, 0) == [(1, 4)]
    assert r.take_manifest(state(5)) == "other" and r.missing == 5
    full = Receiver("s", lambda n: None)
    assert full.take_manifest(state(4)) == "no room" and full.manifest is None


def test_priorities_and_turns_of_a_sender():
    s = Sender(most=3)
    for t, p in ((1, 5), (2, 5), (3, 1)):
        assert s.open(t, f"s{t}", p) and s.want(t, [(0, 2)], 2, 9)
    assert not s.open(4, "s4", 1)
    assert [s.next()[0] for _ in range(6)] == [3, 3, 1, 2, 1, 2] and s.next() is None
    assert not s.want(1, [(8, 10)], 1, 9) and s.want(77, [(0, 1)], 1, 9)


def test_manifests_that_do_not_fit_together():
    good = state(3)
    fields = [good.name, good.length, good.chunk, good.sums, good.root]
    for at, value in ((1, 7), (1, 0), (1, 1 << 50), (2, 0), (2, 3), (3, good.sums[:-8]), (3, bytes(24)), (4, bytes(16))):
        with pytest.raises(BadFrame):
            Manifest(*fields[:at], value, *fields[at + 1 :]).check()
    for data in (bytes(20), b"LT" + bytes(18)):
        with pytest.raises(BadFrame):
            read_header(data)
    with pytest.raises(BadFrame):
        read_control(b"\xc1", 1, Manifest)


def test_the_window_grows_while_delay_does_not():
    w = Window()
    for _ in range(150):
        w.chunk(10 * MS, 1000, w.allowed())
    assert w.allowed() > 20
    large = w.allowed()
    for _ in range(49):
        w.chunk(60 * MS, 1000, w.allowed())  # a queue stands
    assert w.allowed() < large / 1.5
    for _ in range(800):
        w.chunk(60 * MS, 1000, w.allowed())  # no: the path has become longer, and that is learnt
    assert w.allowed() > 20
    w.broke()
    assert w.stall_us() >= decide.STALL_US


def test_a_queue_of_its_own_making_is_not_taken_for_the_path():
    """A link of 10 ms a chunk and 5 ms of delay: three chunks fill it. The window grew without end, as each new least time
    was one with the queue in it."""
    w, sizes = Window(), []
    for _ in range(5000):
        w.chunk(5 * MS + w.allowed() * 10 * MS, 1 << 20, w.allowed())
        sizes.append(w.allowed())
    assert max(sizes[400:]) <= 6 and sum(sizes) / len(sizes) > 2


def test_order_on_a_link():
    now, rate = 0, 10e6
    moves = [
        Move("big, time enough", 9_000 * MS, 30_000_000),
        Move("small, time enough", 9_000 * MS, 1000),
        Move("urgent", 300 * MS, 1_000_000),
        Move("most urgent", 150 * MS, 1_000_000),
        Move("lost", 50 * MS, 10_000_000),
    ]
    assert order(moves, now, rate) == ["most urgent", "urgent", "small, time enough", "big, time enough", "lost"]
    assert [admit(running, 5, True) for running in range(4)] == [2, 1, 0, 0] and admit(7, 5, False) == 5


def test_what_is_done_when_a_move_breaks():
    ways = [
        Way("resume", 10_000_000, 10e6, 2 * MS, 0, "a"),
        Way("other holder", 10_000_000, 40e6, 5 * MS, 0, "b"),
        Way("read anew", 0, None, 800 * MS),
    ]
    assert next_step(ways, 0, 5_000 * MS).holder == "b"
    assert next_step([ways[0], ways[2]], 0, 5_000 * MS).what == "read anew"
    # Near its end the rest is cheaper than anything else, until it has failed too often.
    near = Way("resume", 100_000, 10e6, 2 * MS, 1, "a")
    assert next_step([near, *ways[1:]], 0, 5_000 * MS) is near
    assert next_step([near._replace(fails=decide.BREAKS), ways[2]], 0, 5_000 * MS).what == "read anew"
    assert next_step(ways, 0, 100 * MS) is None


def test_whose_trouble_it_is_decides_what_else_could_be_done():
    alternatives, paths = {"read anew": 800 * MS, "elsewhere": 30 * MS}, Paths()
    assert paths.whose("a") is None and [w.what for w in other_ways(alternatives, 10, None)] == ["read anew", "elsewhere"]
    for _ in range(3):
        paths.told("a", False)
        paths.told("b", True)
    assert paths.whose("a") == "holder" and [w.what for w in other_ways(alternatives, 10, "holder")] == ["read anew"]
    for _ in range(4):
        paths.told("b", False)
        paths.told("c", False)
    assert paths.whose("a") == "own" and [w.what for w in other_ways(alternatives, 10, "own")] == ["elsewhere"]
    assert paths.whose("never met") is None


def test_a_slow_move_is_left_only_for_something_much_better():
    assert not worth_leaving(500 * MS, 300 * MS) and worth_leaving(800 * MS, 300 * MS)
    assert not worth_leaving(90 * MS, 0)  # nearly there
