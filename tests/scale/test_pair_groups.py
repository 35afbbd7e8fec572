"""What the pair table does where servers share rows and columns."""

import numpy as np
import pytest
from scale.counting import router_of

from benchmarks.scale.router_cost import Play
from benchmarks.scale.settings import MS, S, server_rows
from lapiswing.interface import Server
from lapiswing.routing.pair_table import GROUP_PAIRS, SINGLE_PAIRS, STAY


@pytest.fixture
def play():
    return router_of(640)


def tell(play, rows, kind="update"):
    play.round("change", ("servers", kind, rows))


def test_shares_add_up_and_nobody_is_left_out(play):
    table = play.router.table
    assert sum(table.share.values()) == pytest.approx(1.0) and min(table.share.values()) > 0
    assert table.writer_shares().sum() == pytest.approx(1.0) and table.writer_shares().min() > 0


def test_alike_servers_have_alike_shares_at_the_start():
    table = router_of(640, 0).router.table
    shares = np.array(list(table.share.values()))
    assert shares.max() < 3 * shares.mean() and shares.min() > shares.mean() / 10


def test_a_bad_server_loses_its_share_and_its_neighbours_do_not(play):
    table = play.router.table
    bad = play.router.readers[7]
    group = [
        m
        for m in play.router.readers
        if table.rows.group[table.rows.index_of[m.id]] == table.rows.group[table.rows.index_of[bad.id]]
    ]
    assert len(group) > 1
    before = dict(table.share)
    bad.failure_score = 0.9
    for _ in range(12):
        play.router.refresh()
    assert table.share[bad.id] < 0.4 * before[bad.id]
    others = [m.id for m in group if m is not bad]
    assert sum(table.share[m] for m in others) > 0.8 * sum(before[m] for m in others)


def test_a_lost_zone_leaves_the_table_at_once_and_comes_back(play):
    lost = [row for row in play.rows if row.zone == 0]
    tell(play, [row._replace(mode="draining") for row in lost])
    table = play.router.table
    assert not {row.id for row in lost} & {*table.rows.index_of, *table.columns.index_of}
    assert sum(table.share.values()) == pytest.approx(1.0)
    tell(play, lost)
    assert {row.id for row in lost} <= {*table.rows.index_of, *table.columns.index_of}


def test_what_stays_keeps_its_share_over_a_change(play):
    table = play.router.table
    bad = play.router.readers[7]
    bad.failure_score = 0.9
    for _ in range(12):
        play.router.refresh()
    low, mean = table.share[bad.id], np.mean(list(table.share.values()))
    gone = next(row for row in play.rows if row.kind == 1)
    tell(play, [gone._replace(mode="gone")])
    assert table.share[bad.id] < 0.6 * mean and table.share[bad.id] == pytest.approx(low, rel=0.2)


def test_a_group_keeps_its_share_over_a_change(play):
    table = play.router.table
    group = table.rows.group[7]
    members = [m for m, of in zip(play.router.readers, table.rows.group) if of == group]
    for member in members:
        member.failure_score = 0.9
    for _ in range(12):
        play.router.refresh()
    low, mean = sum(table.share[m.id] for m in members), len(members) * np.mean(list(table.share.values()))
    gone = next(row for row in play.rows if row.kind == 1)
    tell(play, [gone._replace(mode="gone")])
    assert low < 0.4 * mean and sum(table.share[m.id] for m in members) == pytest.approx(low, rel=0.2)


def test_a_rack_with_many_readers_does_not_drown_its_few_writers():
    """Of two racks in one group one has three prefill servers and one decode server, the other one and three."""
    play = router_of(1280, 0)
    assert play.router.table.racks_per_group > 1
    rows = [Server(f"r{i}", 0, 0 if i < 3 else 1, 0, 1.0, 0, "ready") for i in range(4)]
    rows += [Server(f"w{i}", 0, 0 if i < 1 else 1, 1, 1.0, 0, "ready") for i in range(4)]
    tell(play, [row._replace(zone=row.zone, cell=row.cell + 10_000) for row in rows])
    table, router = play.router.table, play.router
    mine = [router.servers[f"r{i}"] for i in range(4)]
    if len({table.rows.group[table.rows.index_of[m.id]] for m in mine}) > 1:
        pytest.fail("the two racks are not taken together")
    got = sum(table.shares_from(m) for m in mine)
    loads = [got[table.columns.index_of[f"w{i}"]] for i in range(4)]
    assert loads[0] == pytest.approx(np.mean(loads[1:]), rel=0.35)
    own = table.shares_from(mine[3])
    assert own[table.columns.index_of["w0"]] < own[table.columns.index_of["w1"]]  # its own rack's come first


def test_the_grouping_lasts_while_a_few_servers_come_and_go():
    play = router_of(320)
    table, rows = play.router.table, play.rows
    assert table.racks_per_group
    prefill = [row for row in rows if row.kind == 0]
    decode = len(rows) - len(prefill)
    fewer = len(prefill) - int(SINGLE_PAIRS * 0.95 / decode)
    tell(play, [row._replace(mode="draining") for row in prefill[:fewer]])
    assert STAY * SINGLE_PAIRS < len(play.router.readers) * len(play.router.writers) <= SINGLE_PAIRS
    assert table.racks_per_group
    tell(play, [row._replace(mode="draining") for row in prefill[: fewer + 40]])
    assert not table.racks_per_group and len(table.share) == len(play.router.readers)
    assert sum(table.share.values()) == pytest.approx(1.0)


def test_half_of_the_prefill_servers_change_role(play):
    changed = [row._replace(kind=1, started_us=play.now) for row in play.rows if row.kind == 0][::2]
    tell(play, changed)
    table = play.router.table
    names = {row.id for row in changed}
    assert not names & table.rows.index_of.keys() and names <= table.columns.index_of.keys()
    play.run(2)
    assert sum(table.share.values()) == pytest.approx(1.0)


@pytest.mark.parametrize("cells", ["one", "each its own"])
def test_fleets_without_racks_or_with_one_for_each_server(cells):
    play = Play(640, 1)
    rows = [row._replace(cell=0 if cells == "one" else i * 1_000_003) for i, row in enumerate(server_rows(640, 0.31, 6))]
    tell(play, rows, "replace")
    table = play.router.table
    play.run(2)
    assert table.pairs.size <= GROUP_PAIRS and len(table.share) == 198 and sum(table.share.values()) == pytest.approx(1.0)


def test_a_fleet_of_mixed_servers_writes_where_it_reads():
    play = Play(300, 1)
    settings_kinds = play.router.kinds
    settings_kinds[0] = ("both", settings_kinds[0][1])
    rows = [row._replace(kind=0, id=f"r{i}") for i, row in enumerate(server_rows(300, 0.31, 6))]
    tell(play, rows, "replace")
    table = play.router.table
    assert table.racks_per_group and len(table.share) == 300
    assert (table.pairs > 0).sum() == len(table.rows.keys)  # each group with itself alone
    assert table.share[rows[5].id] == pytest.approx(1 / 300, rel=0.6)


def test_all_servers_may_leave_and_come_back(play):
    tell(play, [row._replace(mode="gone") for row in play.rows])
    assert play.router.table.pairs.size == 0 and not play.router.table.share
    tell(play, play.rows)
    play.run(1)
    assert sum(play.router.table.share.values()) == pytest.approx(1.0)
    assert play.now > S > MS
