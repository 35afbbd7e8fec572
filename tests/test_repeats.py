"""The decisions on idempotency keys, as a trace, and as a property: an effect is never allowed twice."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.admission import Repeats

MS = 1000
W = 5000 * MS


def ask(repeats, at, key="k", body=b"a", wide="boxes"):
    return repeats.look_up(at * MS, key, body, W, wide)


def test_each_state_by_name():
    repeats = Repeats(10, 1000)
    what, entry, latest = ask(repeats, 0)
    assert (what, latest) == ("new", None)
    assert ask(repeats, 1)[0] == "join" and ask(repeats, 1, body=b"b")[0] == "conflict"
    repeats.mark_sent(entry, 2 * MS)
    repeats.mark_done(entry, 10 * MS, "answer", 100)
    assert ask(repeats, 20)[:2] == ("replay", entry)
    assert ask(repeats, 5011)[0] == "new"  # the boxes have forgotten it, and so has the gateway


def test_a_doubt_bounds_the_next_try_by_the_boxes_memory_and_outlives_it():
    repeats = Repeats(10, 1000)
    entry = ask(repeats, 0)[1]
    repeats.mark_sent(entry, 3 * MS)
    repeats.mark_in_doubt(entry, 900 * MS)
    what, again, latest = ask(repeats, 1000)
    assert (what, latest) == ("new", 3 * MS + W)
    repeats.mark_never_ran(again)  # pushed back, but the first try may have run all the same
    assert ask(repeats, 4000)[0] == "new"
    repeats.mark_in_doubt(again, 4100 * MS)
    assert ask(repeats, 5100)[0] == "doubt" and ask(repeats, 59000)[0] == "doubt"


def test_doubt_where_not_all_boxes_drop_repeats():
    repeats = Repeats(10, 1000)
    entry = ask(repeats, 0, wide="")[1]
    repeats.mark_in_doubt(entry, 5 * MS)  # nothing was sent that could have run
    entry = ask(repeats, 6, wide="")[1]
    assert entry.state == "running"
    repeats.mark_sent(entry, 7 * MS)
    repeats.mark_in_doubt(entry, 8 * MS)
    assert ask(repeats, 9, wide="")[0] == "doubt"


def test_room_is_made_only_from_what_is_over():
    repeats = Repeats(2, 1000)
    first, second = ask(repeats, 0, "a")[1], ask(repeats, 0, "b")[1]
    assert ask(repeats, 1, "c")[0] == "full"
    repeats.mark_sent(first, MS)
    repeats.mark_in_doubt(first, MS)
    repeats.mark_done(second, 3 * MS, "answer", 10)
    assert ask(repeats, 4, "c")[0] == "full"
    assert ask(repeats, 5004, "c")[0] == "new" and "a" in repeats.entries and "b" not in repeats.entries


def test_answers_stay_within_their_bytes():
    repeats = Repeats(100, 1000)
    for i in range(20):
        entry = ask(repeats, i, f"k{i}", wide="")[1]
        repeats.mark_sent(entry, i * MS)
        repeats.mark_done(entry, i * MS, "answer", 300)
        assert repeats.bytes <= 1000
    assert ask(repeats, 30, "k0", wide="")[0] == "doubt"  # it did run; its answer is gone
    assert ask(repeats, 30, "k19", wide="")[0] == "replay"


STEPS = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["ask", "sent", "done", "doubt", "back"]), st.integers(1, 4_000_000)),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS, st.sampled_from(["boxes", ""]))
def test_a_key_that_may_have_run_runs_again_only_within_the_boxes_memory(steps, wide):
    repeats, now, ran, entries, until = Repeats(2, 500), 0, {}, {}, {}
    for key, what, past in steps:
        now += past
        entry = entries.get(key)
        if what == "ask":
            said, entry, latest = repeats.look_up(now, key, b"", W, wide)
            if said == "new":
                if key in ran and entry.sent_us is not None:
                    assert wide and latest == ran[key] + W > now
                else:
                    assert key not in ran or now >= ran[key] + W
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
            elif what == "back":
                repeats.mark_never_ran(entry)
        assert repeats.bytes == sum(e.size for e in repeats.entries.values()) <= 500
        assert len(repeats.entries) <= 2
