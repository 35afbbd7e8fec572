"""The fleet link under a simulated clock and network: membership, replicated rows, identities, sealed messages."""

import copy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.fleet.link import Link
from lapiswing.fleet.members import MemberConfig, Members
from lapiswing.fleet.messages import Everyone, Member, Ping, Row, Tell, Yours, encode
from lapiswing.fleet.rows import Rows
from lapiswing.fleet.seal import Refused, Seal
from lapiswing.lab import fleetdays
from lapiswing.lab.fleetsim import KEY, Fleet

S = 1000


def fleet(n, seed, joined=True, **options):
    sim = Fleet(n, seed=seed, **options)
    sim.start_all(500)
    if joined:
        assert sim.run(10 * S, sim.all_alive), "not all members know each other after 10 s"
        sim.run(3 * S)
    return sim


def gone_everywhere(sim, dead, living):
    return lambda: all(sim.sees(i, j) == "gone" for i in living for j in dead)


def watch_false_alarms(sim):
    """Records each time a running member is declared gone."""
    alarms = []
    for node in sim.up():

        def on_change(member, old_state, node=node):
            index = int(member.id.partition("#")[0][3:])
            target = sim.nodes[index]
            running = target.link is not None and target.link.id == member.id and target.stopped_until <= sim.now
            if member.state == "gone" and running:
                alarms.append((sim.now, node.index, index))

        node.link.on_member = on_change
    return alarms


# ---- members


@pytest.mark.parametrize("seed", range(5))
def test_a_killed_member_is_known_to_all_within_five_seconds(seed):
    sim = fleet(20, seed)
    sim.kill(7)
    assert sim.run(5 * S, gone_everywhere(sim, [7], [i for i in range(20) if i != 7])) is not None


@pytest.mark.parametrize("seed", range(3))
def test_no_live_member_is_declared_gone_at_5_percent_loss(seed):
    sim = fleet(20, seed)
    alarms = watch_false_alarms(sim)
    sim.net.loss = 0.05
    sim.run(120 * S)
    assert not alarms


def test_a_third_of_the_members_killed_at_once_and_restarted():
    sim = fleet(21, 1)
    dead, living = range(14, 21), range(14)
    for i in dead:
        sim.kill(i)
    assert sim.run(8 * S, gone_everywhere(sim, dead, living))
    for i in dead:
        sim.start(i, keep=i % 2 == 0)
    assert sim.run(10 * S, sim.all_alive)


@pytest.mark.parametrize("parts", [2, 3])
def test_a_partition_that_heals_after_ten_minutes(parts):
    """Each side runs alone and has declared the others gone; after the partition they join again."""
    sim = fleet(6, 2)
    sides = [set(range(i, 6, parts)) for i in range(parts)]
    for side in sides:
        sim.cut(side, set(range(6)) - side)
    sim.run(20 * S)
    assert all(
        sim.sees(i, j) == ("alive" if any({i, j} <= s for s in sides) else "gone") for i in range(6) for j in range(6) if i != j
    )
    for i in range(6):
        sim.write(i, "k", b"%d" % i)
    sim.run(600 * S)
    sim.heal()
    assert sim.run(20 * S, sim.all_alive) and sim.run(10 * S, sim.same_rows)
    assert len(sim.nodes[0].link.rows.table) == 6


def test_all_members_know_each_other_after_a_link_flapped_each_second():
    sim = fleet(16, 3)
    for _ in range(20):
        sim.cut(range(8), range(8, 16))
        sim.run(1 * S)
        sim.heal()
        sim.run(1 * S)
    assert sim.run(10 * S, sim.all_alive)


def test_a_member_that_can_send_but_not_receive_is_suspected_and_rejoins():
    sim = fleet(12, 4)
    sim.cut(range(1, 12), [0], one_way=True)
    sim.run(20 * S)
    assert {sim.sees(i, 0) for i in range(1, 12)} <= {"gone", "suspected"}
    assert all(sim.sees(i, j) == "alive" for i in range(1, 12) for j in range(1, 12) if i != j)
    sim.heal()
    assert sim.run(10 * S, sim.all_alive)


def test_a_suspicion_does_not_expire_while_this_process_is_stopped():
    states = []
    members = Members("a", "x:0", "", 0, lambda: 0.5, lambda *a: None, lambda member, old: states.append(member.state))
    members.apply(encode(Member("b", "x:1", 1, "suspected", by="c")), 0, "c")
    for ms in range(0, 500, 50):
        members.tick(ms * S)
    members.tick(60 * S * S)  # a minute of SIGSTOP: messages from b are still unread
    assert "gone" not in states and members.local_health == 1
    members.apply(encode(Member("b", "x:1", 2, "alive")), 60 * S * S, "b")
    for ms in range(60_000, 60_600, 50):
        members.tick(ms * S)
    assert "gone" not in states


def test_a_partition_heals_although_the_only_seed_is_gone():
    sim = fleet(6, 3, seeds=1)
    sim.kill(0)
    sim.cut([1, 2, 3], [4, 5])
    sim.run(30 * S)
    assert sim.sees(1, 4) == sim.sees(4, 1) == "gone"
    sim.heal()
    assert sim.run(30 * S, sim.all_alive)


@pytest.mark.parametrize("for_s", [2, 300])
def test_a_process_that_was_stopped_declares_no_other_gone(for_s):
    """Without the local health score it would declare others gone because it received nothing while stopped."""
    sim = fleet(12, 5)
    alarms = watch_false_alarms(sim)
    sim.stop(3, for_s * S)
    sim.run(for_s * S + 10 * S)
    assert sim.all_alive() and not [a for a in alarms if a[1] == 3]
    assert sim.nodes[3].link.members.local_health <= 1


def test_200_members_starting_within_a_second_find_each_other():
    sim = fleet(200, 6, joined=False)
    assert sim.run(8 * S, sim.all_alive)
    max_sent = max(n.link.counts["out"] for n in sim.up())
    assert max_sent < 20_000 and not sum(n.link.counts["refused"] for n in sim.up())


def test_a_member_that_leaves_is_known_to_have_left_within_two_seconds():
    sim = fleet(12, 7)
    sim.nodes[4].link.leave()
    sim.run(50)
    sim.kill(4)
    assert sim.run(2 * S, lambda: all(sim.sees(i, 4) == "left" for i in range(12) if i != 4))


def test_updates_on_a_member_rank_by_incarnation_then_state_in_any_order():
    updates = [Member("b", "x:1", i, s) for i in (1, 2, 3) for s in ("alive", "suspected", "gone", "left")]

    @given(st.permutations(updates), st.integers(1, 12))
    @settings(max_examples=60, deadline=None)
    def check(order, n):
        changes = []
        members = Members("a", "x:0", "", 0, lambda: 0.5, lambda *a: None, lambda *a: changes.append(a))
        for update in order[:n] + order[:3]:
            members.apply(encode(update), 0, "c")
        states = ["alive", "suspected", "gone", "left"]
        best = max(order[:n] + order[:3], key=lambda u: (u.incarnation, states.index(u.state)))
        assert (members.all["b"].incarnation, members.all["b"].state) == (best.incarnation, best.state)

    check()


def test_confirmations_shorten_a_suspicion_and_repeats_by_one_member_do_not():
    def suspicion_end(suspecters):
        members = Members("a", "x:0", "", 0, lambda: 0.5, lambda *a: None, lambda *a: None)
        members.apply(encode(Member("b", "x:1", 1, "alive")), 0, "c")
        for suspecter in suspecters:
            members.apply(encode(Member("b", "x:1", 1, "suspected", by=suspecter)), 0, suspecter)
        return members.all["b"].suspicion_ends_us

    assert (
        suspicion_end("c")
        == suspicion_end("ccc")
        > suspicion_end("cd")
        > suspicion_end("cde")
        > suspicion_end("cdef")
        == suspicion_end("cdefg")
    )


def test_thousands_of_invented_members_cost_bounded_memory():
    link = Link("a", "x:0", [], [KEY], lambda: 0.5, b"s" * 16, lambda *a: None, 0, config=MemberConfig(max_members=100))
    for i in range(3000):
        link.members.apply(encode(Member(f"m{i}", "x:1", 1, "alive")), 0, "liar")
    assert len(link.members.all) == 100 and link.members.refused == 2900
    assert len(link.members.probe_order) <= 100 and len(link.members.updates) <= 101


# ---- rows

ROWS = st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("xy"), st.integers(1, 6)), max_size=25)


@given(ROWS, st.randoms(use_true_random=False))
@settings(max_examples=80, deadline=None)
def test_rows_converge_in_any_order_and_with_repeats(written, rng):
    raws = [encode(Row(w, k, v, b"%d" % v)) for w, k, v in written]
    tables = []
    for _ in range(2):
        rng.shuffle(raws)
        rows = Rows("me")
        for raw in raws + raws[:5]:
            rows.apply(raw)
        tables.append(({row_id: r.version for row_id, r in rows.table.items()}, rows.digests()))
    assert tables[0] == tables[1]
    for (w, k), version in tables[0][0].items():
        assert version == max(v for a, b, v in written if (a, b) == (w, k))


def test_a_row_that_is_not_on_the_disk_yet_is_not_sent_by_a_comparison_either():
    sim = fleet(4, 17)
    row, raw = sim.nodes[1].link.write("k", b"1")
    sim.run(10 * S)
    assert not any(node.link.rows.table for node in sim.up())
    sim.nodes[1].link.publish(raw)
    assert sim.run(2 * S, lambda: all((row.writer, "k") in node.link.rows.table for node in sim.up()))


def test_swapped_versions_change_the_digest():
    """crc32 would not detect it, because it is linear."""
    digests = []
    for a, b in ((1, 2), (2, 1)):
        rows = Rows("me")
        rows.apply(encode(Row("w", "aa", a, b"")))
        rows.apply(encode(Row("w", "ab", b, b"")))
        digests.append(rows.digests())
    assert digests[0] != digests[1]


def test_only_its_writer_changes_a_row():
    rows = Rows("me")
    row = rows.commit(rows.write("k", b"mine")[1])
    assert rows.apply(encode(Row("me", "k", 9, b"not mine"))) is None
    assert rows.table["me", "k"] is row and rows.newer_own_version == 9


def test_unknown_fields_of_a_later_version_are_kept_and_forwarded():
    import msgspec

    raw = msgspec.msgpack.encode({"writer": "w", "key": "k", "version": 1, "value": b"v", "colour": "blue"})
    news = msgspec.msgpack.encode({"id": "n", "address": "x:9", "incarnation": 1, "state": "alive", "speed": 3})
    sent = []
    link = Link("a", "x:0", [], [KEY], lambda: 0.5, b"s" * 16, lambda *a: None, 0)
    link.send_to = lambda member, message: sent.append(message)
    link.dispatch("n", Tell([msgspec.Raw(news)], [msgspec.Raw(raw)]))
    link.members.send = link.send_to
    link.send_updates()
    assert [bytes(r) for r in sent[-1].rows] == [raw] and news in [bytes(r) for r in sent[-1].news]


def test_rows_reach_all_members_despite_loss_delay_repeats_and_corruption():
    sim = fleet(20, 7)
    sim.net.loss, sim.net.twice, sim.net.flip, sim.net.delay = 0.3, 0.2, 0.05, (0, 500 * S)
    for i in range(20):
        sim.write(i, "k", b"%d" % i)
    assert sim.run(30 * S, sim.same_rows)
    assert {r.value for r in sim.nodes[3].link.rows.table.values()} == {b"%d" % i for i in range(20)}
    sim.net = type(sim.net)(sim.net.rng)
    assert sim.run(20 * S, sim.all_alive)


def test_many_rows_reach_a_new_member():
    sim = fleet(4, 8)
    for i in range(2500):
        sim.write(0, f"k{i}", b"x" * 30)
        if i % 50 == 0:
            sim.run(50)
    sim.run(3 * S)
    sim.kill(3)
    sim.start(3, keep=False)
    assert sim.run(60 * S, sim.same_rows)


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
            rows.apply(encode(row))
    with pytest.raises(ValueError):
        rows.apply(b"\xc1 no msgpack")
    with pytest.raises(ValueError):
        rows.write("k", b"x" * 9000)
    assert not rows.table


# ---- identity


def test_a_gateway_with_a_rolled_back_disk_takes_a_new_identity_before_it_writes():
    sim = fleet(5, 9)
    sim.write(1, "a", b"1")
    sim.run(500)
    old_disk = copy.deepcopy(sim.nodes[1].disk)
    sim.write(1, "a", b"2")
    sim.run(2 * S)
    old_id = sim.nodes[1].link.id
    sim.kill(1)
    sim.nodes[1].disk = old_disk
    link = sim.start(1)
    assert link.id == old_id and not link.may_write()
    with pytest.raises(ValueError):
        link.write("a", b"3")
    assert sim.run(10 * S, lambda: link.may_write())
    assert link.id != old_id
    sim.write(1, "a", b"3")
    sim.run(3 * S)
    for node in sim.up():  # the rows of the old identity are unchanged
        assert node.link.rows.table[old_id, "a"].value == b"2"
        assert node.link.rows.table[link.id, "a"].value == b"3"


def test_a_gateway_whose_disk_was_lost_takes_a_new_identity():
    sim = fleet(5, 10)
    sim.write(1, "a", b"1")
    old_id = sim.nodes[1].link.id
    sim.run(500)
    sim.kill(1)
    link = sim.start(1, keep=False)
    assert link.id != old_id and sim.run(10 * S, lambda: link.may_write())


def test_a_gateway_with_an_intact_disk_keeps_its_identity():
    sim = fleet(5, 11)
    sim.write(1, "a", b"1")
    old_id = sim.nodes[1].link.id
    sim.run(500)
    sim.kill(1)
    sim.run(3 * S)
    link = sim.start(1)
    assert sim.run(10 * S, lambda: link.may_write()) and link.id == old_id
    assert sim.write(1, "a", b"2").version == 2


def test_without_a_reachable_peer_a_gateway_logs_it_and_does_not_write():
    sim = fleet(5, 12)
    sim.write(1, "a", b"1")
    sim.kill(1)
    sim.cut([1], set(range(5)) - {1})
    link = sim.start(1)
    sim.run(60 * S)
    assert not link.may_write() and "no peer heard" in [e[1] for e in sim.nodes[1].events]
    sim.heal()
    assert sim.run(15 * S, lambda: link.may_write())


def test_replies_of_a_minority_do_not_confirm_the_own_identity():
    """Guards against this failure (found by lab/fleetdays): a gateway whose disk was rolled back restarts in a
    partition that has declared the others gone, and writes a version that those have already seen. Gone members
    therefore count in the majority."""
    sim = fleet(7, 13)
    sim.write(1, "k", b"1")
    old_disk = copy.deepcopy(sim.nodes[1].disk)
    sim.run(1 * S)
    sim.cut([1, 2, 3], [0, 4, 5, 6])
    sim.cut([2, 3], [1])
    sim.write(1, "k", b"2")  # reaches only members that are unreachable later
    sim.heal()
    sim.cut([2, 3], [0, 1, 4, 5, 6])
    sim.run(10 * S)
    sim.kill(1)
    sim.heal()
    sim.cut([1, 2, 3], [0, 4, 5, 6])
    sim.nodes[1].disk = old_disk
    link = sim.start(1)
    sim.run(20 * S)
    assert {sim.sees(2, i) for i in (0, 4, 5, 6)} == {"gone"} and len(link.members.alive()) == 2
    assert not link.may_write()
    sim.heal()
    old_id = link.id
    assert sim.run(20 * S, lambda: link.may_write()) and link.id != old_id


def test_false_versions_change_the_identity_at_most_once_a_minute():
    sim = fleet(4, 14)
    link = sim.nodes[1].link
    for _ in range(100):
        link.dispatch("liar", Yours(1 << 40))
        sim.run(200)
    assert link.counts["identities"] == 1


# ---- sealed messages


def seal_pair(keys=((KEY,), (KEY,))):
    a = Seal(list(keys[0]), "a#1", "x:1", 11, b"secret of a")
    b = Seal(list(keys[1]), "b#1", "x:2", 22, b"secret of b")
    a.tokens["b#1"] = b.token_for("a#1", 11)
    return a, b


def refused(seal, data):
    with pytest.raises(Refused) as problem:
        seal.open(data)
    return problem.value.why


def test_a_message_is_accepted_once():
    a, b = seal_pair()
    data = [a.seal("b#1", Ping(i)) for i in range(5)]
    assert b.open(data[3])[1].seq == 3 and b.open(data[0])[1].seq == 0  # order does not matter
    assert [refused(b, data[i]) for i in (3, 0)] == ["replay", "replay"]
    assert b.open(data[1])[1].seq == 1


def test_a_message_below_the_replay_window_is_refused():
    a, b = seal_pair()
    old = a.seal("b#1", Ping(0))
    for i in range(300):
        b.open(a.seal("b#1", Ping(i)))
    assert refused(b, old) == "replay"


def test_a_message_to_an_earlier_process_or_to_another_identity_is_refused():
    a, b = seal_pair()
    data = a.seal("b#1", Ping(1))
    restarted = Seal([KEY], "b#1", "x:2", 33, b"secret of the next b")
    assert refused(restarted, data) == "token"
    assert refused(Seal([KEY], "c#1", "x:3", 44, b"c"), data) == "address"


def test_a_message_of_an_earlier_process_of_the_sender_is_refused():
    a, b = seal_pair()
    old = a.seal("b#1", Ping(1))
    b.open(a.seal("b#1", Ping(2)))
    restarted = Seal([KEY], "a#1", "x:1", 12, b"secret of the next a")
    restarted.tokens["b#1"] = b.token_for("a#1", 12)
    b.open(restarted.seal("b#1", Ping(1)))
    assert refused(b, old) == "replay" and refused(b, a.seal("b#1", Ping(9))) == "replay"
    assert b.open(restarted.seal("b#1", Ping(2)))


def test_the_first_key_signs_and_every_key_is_accepted():
    new, old = b"n" * 32, b"o" * 32
    a, b = seal_pair(((new, old), (old, new)))
    assert b.open(a.seal("b#1", Ping(1)))
    assert refused(b, Seal([b"foreign" * 5], "a#1", "x:1", 11, b"").seal("b#1", Ping(1))) == "mac"


def test_any_bit_flipped_is_refused():
    a, b = seal_pair()
    data = a.seal("b#1", Ping(1))
    for bit in range(len(data) * 8):
        corrupt = bytearray(data)
        corrupt[bit // 8] ^= 1 << bit % 8
        assert refused(b, bytes(corrupt)) == "mac"
    assert b.open(data)


def test_messages_of_a_wrong_size_or_form_are_refused():
    a, b = seal_pair()
    assert refused(b, b"") == refused(b, b"x" * 70_000) == "size"
    body = b"\x81\xa1x"
    assert refused(b, a.mac(KEY, body) + body) == "form"
    assert refused(b, a.seal("b#1", Everyone([])).replace(b"everyone", b"everyonf")) == "mac"


def test_messages_are_refused_only_where_protocol_versions_do_not_overlap(monkeypatch):
    from lapiswing.fleet import seal as seal_module

    a, b = seal_pair()
    data = a.seal("b#1", Ping(1))
    monkeypatch.setattr(seal_module, "SUPPORTED_VERSIONS", (2, 3))
    assert refused(b, data) == "version"
    monkeypatch.setattr(seal_module, "SUPPORTED_VERSIONS", (1, 2))
    assert b.open(data)


def test_a_flood_of_hellos_is_answered_at_a_bounded_rate():
    from lapiswing.fleet.messages import Hello

    sim = fleet(2, 15)
    link = sim.nodes[0].link
    before = link.counts["out"]
    for i in range(5000):
        link.heard(sim.now, Seal([KEY], f"flood{i}", "10.0.0.1:9300", i + 1, b"f").seal("", Hello(i)))
    assert link.counts["out"] - before <= 200


def test_the_same_seed_gives_the_same_run():
    results = []
    for _ in range(2):
        sim = fleet(10, 16)
        sim.net.loss = 0.2
        sim.kill(2)
        sim.run(10 * S)
        results.append((sim.messages, sorted(n.link.counts["bytes out"] for n in sim.up())))
    assert results[0] == results[1]


def test_the_platform_adapter_does_not_load_the_fleet_link():
    """On the platform the gateway must not pay for modules that it does not use."""
    import subprocess
    import sys

    code = (
        "import sys, lapiswing.node.serve, lapiswing.node.__main__; "
        "print([m for m in sys.modules if m in ('scipy', 'sortedcontainers') or m.split('.')[:2] in "
        "(['lapiswing', p] for p in ('fleet', 'budgets', 'rollout', 'store', 'transfer', 'lab'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


# ---- random fault sequences


@pytest.mark.parametrize("seed", range(12))
def test_a_random_fault_sequence_leaves_one_fleet_with_the_same_rows(seed):
    """Partitions, loss, kills, stops, and disks kept, emptied and rolled back, while rows are written; see
    lab/fleetdays.py."""
    day = fleetdays.play(seed)
    assert not day.faults, (day.faults, day.actions)
    assert day.rows > 50


def test_a_random_fault_sequence_is_reproducible():
    assert fleetdays.play(3) == fleetdays.play(3)


def test_a_random_fault_sequence_detects_a_gateway_that_keeps_a_rolled_back_identity(monkeypatch):
    """Shows that the check can fail: without the change of identity it does for some of these seeds."""
    monkeypatch.setattr(Link, "check_identity", lambda self: setattr(self.rows, "newer_own_version", 0))
    assert any(fleetdays.play(seed).faults for seed in range(12))
