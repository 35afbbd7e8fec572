"""The fleet link under a simulated clock and network: who is there, rows, identities, seals. Each test names
what it guards."""

import copy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.fleet.link import Link
from lapiswing.fleet.members import Figures, Members
from lapiswing.fleet.messages import Everyone, Member, Ping, Row, Tell, Yours, packed
from lapiswing.fleet.rows import Rows
from lapiswing.fleet.seal import Refused, Seal
from lapiswing.lab import fleetdays
from lapiswing.lab.fleetsim import KEY, Fleet

S = 1000


def fleet(n, seed, joined=True, **more):
    out = Fleet(n, seed=seed, **more)
    out.start_all(500)
    if joined:
        assert out.run(10 * S, out.all_alive), "they did not find each other"
        out.run(3 * S)
    return out


def gone_everywhere(out, dead, living):
    return lambda: all(out.sees(i, j) == "gone" for i in living for j in dead)


def watch_false_alarms(out):
    """Counts words 'gone' on members that live."""
    alarms = []
    for node in out.up():

        def changed(one, was, node=node):
            index = int(one.id.partition("#")[0][3:])
            target = out.nodes[index]
            lives = target.link is not None and target.link.id == one.id and target.stopped_until <= out.now
            if one.state == "gone" and lives:
                alarms.append((out.now, node.index, index))

        node.link.on_member = changed
    return alarms


# ---- members


@pytest.mark.parametrize("seed", range(5))
def test_a_killed_member_is_known_to_all_within_five_seconds(seed):
    out = fleet(20, seed)
    out.kill(7)
    assert out.run(5 * S, gone_everywhere(out, [7], [i for i in range(20) if i != 7])) is not None


@pytest.mark.parametrize("seed", range(3))
def test_no_live_member_is_declared_gone_at_5_percent_loss(seed):
    out = fleet(20, seed)
    alarms = watch_false_alarms(out)
    out.net.loss = 0.05
    out.run(120 * S)
    assert not alarms


def test_a_third_killed_at_once_and_back():
    out = fleet(21, 1)
    dead, living = range(14, 21), range(14)
    for i in dead:
        out.kill(i)
    assert out.run(8 * S, gone_everywhere(out, dead, living))
    for i in dead:
        out.start(i, keep=i % 2 == 0)
    assert out.run(10 * S, out.all_alive)


@pytest.mark.parametrize("parts", [2, 3])
def test_a_partition_that_heals_long_after(parts):
    """Both sides go on alone, and find each other again though all of the others were gone for each."""
    out = fleet(6, 2)
    sides = [set(range(i, 6, parts)) for i in range(parts)]
    for side in sides:
        out.cut(side, set(range(6)) - side)
    out.run(20 * S)
    assert all(
        out.sees(i, j) == ("alive" if any({i, j} <= s for s in sides) else "gone") for i in range(6) for j in range(6) if i != j
    )
    for i in range(6):
        out.write(i, "k", b"%d" % i)
    out.run(600 * S)
    out.heal()
    assert out.run(20 * S, out.all_alive) and out.run(10 * S, out.same_rows)
    assert len(out.nodes[0].link.rows.table) == 6


def test_a_link_that_flaps_each_second_leaves_a_whole_fleet():
    out = fleet(16, 3)
    for _ in range(20):
        out.cut(range(8), range(8, 16))
        out.run(1 * S)
        out.heal()
        out.run(1 * S)
    assert out.run(10 * S, out.all_alive)


def test_one_that_hears_nothing_but_is_heard_is_found_and_returns():
    out = fleet(12, 4)
    out.cut(range(1, 12), [0], one_way=True)
    out.run(20 * S)
    assert {out.sees(i, 0) for i in range(1, 12)} <= {"gone", "suspected"}
    assert all(out.sees(i, j) == "alive" for i in range(1, 12) for j in range(1, 12) if i != j)
    out.heal()
    assert out.run(10 * S, out.all_alive)


def test_a_suspicion_does_not_run_out_while_this_process_stands_still():
    gone = []
    members = Members("a", "x:0", "", 0, lambda: 0.5, lambda *a: None, lambda one, was: gone.append(one.state))
    members.take(packed(Member("b", "x:1", 1, "suspected", by="c")), 0, "c")
    for ms in range(0, 500, 50):
        members.tick(ms * S)
    members.tick(60 * S * S)  # a minute of SIGSTOP: what b said meanwhile waits to be read
    assert "gone" not in gone and members.clumsy == 1
    members.take(packed(Member("b", "x:1", 2, "alive")), 60 * S * S, "b")
    for ms in range(60_000, 60_600, 50):
        members.tick(ms * S)
    assert "gone" not in gone


def test_a_partition_heals_though_all_seeds_are_gone_for_good():
    out = fleet(6, 3, seeds=1)
    out.kill(0)
    out.cut([1, 2, 3], [4, 5])
    out.run(30 * S)
    assert out.sees(1, 4) == out.sees(4, 1) == "gone"
    out.heal()
    assert out.run(30 * S, out.all_alive)


@pytest.mark.parametrize("for_s", [2, 300])
def test_a_process_that_stood_still_blames_itself_first(for_s):
    """Without its own doubt it would declare others gone for what it did not hear while it stood still."""
    out = fleet(12, 5)
    alarms = watch_false_alarms(out)
    out.stop(3, for_s * S)
    out.run(for_s * S + 10 * S)
    assert out.all_alive() and not [a for a in alarms if a[1] == 3]
    assert out.nodes[3].link.members.clumsy <= 1


def test_200_members_starting_within_a_second_find_each_other():
    out = fleet(200, 6, joined=False)
    assert out.run(8 * S, out.all_alive)
    most = max(n.link.counts["out"] for n in out.up())
    assert most < 20_000 and not sum(n.link.counts["refused"] for n in out.up())


def test_one_that_leaves_is_known_to_have_left_at_once():
    out = fleet(12, 7)
    out.nodes[4].link.leave()
    out.run(50)
    out.kill(4)
    assert out.run(2 * S, lambda: all(out.sees(i, 4) == "left" for i in range(12) if i != 4))


def test_a_word_on_a_member_counts_by_incarnation_then_state_in_any_order():
    words = [Member("b", "x:1", i, s) for i in (1, 2, 3) for s in ("alive", "suspected", "gone", "left")]

    @given(st.permutations(words), st.integers(1, 12))
    @settings(max_examples=60, deadline=None)
    def check(order, n):
        said = []
        members = Members("a", "x:0", "", 0, lambda: 0.5, lambda *a: None, lambda *a: said.append(a))
        for word in order[:n] + order[:3]:
            members.take(packed(word), 0, "c")
        states = ["alive", "suspected", "gone", "left"]
        best = max(order[:n] + order[:3], key=lambda w: (w.incarnation, states.index(w.state)))
        assert (members.all["b"].incarnation, members.all["b"].state) == (best.incarnation, best.state)

    check()


def test_confirmations_shorten_a_suspicion_and_one_voice_does_not():
    def due(voices):
        members = Members("a", "x:0", "", 0, lambda: 0.5, lambda *a: None, lambda *a: None)
        members.take(packed(Member("b", "x:1", 1, "alive")), 0, "c")
        for voice in voices:
            members.take(packed(Member("b", "x:1", 1, "suspected", by=voice)), 0, voice)
        return members.all["b"].due_us

    assert due("c") == due("ccc") > due("cd") > due("cde") > due("cdef") == due("cdefg")


def test_a_million_members_made_up_cost_bounded_memory():
    link = Link("a", "x:0", [], [KEY], lambda: 0.5, b"s" * 16, lambda *a: None, 0, figures=Figures(most=100))
    for i in range(3000):
        link.members.take(packed(Member(f"m{i}", "x:1", 1, "alive")), 0, "liar")
    assert len(link.members.all) == 100 and link.members.refused == 2900
    assert len(link.members.line) <= 100 and len(link.members.news) <= 101


# ---- rows

ROWS = st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("xy"), st.integers(1, 6)), max_size=25)


@given(ROWS, st.randoms(use_true_random=False))
@settings(max_examples=80, deadline=None)
def test_rows_come_out_the_same_in_any_order_and_however_often(told, rng):
    raws = [packed(Row(w, k, v, b"%d" % v)) for w, k, v in told]
    tables = []
    for _ in range(2):
        rng.shuffle(raws)
        rows = Rows("me")
        for raw in raws + raws[:5]:
            rows.take(raw)
        tables.append(({at: r.version for at, r in rows.table.items()}, rows.digests()))
    assert tables[0] == tables[1]
    for (w, k), version in tables[0][0].items():
        assert version == max(v for a, b, v in told if (a, b) == (w, k))


def test_a_row_that_is_not_on_the_disk_yet_is_told_by_no_comparison_either():
    out = fleet(4, 17)
    row, raw = out.nodes[1].link.write("k", b"1")
    out.run(10 * S)
    assert not any(node.link.rows.table for node in out.up())
    out.nodes[1].link.tell(raw)
    assert out.run(2 * S, lambda: all((row.writer, "k") in node.link.rows.table for node in out.up()))


def test_versions_changed_for_each_other_change_the_digest():
    """crc32 would not tell: it is linear."""
    sums = []
    for a, b in ((1, 2), (2, 1)):
        rows = Rows("me")
        rows.take(packed(Row("w", "aa", a, b"")))
        rows.take(packed(Row("w", "ab", b, b"")))
        sums.append(rows.digests())
    assert sums[0] != sums[1]


def test_nobody_but_its_writer_changes_a_row():
    rows = Rows("me")
    row = rows.settle(rows.write("k", b"mine")[1])
    assert rows.take(packed(Row("me", "k", 9, b"not mine"))) is None
    assert rows.table["me", "k"] is row and rows.newer == 9


def test_fields_of_a_later_version_are_kept_and_passed_on():
    import msgspec

    raw = msgspec.msgpack.encode({"writer": "w", "key": "k", "version": 1, "value": b"v", "colour": "blue"})
    news = msgspec.msgpack.encode({"id": "n", "address": "x:9", "incarnation": 1, "state": "alive", "speed": 3})
    sent = []
    link = Link("a", "x:0", [], [KEY], lambda: 0.5, b"s" * 16, lambda *a: None, 0)
    link.say = lambda member, message: sent.append(message)
    link.take("n", Tell([msgspec.Raw(news)], [msgspec.Raw(raw)]))
    link.members.say = link.say
    link.push()
    assert [bytes(r) for r in sent[-1].rows] == [raw] and news in [bytes(r) for r in sent[-1].news]


def test_rows_reach_all_over_a_link_that_loses_delays_repeats_and_spoils():
    out = fleet(20, 7)
    out.net.loss, out.net.twice, out.net.flip, out.net.delay = 0.3, 0.2, 0.05, (0, 500 * S)
    for i in range(20):
        out.write(i, "k", b"%d" % i)
    assert out.run(30 * S, out.same_rows)
    assert {r.value for r in out.nodes[3].link.rows.table.values()} == {b"%d" % i for i in range(20)}
    out.net = type(out.net)(out.net.rng)
    assert out.run(20 * S, out.all_alive)


def test_many_rows_reach_one_that_comes_new():
    out = fleet(4, 8)
    for i in range(2500):
        out.write(0, f"k{i}", b"x" * 30)
        if i % 50 == 0:
            out.run(50)
    out.run(3 * S)
    out.kill(3)
    out.start(3, keep=False)
    assert out.run(60 * S, out.same_rows)


def test_rows_out_of_bounds_are_refused():
    rows = Rows("me")
    for row in (
        Row("w", "k" * 200, 1, b""),
        Row("w", "k", 0, b""),
        Row("w", "k", 1 << 62, b""),
        Row("w", "k", 1, b"x" * 9000),
        Row("", "k", 1, b""),
        Row("w" * 100, "k", 1, b""),
    ):
        with pytest.raises(ValueError):
            rows.take(packed(row))
    with pytest.raises(ValueError):
        rows.take(b"\xc1 no msgpack")
    with pytest.raises(ValueError):
        rows.write("k", b"x" * 9000)
    assert not rows.table


# ---- identity


def test_a_rolled_back_disk_takes_a_new_identity_before_it_writes():
    out = fleet(5, 9)
    out.write(1, "a", b"1")
    out.run(500)
    old = copy.deepcopy(out.nodes[1].disk)
    out.write(1, "a", b"2")
    out.run(2 * S)
    was = out.nodes[1].link.id
    out.kill(1)
    out.nodes[1].disk = old
    link = out.start(1)
    assert link.id == was and not link.may_write()
    with pytest.raises(ValueError):
        link.write("a", b"3")
    assert out.run(10 * S, lambda: link.may_write())
    assert link.id != was
    out.write(1, "a", b"3")
    out.run(3 * S)
    for node in out.up():  # what the old identity wrote is as it was
        assert node.link.rows.table[was, "a"].value == b"2"
        assert node.link.rows.table[link.id, "a"].value == b"3"


def test_a_lost_disk_is_another_identity():
    out = fleet(5, 10)
    out.write(1, "a", b"1")
    was = out.nodes[1].link.id
    out.run(500)
    out.kill(1)
    link = out.start(1, keep=False)
    assert link.id != was and out.run(10 * S, lambda: link.may_write())


def test_a_good_disk_keeps_its_identity():
    out = fleet(5, 11)
    out.write(1, "a", b"1")
    was = out.nodes[1].link.id
    out.run(500)
    out.kill(1)
    out.run(3 * S)
    link = out.start(1)
    assert out.run(10 * S, lambda: link.may_write()) and link.id == was
    assert out.write(1, "a", b"2").version == 2


def test_with_no_peer_to_be_heard_it_says_so_and_does_not_write():
    out = fleet(5, 12)
    out.write(1, "a", b"1")
    out.kill(1)
    out.cut([1], set(range(5)) - {1})
    link = out.start(1)
    out.run(60 * S)
    assert not link.may_write() and "no peer heard" in [e[1] for e in out.nodes[1].events]
    out.heal()
    assert out.run(15 * S, lambda: link.may_write())


def test_a_minority_is_not_believed_on_the_own_identity():
    """Found by seed (lab/fleetdays): a copy put back to an earlier disk in a part that had given up the
    others wrote a version that these had seen already. Those that are gone count."""
    out = fleet(7, 13)
    out.write(1, "k", b"1")
    old = copy.deepcopy(out.nodes[1].disk)
    out.run(1 * S)
    out.cut([1, 2, 3], [0, 4, 5, 6])
    out.cut([2, 3], [1])
    out.write(1, "k", b"2")  # nobody hears of it but those who can't be heard later
    out.heal()
    out.cut([2, 3], [0, 1, 4, 5, 6])
    out.run(10 * S)
    out.kill(1)
    out.heal()
    out.cut([1, 2, 3], [0, 4, 5, 6])
    out.nodes[1].disk = old
    link = out.start(1)
    out.run(20 * S)
    assert {out.sees(2, i) for i in (0, 4, 5, 6)} == {"gone"} and len(link.members.alive()) == 2
    assert not link.may_write()
    out.heal()
    was = link.id
    assert out.run(20 * S, lambda: link.may_write()) and link.id != was


def test_versions_made_up_do_not_change_the_identity_more_than_once_a_minute():
    out = fleet(4, 14)
    link = out.nodes[1].link
    for _ in range(100):
        link.take("liar", Yours(1 << 40))
        out.run(200)
    assert link.counts["identities"] == 1


# ---- seals


def pair(keys=((KEY,), (KEY,))):
    a = Seal(list(keys[0]), "a#1", "x:1", 11, b"secret of a")
    b = Seal(list(keys[1]), "b#1", "x:2", 22, b"secret of b")
    a.tokens["b#1"] = b.token_for("a#1", 11)
    return a, b


def refused(seal, data):
    with pytest.raises(Refused) as problem:
        seal.open(data)
    return problem.value.why


def test_a_message_is_taken_once():
    a, b = pair()
    data = [a.seal("b#1", Ping(i)) for i in range(5)]
    assert b.open(data[3])[1].seq == 3 and b.open(data[0])[1].seq == 0  # order does not matter
    assert [refused(b, data[i]) for i in (3, 0)] == ["replay", "replay"]
    assert b.open(data[1])[1].seq == 1


def test_what_is_too_old_to_be_told_from_a_repeat_is_refused():
    a, b = pair()
    old = a.seal("b#1", Ping(0))
    for i in range(300):
        b.open(a.seal("b#1", Ping(i)))
    assert refused(b, old) == "replay"


def test_a_message_to_an_earlier_process_or_to_another_is_refused():
    a, b = pair()
    data = a.seal("b#1", Ping(1))
    again = Seal([KEY], "b#1", "x:2", 33, b"secret of the next b")
    assert refused(again, data) == "token"
    assert refused(Seal([KEY], "c#1", "x:3", 44, b"c"), data) == "address"


def test_a_message_of_an_earlier_process_of_the_sender_is_refused():
    a, b = pair()
    old = a.seal("b#1", Ping(1))
    b.open(a.seal("b#1", Ping(2)))
    after = Seal([KEY], "a#1", "x:1", 12, b"secret of the next a")
    after.tokens["b#1"] = b.token_for("a#1", 12)
    b.open(after.seal("b#1", Ping(1)))
    assert refused(b, old) == "replay" and refused(b, a.seal("b#1", Ping(9))) == "replay"
    assert b.open(after.seal("b#1", Ping(2)))


def test_keys_the_first_signs_and_all_are_accepted():
    new, old = b"n" * 32, b"o" * 32
    a, b = pair(((new, old), (old, new)))
    assert b.open(a.seal("b#1", Ping(1)))
    assert refused(b, Seal([b"foreign" * 5], "a#1", "x:1", 11, b"").seal("b#1", Ping(1))) == "mac"


def test_any_bit_flipped_is_refused():
    a, b = pair()
    data = a.seal("b#1", Ping(1))
    for at in range(len(data) * 8):
        spoilt = bytearray(data)
        spoilt[at // 8] ^= 1 << at % 8
        assert refused(b, bytes(spoilt)) == "mac"
    assert b.open(data)


def test_sizes_and_forms_are_bounded():
    a, b = pair()
    assert refused(b, b"") == refused(b, b"x" * 70_000) == "size"
    body = b"\x81\xa1x"
    assert refused(b, a.mac(KEY, body) + body) == "form"
    assert refused(b, a.seal("b#1", Everyone([])).replace(b"everyone", b"everyonf")) == "mac"


def test_copies_whose_versions_do_not_meet_refuse_each_other_and_others_go_on(monkeypatch):
    from lapiswing.fleet import seal as module

    a, b = pair()
    data = a.seal("b#1", Ping(1))
    monkeypatch.setattr(module, "SPOKEN", (2, 3))
    assert refused(b, data) == "version"
    monkeypatch.setattr(module, "SPOKEN", (1, 2))
    assert b.open(data)


def test_a_flood_of_hellos_is_answered_at_a_bounded_rate():
    from lapiswing.fleet.messages import Hello

    out = fleet(2, 15)
    link = out.nodes[0].link
    before = link.counts["out"]
    for i in range(5000):
        link.heard(out.now, Seal([KEY], f"flood{i}", "10.0.0.1:9300", i + 1, b"f").seal("", Hello(i)))
    assert link.counts["out"] - before <= 200


def test_the_same_seed_plays_the_same_run():
    figures = []
    for _ in range(2):
        out = fleet(10, 16)
        out.net.loss = 0.2
        out.kill(2)
        out.run(10 * S)
        figures.append((out.messages, sorted(n.link.counts["bytes out"] for n in out.up())))
    assert figures[0] == figures[1]


def test_the_platforms_door_knows_nothing_of_it():
    """It must not cost the gateway on the platform anything."""
    import subprocess
    import sys

    code = (
        "import sys, lapiswing.node.serve, lapiswing.node.__main__; "
        "print([m for m in sys.modules if m in ('scipy', 'sortedcontainers') or m.split('.')[:2] in "
        "(['lapiswing', p] for p in ('fleet', 'budgets', 'rollout', 'store', 'transfer', 'lab'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


# ---- whole bad days


@pytest.mark.parametrize("seed", range(12))
def test_a_bad_day_by_seed_leaves_one_fleet_with_the_same_rows(seed):
    """Parts, loss, kills, stops, disks kept, emptied and put back, while rows are written; see
    lab/fleetdays.py."""
    day = fleetdays.play(seed)
    assert not day.faults, (day.faults, day.actions)
    assert day.rows > 50


def test_a_bad_day_is_the_same_again():
    assert fleetdays.play(3) == fleetdays.play(3)


def test_a_bad_day_finds_a_copy_that_goes_on_under_a_rolled_back_identity(monkeypatch):
    """The check can fail: without the change of identity some of these seeds do."""
    monkeypatch.setattr(Link, "look_at_identity", lambda self: setattr(self.rows, "newer", 0))
    assert any(fleetdays.play(seed).faults for seed in range(12))
