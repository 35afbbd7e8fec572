"""Tests of the session book without sockets: limits, fair scheduling, credit and resumption."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.sessions import Book, Limits, Tokens

S = 1_000_000


def make_book(fair=True, **limits):
    return Book(Limits(**limits), fair)


def sent(book, max_bytes=1 << 20, now=0):
    return [
        f"{session.id}/{stream.id} {item.first_seq}{'!' if item.final else ''}"
        for session, stream, item in book.turn(max_bytes, now)
    ]


def test_limits_of_sessions_and_requests():
    book = make_book(per_tenant=1, total=2, reqs=2)
    one = book.open(0, 0)[0]
    assert book.open(0, 0) == (None, 1_000_000) and book.open(0, 1)[0] and book.open(0, 2)[0] is None
    assert book.open_stream(one, "a", None)[0] and book.open_stream(one, "a", None)[1] == "duplicate"
    stream = book.open_stream(one, "b", None)[0]
    assert book.open_stream(one, "c", None)[1] == "too many"
    book.push(one, stream, b"x", 1, True)
    assert book.open_stream(one, "c", None)[0]  # ended streams do not count
    assert len(book.close(one)) == 2 and book.open(0, 0)[0] and book.bytes == 0


def test_sending_is_fair_among_sessions_and_streams():
    def play(fair):
        book = make_book(fair, reqs=300)
        big, small = book.open(0, 0)[0], book.open(0, 0)[0]
        for i in range(200):
            book.push(big, book.open_stream(big, f"s{i}", None)[0], b"e" * 1000)
        book.push(small, book.open_stream(small, "only", None)[0], b"e" * 1000)
        return sent(book).index("2/only 1")

    assert play(True) < 20 and play(False) == 200


def test_a_stream_without_credit_stops_alone():
    book = make_book(stall_us=5 * S)
    session = book.open(0, 0)[0]
    a, c = book.open_stream(session, "a", 2)[0], book.open_stream(session, "c", None)[0]
    for i in range(4):
        book.push(session, a, b"e", now_us=i)
        book.push(session, c, b"e", now_us=i)
    assert sent(book, now=5) == ["1/a 1", "1/c 1", "1/a 2", "1/c 2", "1/c 3", "1/c 4"]
    assert book.full(session, a) and not book.full(session, c)
    assert [stream.id for _, stream in book.starved(6 * S)] == ["a"] and not book.starved(S)
    book.grant_credit(session, "a", 1, 6)
    assert sent(book) == ["1/a 3"] and book.full(session, a)
    book.push(session, a, b"f", 1, True)  # a final answer needs no credit, but comes after the events
    book.grant_credit(session, "a", 9, 7)
    assert sent(book) == ["1/a 4", "1/a 5!"]


def test_resumed_session_gets_the_rest_once():
    book = make_book()
    session = book.open(0, 0)[0]
    stream = book.open_stream(session, "a", None)[0]
    for _ in range(5):
        book.push(session, stream, b"e")
    assert len(sent(book)) == 5
    book.connection_lost(session, S)
    book.push(session, stream, b"e")
    book.push(session, stream, b"f", 1, True)
    assert sent(book) == []  # there is no connection
    assert book.resume(session, {"a": 3}, 2 * S) == ({"a": 4}, [])
    assert sent(book) == ["1/a 4", "1/a 5", "1/a 6", "1/a 7!"]
    book.acknowledge(session, "a", 7)
    assert not session.streams and book.bytes == session.bytes == 0


def test_stream_with_dropped_items_ends_with_one_final_answer():
    book = make_book(session_bytes=100)
    session = book.open(0, 0)[0]
    lossy, other = book.open_stream(session, "a", None)[0], book.open_stream(session, "b", None)[0]
    for _ in range(6):
        book.push(session, lossy, b"e" * 30)
        sent(book)
    book.push(session, other, b"e")
    sent(book)
    assert session.bytes <= 100
    book.connection_lost(session, S)
    next_seqs, gaps = book.resume(session, {"a": 1, "b": 1}, 2 * S)
    assert gaps == [lossy] and next_seqs["b"] == 2
    assert sent(book) == ["1/a 2!"] and lossy.over
    book.push(session, lossy, b"e")  # after the final answer
    assert sent(book) == []


def test_unsent_items_are_never_dropped():
    book = make_book(session_bytes=100)
    session = book.open(0, 0)[0]
    stream = book.open_stream(session, "a", None)[0]
    book.set_writable(session, False)
    for _ in range(10):
        book.push(session, stream, b"e" * 30)
    assert book.full(session, stream) and len(stream.items) == 10
    book.set_writable(session, True)
    assert len(sent(book)) == 10 and not book.full(session, stream)


def test_disconnected_and_idle_sessions_expire():
    book = make_book(resume_us=5 * S, idle_us=9 * S)
    away, idle = book.open(0, 0)[0], book.open(0, 0)[0]
    stream = book.open_stream(idle, "a", None)[0]
    book.connection_lost(away, S)
    assert book.expired(5 * S) == [] and book.expired(6 * S) == [(away, "away")]
    book.close(away)
    assert book.expired(10 * S) == []  # a request is open
    book.push(idle, stream, b"f", 1, True)
    assert book.expired(10 * S) == [(idle, "idle")]


def test_tokens():
    from cryptography.fernet import Fernet

    old, new = Fernet.generate_key(), Fernet.generate_key()
    token = Tokens([old], "life", 60).make(7, 1, 1000)
    assert Tokens([old], "life", 60).read(token, 1, 1030) == ("good", 7)
    assert Tokens([new, old], "life", 60).read(token, 1, 1030) == ("good", 7)  # during a key rotation
    assert Tokens([new], "life", 60).read(token, 1, 1030) == ("forged", None)
    assert Tokens([old], "life", 60).read(token, 1, 1061) == ("forged", None)
    assert Tokens([old], "life", 60).read(token, 2, 1030) == ("other tenant", None)
    assert Tokens([old], "next", 60).read(token, 1, 1030) == ("other gateway", None)
    for bad in ("", "x", token[:-2], token[:20] + ("A" if token[20] != "A" else "B") + token[21:], "ä"):
        assert Tokens([old], "life", 60).read(bad, 1, 1030) == ("forged", None)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "turn", "drop", "seen", "credit", "final"]), st.integers(0, 2), st.integers(1, 40)
    ),
    max_size=80,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(STEPS, st.booleans(), st.sampled_from([60, 100000]))
def test_resumed_streams_are_complete_or_report_the_loss(steps, with_credit, room):
    """A client with three streams. Each lost connection loses a part of the items in transit."""
    book = make_book(session_bytes=room, reqs=9)
    session = book.open(0, 0)[0]
    streams = [book.open_stream(session, str(i), 3 if with_credit else None)[0] for i in range(3)]
    pushed = {stream.id: 0 for stream in streams}
    got, ended, in_transit = {stream.id: [] for stream in streams}, {}, []

    def receive(items):
        for stream, item in items:
            for k in range(item.count):
                assert item.first_seq + k == len(got[stream.id]) + 1, "a gap or a repeat"
                got[stream.id].append(item.data)
            if item.final:
                assert stream.id not in ended
                ended[stream.id] = item.data

    def turn(max_bytes):
        for _, stream, item in book.turn(max_bytes):
            if not item.final and stream.credit is not None:
                assert stream.credit >= 0
            in_transit.append((stream, item))

    for step, index, size in steps:
        stream = streams[index]
        if step == "push" and not stream.over:
            pushed[stream.id] += 1
            book.push(session, stream, b"%d." % pushed[stream.id] + b"e" * size)
        elif step == "final" and not stream.over:
            book.push(session, stream, b"final", 1, True)
        elif step == "turn":
            turn(size * 10)
            receive(in_transit)
            in_transit.clear()
        elif step == "drop":
            turn(size * 10)
            receive(in_transit[: size % (len(in_transit) + 1)])
            in_transit.clear()
            book.connection_lost(session, 0)
            book.resume(session, {rid: len(items) for rid, items in got.items()}, 0)
        elif step == "seen":
            book.acknowledge(session, stream.id, len(got[stream.id]))
        elif step == "credit":
            book.grant_credit(session, stream.id, size, 0)
        assert session.bytes == book.bytes == sum(len(item.data) for kept in session.streams.values() for item in kept.items)
    for stream in streams:
        if not stream.over:
            book.push(session, stream, b"final", 1, True)
        book.grant_credit(session, stream.id, 1000, 0)
    turn(1 << 30)
    receive(in_transit)
    for stream in streams:
        assert stream.id in ended  # exactly one final answer
        events = [data for data in got[stream.id] if data != ended[stream.id]]
        assert events == [b"%d." % (i + 1) + events[i].split(b".", 1)[1] for i in range(len(events))]
        if ended[stream.id] == b"final":
            assert len(events) == pushed[stream.id]
