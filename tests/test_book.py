"""Decisions on sessions: limits, turns, credit, and what a returning client gets. No sockets."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.sessions import Book, Limits, Tokens

S = 1_000_000


def book(fair=True, **limits):
    return Book(Limits(**limits), fair)


def sent(book, most=1 << 20, now=0):
    return [f"{s.id}/{x.id} {i.first_seq}{'!' if i.final else ''}" for s, x, i in book.turn(most, now)]


def test_limits_of_sessions_and_reqs():
    b = book(per_tenant=1, total=2, reqs=2)
    one = b.open(0, 0)[0]
    assert b.open(0, 0) == (None, 1_000_000) and b.open(0, 1)[0] and b.open(0, 2)[0] is None
    assert b.open_stream(one, "a", None)[0] and b.open_stream(one, "a", None)[1] == "duplicate"
    stream = b.open_stream(one, "b", None)[0]
    assert b.open_stream(one, "c", None)[1] == "too many"
    b.push(one, stream, b"x", 1, True)
    assert b.open_stream(one, "c", None)[0]  # what is over does not count
    assert len(b.close(one)) == 2 and b.open(0, 0)[0] and b.bytes == 0


def test_turns_are_fair_among_sessions_and_streams():
    def play(fair):
        b = book(fair, reqs=300)
        big, small = b.open(0, 0)[0], b.open(0, 0)[0]
        for i in range(200):
            b.push(big, b.open_stream(big, f"s{i}", None)[0], b"e" * 1000)
        b.push(small, b.open_stream(small, "only", None)[0], b"e" * 1000)
        return sent(b).index("2/only 1")

    assert play(True) < 20 and play(False) == 200


def test_a_stream_without_credit_stops_alone():
    b = book(stall_us=5 * S)
    s = b.open(0, 0)[0]
    a, c = b.open_stream(s, "a", 2)[0], b.open_stream(s, "c", None)[0]
    for i in range(4):
        b.push(s, a, b"e", now_us=i)
        b.push(s, c, b"e", now_us=i)
    assert sent(b, now=5) == ["1/a 1", "1/c 1", "1/a 2", "1/c 2", "1/c 3", "1/c 4"]
    assert b.full(s, a) and not b.full(s, c)
    assert [x.id for _, x in b.starved(6 * S)] == ["a"] and not b.starved(S)
    b.grant_credit(s, "a", 1, 6)
    assert sent(b) == ["1/a 3"] and b.full(s, a)
    b.push(s, a, b"f", 1, True)  # a final answer needs no credit, but comes behind the events
    b.grant_credit(s, "a", 9, 7)
    assert sent(b) == ["1/a 4", "1/a 5!"]


def test_coming_back_gets_the_rest_once():
    b = book()
    s = b.open(0, 0)[0]
    x = b.open_stream(s, "a", None)[0]
    for _ in range(5):
        b.push(s, x, b"e")
    assert len(sent(b)) == 5
    b.connection_lost(s, S)
    b.push(s, x, b"e")
    b.push(s, x, b"f", 1, True)
    assert sent(b) == []  # nobody to send to
    assert b.resume(s, {"a": 3}, 2 * S) == ({"a": 4}, [])
    assert sent(b) == ["1/a 4", "1/a 5", "1/a 6", "1/a 7!"]
    b.acknowledge(s, "a", 7)
    assert not s.streams and b.bytes == s.bytes == 0


def test_what_fell_out_of_the_buffer_ends_with_one_answer():
    b = book(session_bytes=100)
    s = b.open(0, 0)[0]
    x, y = b.open_stream(s, "a", None)[0], b.open_stream(s, "b", None)[0]
    for _ in range(6):
        b.push(s, x, b"e" * 30)
        sent(b)
    b.push(s, y, b"e")
    sent(b)
    assert s.bytes <= 100
    b.connection_lost(s, S)
    following, gaps = b.resume(s, {"a": 1, "b": 1}, 2 * S)
    assert gaps == [x] and following["b"] == 2
    assert sent(b) == ["1/a 2!"] and x.over
    b.push(s, x, b"e")  # comes too late
    assert sent(b) == []


def test_waiting_items_are_never_dropped():
    b = book(session_bytes=100)
    s = b.open(0, 0)[0]
    x = b.open_stream(s, "a", None)[0]
    b.set_writable(s, False)
    for _ in range(10):
        b.push(s, x, b"e" * 30)
    assert b.full(s, x) and len(x.items) == 10
    b.set_writable(s, True)
    assert len(sent(b)) == 10 and not b.full(s, x)


def test_away_and_idle():
    b = book(resume_us=5 * S, idle_us=9 * S)
    s, t = b.open(0, 0)[0], b.open(0, 0)[0]
    x = b.open_stream(t, "a", None)[0]
    b.connection_lost(s, S)
    assert b.expired(5 * S) == [] and b.expired(6 * S) == [(s, "away")]
    b.close(s)
    assert b.expired(10 * S) == []  # a req runs
    b.push(t, x, b"f", 1, True)
    assert b.expired(10 * S) == [(t, "idle")]


def test_tokens():
    from cryptography.fernet import Fernet

    old, new = Fernet.generate_key(), Fernet.generate_key()
    token = Tokens([old], "life", 60).make(7, 1, 1000)
    assert Tokens([old], "life", 60).read(token, 1, 1030) == ("good", 7)
    assert Tokens([new, old], "life", 60).read(token, 1, 1030) == ("good", 7)  # while a key is changed
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
def test_whatever_is_cut_the_joined_view_is_the_uncut_stream_or_says_that_it_is_not(steps, with_credit, room):
    """A client with three streams; each cut loses a part of what was on its way."""
    b = book(session_bytes=room, reqs=9)
    s = b.open(0, 0)[0]
    streams = [b.open_stream(s, str(i), 3 if with_credit else None)[0] for i in range(3)]
    made = {x.id: 0 for x in streams}
    got, ended, way = {x.id: [] for x in streams}, {}, []

    def receive(items):
        for x, item in items:
            for k in range(item.count):
                assert item.first_seq + k == len(got[x.id]) + 1, "a gap or a repeat"
                got[x.id].append(item.data)
            if item.final:
                assert x.id not in ended
                ended[x.id] = item.data

    def turn(most):
        for _, x, item in b.turn(most):
            if not item.final and x.credit is not None:
                assert x.credit >= 0
            way.append((x, item))

    for what, n, size in steps:
        x = streams[n]
        if what == "push" and not x.over:
            made[x.id] += 1
            b.push(s, x, b"%d." % made[x.id] + b"e" * size)
        elif what == "final" and not x.over:
            b.push(s, x, b"final", 1, True)
        elif what == "turn":
            turn(size * 10)
            receive(way)
            way.clear()
        elif what == "drop":
            turn(size * 10)
            receive(way[: size % (len(way) + 1)])
            way.clear()
            b.connection_lost(s, 0)
            b.resume(s, {k: len(v) for k, v in got.items()}, 0)
        elif what == "seen":
            b.acknowledge(s, x.id, len(got[x.id]))
        elif what == "credit":
            b.grant_credit(s, x.id, size, 0)
        assert s.bytes == b.bytes == sum(len(i.data) for t in s.streams.values() for i in t.items)
    for x in streams:
        if not x.over:
            b.push(s, x, b"final", 1, True)
        b.grant_credit(s, x.id, 1000, 0)
    turn(1 << 30)
    receive(way)
    for x in streams:
        assert x.id in ended  # exactly one final answer
        events = [d for d in got[x.id] if d != ended[x.id]]
        assert events == [b"%d." % (i + 1) + events[i].split(b".", 1)[1] for i in range(len(events))]
        if ended[x.id] == b"final":
            assert len(events) == made[x.id]
