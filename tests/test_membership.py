"""The merge of all sources of servers: precedence, order, suspicion, floods and flapping; no I/O and no clock."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.interface import Server
from lapiswing.membership import Membership
from lapiswing.membership.merge import ADMIT_BURST, Limits

S = 1_000_000


def row(name, mode="ready", kind=0, zone=0, start=0, size=1.0):
    return Server(name, zone, zone, kind, size, start, mode)


def modes(membership):
    return {n: r.mode for n, r in membership.published.items()}


# What the list, the records, the server and the operator say -> mode and reason.
TABLE = [
    ("ready", "ready", "", "", "ready", None),
    ("ready", "draining", "", "", "draining", "sd"),
    ("draining", "ready", "", "", "draining", "list"),
    ("gone", "ready", "", "", "gone", "list"),
    ("gone", "draining", "", "", "gone", "list"),
    ("", "ready", "", "", "ready", None),
    ("", "draining", "", "", "draining", "sd"),
    ("ready", "", "", "", "ready", None),
    ("draining", "", "", "", "draining", "list"),
    ("ready", "ready", "box", "", "draining", "box"),
    ("", "ready", "box", "", "draining", "box"),
    ("ready", "ready", "", "op", "draining", "operator"),
    ("", "ready", "", "op", "draining", "operator"),
    ("ready", "draining", "box", "op", "draining", "operator"),
    ("gone", "ready", "box", "op", "gone", "list"),
    ("draining", "ready", "box", "", "draining", "box"),
    ("draining", "ready", "", "op", "draining", "operator"),
]


@pytest.mark.parametrize("listed,recorded,reported,operator,mode,why", TABLE)
def test_precedence_for_every_pair_of_sources(listed, recorded, reported, operator, mode, why):
    membership = Membership()
    membership.update_list([row("x", listed)] if listed else [row("other")], 0)
    if recorded:
        membership.update_records("sd", [row("x", recorded)], 1)
    if reported:
        membership.set_reported_draining("x", True, 2)
    if operator:
        membership.set_operator_draining("x", True, 3)
    assert (membership.published["x"].mode, membership.reason_of("x")) == (mode, why)


def test_the_list_takes_precedence_over_records_and_the_latest_start_counts():
    membership = Membership()
    membership.update_list([row("x", kind=1, zone=1, start=5)], 0)
    membership.update_records("sd", [row("x", kind=2, zone=2, start=9, size=3.0), row("y", kind=2)], 1)
    assert membership.published["x"] == row("x", kind=1, zone=1, start=9) and membership.published["y"].kind == 2


def test_a_server_whose_record_vanishes_drains_at_once_is_gone_later_and_can_return():
    membership = Membership()
    membership.update_list([], 0)
    membership.update_records("sd", [row(n) for n in "abcdefg"], 0)
    membership.update_records("sd", [row(n) for n in "abcdef"], 5 * S)
    assert membership.published["g"].mode == "draining" and "no longer names" in membership.reason_of("g")
    assert membership.tick(14 * S) is None and membership.published["g"].mode == "draining"
    event = membership.tick(15 * S)
    assert event[1] == "replace" and "g" not in membership.published
    membership.update_records("sd", [row(n) for n in "abcdefg"], 16 * S)
    assert membership.published["g"].mode == "ready"


def test_a_source_that_loses_most_servers_at_once_is_suspected_for_a_limited_time():
    membership = Membership()
    membership.update_list([], 0)
    membership.update_records("sd", [row(n) for n in "abcdefgh"], 0)
    assert membership.update_records("sd", [row("a")], 5 * S) is None and membership.suspected_sources() == ["sd"]
    assert set(modes(membership).values()) == {"ready"} and "suspected" in membership.reason_of("b")
    # What the source still says counts all the same: the drain takes effect at once.
    membership.update_records("sd", [row("a", "draining")], 6 * S)
    assert membership.published["a"].mode == "draining" and membership.published["b"].mode == "ready"
    membership.tick(34 * S)
    assert membership.published["b"].mode == "ready"
    membership.tick(36 * S)
    assert set(modes(membership)) == {"a"} and membership.suspected_sources() == []
    second = Membership()
    second.update_list([], 0)
    second.update_records("sd", [row(n) for n in "abcdefgh"], 0)
    second.update_records("sd", [], 5 * S)
    second.update_records("sd", [row(n) for n in "abcdefg"], 9 * S)  # most are back: no longer suspected
    assert second.suspected_sources() == [] and second.published["h"].mode == "draining"


def test_gradual_losses_are_suspected_too():
    membership = Membership()
    membership.update_list([], 0)
    names = "abcdefgh"
    for i in range(len(names)):
        membership.update_records("sd", [row(n) for n in names[i:]], i * S)
    assert membership.suspected_sources() == ["sd"] and sum(v == "ready" for v in modes(membership).values()) >= 4


def test_a_draining_server_keeps_draining_while_its_source_is_suspected():
    membership = Membership()
    membership.update_list([], 0)
    membership.update_records("sd", [row(n, "draining" if n == "a" else "ready") for n in "abcdefgh"], 0)
    membership.update_records("sd", [], 5 * S)
    assert membership.published["a"].mode == "draining" and membership.published["b"].mode == "ready"


def test_a_later_start_ends_the_servers_own_drain_but_not_the_operators():
    membership = Membership()
    membership.update_list([], 0)
    membership.update_records("sd", [row("x", start=5)], 0)
    membership.set_reported_draining("x", True, 1)
    membership.update_records("sd", [row("x", start=6)], 2)
    assert membership.published["x"] == row("x", start=6)
    membership.set_operator_draining("x", True, 3)
    membership.update_records("sd", [row("x", start=7)], 4)
    membership.update_records("sd", [row("y")], 5)
    membership.update_records("sd", [row("x", start=8), row("y")], 6)
    assert membership.published["x"].mode == "draining" and membership.reason_of("x") == "operator"


def test_a_flapping_server_is_held_back_for_a_while():
    membership = Membership()
    membership.update_list([], 0)
    rest = [row(n) for n in "abcdef"]
    now = 0
    membership.update_records("sd", [*rest, row("x")], now)
    for _ in range(4):
        now += S
        membership.update_records("sd", rest, now)
        now += S
        membership.update_records("sd", [*rest, row("x")], now)
    assert membership.published["x"].mode == "draining" and membership.reason_of("x") == "flapping"
    membership.tick(now + 59 * S)
    assert membership.published["x"].mode == "draining"
    membership.tick(now + 61 * S)
    assert membership.published["x"].mode == "ready"


def test_a_server_does_not_change_its_kind_while_it_runs():
    membership = Membership()
    membership.update_list([], 0)
    membership.update_records("sd", [row("x", kind=2, start=5)], 0)
    assert (
        membership.update_records("sd", [row("x", kind=0, start=5)], 1) is None and membership.counts["kinds not believed"] == 1
    )
    membership.update_records("sd", [row("x", kind=0, start=6)], 2)
    assert membership.published["x"].kind == 0


def test_a_flood_is_admitted_gradually_alternating_between_kinds_and_zones():
    membership = Membership()
    membership.update_list([row("listed")], 0)
    flood = [row(f"b{i:04d}", kind=0 if i < 1900 else 1, zone=i % 2) for i in range(2000)]
    events = [membership.update_records("sd", flood, 0)]
    first = [r for n, r in membership.published.items() if n != "listed"]
    assert len(first) == ADMIT_BURST and {(r.kind, r.zone) for r in first} == {(k, z) for k in (0, 1) for z in (0, 1)}
    now = 0
    while len(membership.published) < 2000 and now < 100 * S:
        now += 200_000
        events.append(membership.tick(now))
    published = [e for e in events if e]
    assert len(membership.published) == 2000 and 40 * S < now < 60 * S and len(published) <= 260  # few events, in batches
    assert max(len(e[2]) for e in published) <= 2000 and membership.tick(now + S) is None  # the limit keeps the last one out


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["list", "sd", "srv", "box", "op"]),
            st.integers(0, 4),
            st.sampled_from(["ready", "draining", "", "gone"]),
        ),
        max_size=12,
    ),
    st.integers(0, 1 << 20),
)
def test_the_last_statements_count_in_any_order_of_sources_and_no_drain_is_lost(statements, seed):
    """The last statement of each source about each server, applied in two orders, gives the same result."""
    last = {}
    for source, number, mode in statements:
        last[source, f"b{number}"] = mode
    for i in range(5):
        last["list", "always"] = last["sd", "always"] = "ready"

    def apply(order):
        membership = Membership(Limits(suspicion_us=0, gone_us=0))
        names = {b for _, b in last}
        membership.update_list(
            [row(b) for b in sorted(names)], 0
        )  # known from the start, so that reports of servers and operators count
        for source in order:
            if source == "list":
                membership.update_list([row(b, last["list", b]) for b in sorted(names) if last.get(("list", b))], 1)
            elif source in ("sd", "srv"):
                membership.update_records(
                    source, [row(b, last[source, b]) for b in sorted(names) if last.get((source, b)) in ("ready", "draining")], 1
                )
        for b in sorted(names):
            if last.get(("box", b)) == "draining" and b in membership.published:
                membership.set_reported_draining(b, True, 1)
            if last.get(("op", b)) == "draining" and b in membership.published:
                membership.set_operator_draining(b, True, 1)
        membership.tick(2)
        return membership

    sources, rng = ["list", "sd", "srv"], random.Random(seed)
    one = apply(sources)
    rng.shuffle(sources)
    two = apply(sources)
    assert one.published == two.published
    for (source, b), mode in last.items():
        if mode == "draining" and b in one.published and one.published[b].mode != "gone":
            named = source in ("box", "op") or last.get(("list", b)) != "gone"
            assert one.published[b].mode == "draining" or not named, (source, b)
