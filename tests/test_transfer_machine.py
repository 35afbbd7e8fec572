"""The state machines of transfers and the decisions about them, without I/O, with a model check over all interleavings."""

from collections import deque

import pytest

from lapiswing.transfer import decide
from lapiswing.transfer.decide import (
    Move,
    PathHealth,
    RecoveryOption,
    Window,
    admitted_moves,
    caller_options,
    choose_option,
    order_moves,
    worth_switching,
)
from lapiswing.transfer.frames import BadFrame, Manifest, manifest_of, read_control, read_header
from lapiswing.transfer.machine import Receiver, Sender

MS = 1000


def state(chunks):
    return manifest_of("s", bytes(range(1, chunks * 2 + 1)), 2)


def test_model_check_of_credit_and_resumption():
    """All interleavings of requests, sends, arrivals (intact or corrupt) and connection losses, for a state of four chunks, two
    losses and one corrupt chunk: no wrong byte is accepted, credit is conserved, and completion always stays reachable."""
    manifest = state(4)
    content = bytes(range(1, 9))

    def start():
        return (bytes(4), frozenset(), (), (), 0, 2, 1)  # have, out, sender's queue, wire, credit, losses, damages

    def build(have, out):
        receiver = Receiver("s", lambda m: bytearray(m.length))
        receiver.accept_manifest(manifest)
        for i in range(4):
            if have[i]:
                at, size = manifest.span(i)
                receiver.memory[at : at + size] = content[at : at + size]
                receiver.received[i], receiver.missing = 1, receiver.missing - 1
        receiver.requested = dict.fromkeys(out, 0)
        receiver.next_index = 0
        return receiver

    def moves(node):
        have, out, queue, wire, credit, losses, damages = node
        receiver = build(have, out)
        for most in (1, 2):
            receiver2 = build(have, out)
            asked = [i for a, b in receiver2.request_chunks(most, 0) for i in range(a, b)]
            if asked:
                sender = Sender()
                sender.open(1, None, 0)
                outgoing = sender.transfers[1]
                outgoing.queue, outgoing.credit, outgoing.granted = deque(queue), credit, credit
                assert sender.add_request(1, [(i, i + 1) for i in asked], len(asked), 4)
                assert outgoing.granted == outgoing.sent + outgoing.credit
                yield (have, frozenset(receiver2.requested), tuple(outgoing.queue), wire, outgoing.credit, losses, damages)
        if queue and credit:
            sender = Sender()
            sender.open(1, None, 0)
            outgoing = sender.transfers[1]
            outgoing.queue, outgoing.credit = deque(queue), credit
            _, _, index = sender.next_chunk()
            yield (have, out, tuple(outgoing.queue), (*wire, index), outgoing.credit, losses, damages)
        if wire:
            for corrupt in (False, True) if damages else (False,):
                receiver = build(have, out)
                index = wire[0]
                place = receiver.buffer_for(index)
                at, size = manifest.span(index)
                if place is not None:
                    place[:] = b"\xff\xff" if corrupt else content[at : at + size]
                    assert receiver.chunk_received(index, size) == (
                        "corrupt" if corrupt else "whole" if not receiver.missing else "good"
                    )
                for i in range(4):
                    if receiver.received[i]:
                        a, n = manifest.span(i)
                        assert bytes(receiver.memory[a : a + n]) == content[a : a + n]
                yield (
                    bytes(receiver.received),
                    frozenset(receiver.requested),
                    queue,
                    wire[1:],
                    credit,
                    losses,
                    damages - corrupt,
                )
        if losses:
            yield (have, frozenset(), (), (), 0, losses - 1, damages)

    seen, pending, edges = {start()}, deque([start()]), {}
    while pending:
        node = pending.popleft()
        edges[node] = set(moves(node))
        # Every requested chunk is queued at the sender with credit or on the wire, so that the receiver never waits in vain.
        assert node[1] <= set(node[2]) | set(node[3]) and node[4] >= len(node[2])
        for other in edges[node] - seen:
            seen.add(other)
            pending.append(other)
    ends = {n for n in seen if n[0] == b"\1" * 4}
    back = {}
    for node, others in edges.items():
        for other in others:
            back.setdefault(other, []).append(node)
    reach, pending = set(ends), deque(ends)
    while pending:
        for node in back.get(pending.popleft(), ()):
            if node not in reach:
                reach.add(node)
                pending.append(node)
    print(f"{len(seen)} states, {sum(map(len, edges.values()))} steps, {len(ends)} ends")
    assert reach == seen and ends and len(seen) > 500


def test_resumption_by_root():
    receiver = Receiver("s", lambda m: bytearray(m.length))
    assert receiver.accept_manifest(state(4)) == "new"
    receiver.request_chunks(2, 0)
    receiver.buffer_for(0)[:] = bytes([1, 2])
    assert receiver.chunk_received(0, 2) == "good"
    assert receiver.accept_manifest(state(4)) == "same" and receiver.missing == 3 and receiver.request_chunks(9, 0) == [(1, 4)]
    assert receiver.accept_manifest(state(5)) == "other" and receiver.missing == 5
    full = Receiver("s", lambda n: None)
    assert full.accept_manifest(state(4)) == "no room" and full.manifest is None


def test_priorities_and_turns_of_a_sender():
    sender = Sender(max_transfers=3)
    for t, p in ((1, 5), (2, 5), (3, 1)):
        assert sender.open(t, f"s{t}", p) and sender.add_request(t, [(0, 2)], 2, 9)
    assert not sender.open(4, "s4", 1)
    assert [sender.next_chunk()[0] for _ in range(6)] == [3, 3, 1, 2, 1, 2] and sender.next_chunk() is None
    assert not sender.add_request(1, [(8, 10)], 1, 9) and sender.add_request(77, [(0, 1)], 1, 9)


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
    window = Window()
    for _ in range(150):
        window.chunk_verified(10 * MS, 1000, window.allowed())
    assert window.allowed() > 20
    large = window.allowed()
    for _ in range(49):
        window.chunk_verified(60 * MS, 1000, window.allowed())  # a standing queue
    assert window.allowed() < large / 1.5
    for _ in range(800):
        window.chunk_verified(60 * MS, 1000, window.allowed())  # the path itself has become slower, which the window adapts to
    assert window.allowed() > 20
    window.on_connection_lost()
    assert window.stall_timeout_us() >= decide.MIN_STALL_US


def test_a_queue_of_its_own_making_is_not_taken_for_the_path():
    """On a link of 10 ms per chunk and 5 ms of delay, three chunks fill the link. Guards against a window that grows without
    limit because each measurement of the minimum delay includes its own queue."""
    window, sizes = Window(), []
    for _ in range(5000):
        window.chunk_verified(5 * MS + window.allowed() * 10 * MS, 1 << 20, window.allowed())
        sizes.append(window.allowed())
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
    assert order_moves(moves, now, rate) == ["most urgent", "urgent", "small, time enough", "big, time enough", "lost"]
    assert [admitted_moves(running, 5, True) for running in range(4)] == [2, 1, 0, 0] and admitted_moves(7, 5, False) == 5


def test_options_after_a_failed_move():
    options = [
        RecoveryOption("resume", 10_000_000, 10e6, 2 * MS, 0, "a"),
        RecoveryOption("other holder", 10_000_000, 40e6, 5 * MS, 0, "b"),
        RecoveryOption("read anew", 0, None, 800 * MS),
    ]
    assert choose_option(options, 0, 5_000 * MS).holder == "b"
    assert choose_option([options[0], options[2]], 0, 5_000 * MS).what == "read anew"
    # Near the end, resuming is faster than any other option, until it has failed too often.
    nearly_complete = RecoveryOption("resume", 100_000, 10e6, 2 * MS, 1, "a")
    assert choose_option([nearly_complete, *options[1:]], 0, 5_000 * MS) is nearly_complete
    assert choose_option([nearly_complete._replace(fails=decide.MAX_FAILURES), options[2]], 0, 5_000 * MS).what == "read anew"
    assert choose_option(options, 0, 100 * MS) is None


def test_the_faulty_side_decides_the_options_of_the_caller():
    alternatives, paths = {"read anew": 800 * MS, "elsewhere": 30 * MS}, PathHealth()
    assert paths.faulty_side("a") is None and [option.what for option in caller_options(alternatives, 10, None)] == [
        "read anew",
        "elsewhere",
    ]
    for _ in range(3):
        paths.record("a", False)
        paths.record("b", True)
    assert paths.faulty_side("a") == "holder" and [option.what for option in caller_options(alternatives, 10, "holder")] == [
        "read anew"
    ]
    for _ in range(4):
        paths.record("b", False)
        paths.record("c", False)
    assert paths.faulty_side("a") == "own" and [option.what for option in caller_options(alternatives, 10, "own")] == [
        "elsewhere"
    ]
    assert paths.faulty_side("never met") is None


def test_a_slow_move_is_left_only_for_something_much_better():
    assert not worth_switching(500 * MS, 300 * MS) and worth_switching(800 * MS, 300 * MS)
    assert not worth_switching(90 * MS, 0)  # nearly complete
