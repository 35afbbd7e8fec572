"""Decisions on idempotency keys: single cases, and the property that an effect is never allowed to run twice."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from lapiswing.admission import Repeats

MS = 1000
WINDOW_US = 5000 * MS
# What is written in time may arrive later than the gateway thinks by as much as this: a process that is held up, the network.
DELAY_US = 200 * MS


def look_up(repeats, at_ms, key="k", body=b"a", wide="boxes"):
    return repeats.look_up(at_ms * MS, key, body, WINDOW_US, wide)


def test_each_result():
    repeats = Repeats(10, 1000)
    what, entry, latest = look_up(repeats, 0)
    assert (what, latest) == ("new", None)
    assert look_up(repeats, 1)[0] == "join" and look_up(repeats, 1, body=b"b")[0] == "conflict"
    repeats.mark_sent(entry, 2 * MS)
    repeats.mark_done(entry, 10 * MS, "answer", 100)
    assert look_up(repeats, 20)[:2] == ("replay", entry)
    assert look_up(repeats, 5011)[0] == "new"  # the servers have forgotten the key, and so has the gateway


def test_a_retry_in_doubt_is_limited_to_the_servers_window():
    repeats = Repeats(10, 1000)
    entry = look_up(repeats, 0)[1]
    repeats.mark_sent(entry, 3 * MS)
    repeats.mark_in_doubt(entry, 900 * MS)
    what, again, latest = look_up(repeats, 1000)
    assert (what, latest) == ("new", 3 * MS + WINDOW_US - DELAY_US)
    repeats.mark_never_ran(again)  # rejected, but the first call may have run all the same
    assert look_up(repeats, 4000)[0] == "new"
    repeats.mark_in_doubt(again, 4100 * MS)
    # From 4803 ms on an attempt could arrive after the window.
    assert [look_up(repeats, at_ms)[0] for at_ms in (4803, 5100, 59000)] == ["doubt"] * 3


def test_doubt_where_not_all_servers_drop_repeats():
    repeats = Repeats(10, 1000)
    entry = look_up(repeats, 0, wide="")[1]
    repeats.mark_in_doubt(entry, 5 * MS)  # nothing was sent that could have run
    entry = look_up(repeats, 6, wide="")[1]
    assert entry.state == "running"
    repeats.mark_sent(entry, 7 * MS)
    repeats.mark_in_doubt(entry, 8 * MS)
    assert look_up(repeats, 9, wide="")[0] == "doubt"


def test_only_keys_that_have_ended_are_dropped_for_room():
    repeats = Repeats(2, 1000)
    first, second = look_up(repeats, 0, "a")[1], look_up(repeats, 0, "b")[1]
    assert look_up(repeats, 1, "c")[0] == "full"
    repeats.mark_sent(first, MS)
    repeats.mark_in_doubt(first, MS)
    repeats.mark_done(second, 3 * MS, "answer", 10)
    assert look_up(repeats, 4, "c")[0] == "full"
    assert look_up(repeats, 5004, "c")[0] == "new" and "a" in repeats.entries and "b" not in repeats.entries


def test_answers_stay_within_the_limit_on_bytes():
    repeats = Repeats(100, 1000)
    for i in range(20):
        entry = look_up(repeats, i, f"k{i}", wide="")[1]
        repeats.mark_sent(entry, i * MS)
        repeats.mark_done(entry, i * MS, "answer", 300)
        assert repeats.bytes <= 1000
    assert look_up(repeats, 30, "k0", wide="")[0] == "doubt"  # it did run, but its answer was dropped
    assert look_up(repeats, 30, "k19", wide="")[0] == "replay"


STEPS = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["ask", "sent", "done", "doubt", "rejected"]), st.integers(1, 4_000_000)),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS, st.sampled_from(["boxes", ""]))
@example([("a", "ask", 1), ("a", "sent", 1), ("a", "doubt", 1), ("a", "ask", 1)], "boxes")
def test_a_call_that_may_have_run_runs_again_only_within_the_servers_window(steps, wide):
    repeats, now, ran, entries, until = Repeats(2, 500), 0, {}, {}, {}
    for key, what, past in steps:
        now += past
        entry = entries.get(key)
        if what == "ask":
            result, entry, latest = repeats.look_up(now, key, b"", WINDOW_US, wide)
            if result == "new":
                if key in ran and entry.sent_us is not None:
                    assert wide and now < latest == ran[key] + WINDOW_US - DELAY_US
                else:
                    assert key not in ran or now >= ran[key] + WINDOW_US
                    ran.pop(key, None)
                entries[key], until[key] = entry, latest
        elif entry is not None and repeats.entries.get(key) is entry and entry.state == "running":
            if what == "sent" and (until[key] is None or now < until[key]):
                ran.setdefault(key, now)
                repeats.mark_sent(entry, now)
            elif what == "done" and key in ran:
                repeats.mark_done(entry, now, "answer", 200)
            elif what == "doubt":
                repeats.mark_in_doubt(entry, now)
            elif what == "rejected":
                repeats.mark_never_ran(entry)
        assert repeats.bytes == sum(e.size for e in repeats.entries.values()) <= 500
        assert len(repeats.entries) <= 2
