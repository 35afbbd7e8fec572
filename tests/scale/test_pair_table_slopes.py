"""The router's work grows with servers and not with pairs: counted at several sizes up to the target and beyond."""

from math import log

import pytest

from benchmarks.scale.settings import server_rows
from benchmarks.scale.target import TARGET
from lapiswing.routing.pair_table import MAX_GROUP_PAIRS, MAX_SINGLE_PAIRS, MOVES_PER_REFRESH
from scale.counting import allocating, counting, entries, router_of

# At 160 servers each has a row or column of its own; beyond that the servers of one rack share one, at 1280 those of two.
SIZES = (160, 320, 640, 1280)
SLACK = 1.3  # the sizes of groups grow in steps


def allowed(small, large):
    """The factor by which work may grow from `small` to `large` servers: as n log n."""
    return SLACK * large * log(large) / (small * log(small))


def grows_as_allowed(counts):
    """`counts`: {servers: count}."""
    for servers in SIZES[1:]:
        assert counts[servers] <= allowed(SIZES[0], servers) * counts[SIZES[0]], counts


@pytest.fixture(scope="module")
def plays():
    return {servers: router_of(servers) for servers in SIZES}


def test_entries_in_memory(plays):
    grows_as_allowed({servers: entries(play.router) for servers, play in plays.items()})


def test_elements_sorted_at_a_refresh(plays):
    counts = {}
    for servers, play in plays.items():
        with counting() as count:
            play.router.refresh()
        counts[servers] = count.sorted
        assert count.sorted + count.partitioned <= 2 * MOVES_PER_REFRESH * MAX_GROUP_PAIRS + 8 * servers
        assert servers < 320 or count.sorted <= 10 * servers  # only the best and worst pairs are sorted
    grows_as_allowed(counts)


def test_calls_into_numpy_at_a_refresh(plays):
    counts = {}
    for servers, play in plays.items():
        with counting() as count:
            play.router.refresh()
        counts[servers] = count.calls
    grows_as_allowed(counts)


def test_bytes_allocated_at_a_refresh(plays):
    peaks = {}
    for servers, play in plays.items():
        with allocating() as peak:
            play.router.refresh()
        peaks[servers] = peak[0]
    grows_as_allowed(peaks)
    assert peaks[640] < 2 << 20


def test_a_change_of_one_server_does_not_copy_all_pairs(plays):
    peaks = {}
    for servers, play in plays.items():
        with allocating() as peak:
            play.change_one()
        peaks[servers] = peak[0]
    grows_as_allowed(peaks)
    assert peaks[640] < 3 * 8 * TARGET.prefill_servers * TARGET.decode_servers  # of three tables of all pairs


def test_pairs_in_the_table_are_bounded(plays):
    for play in plays.values():
        assert play.router.table.pairs.size <= MAX_GROUP_PAIRS


def test_a_hundred_servers_are_not_grouped_whatever_their_roles():
    for prefill in (0.1, 0.31, 0.5):
        table = router_of(100, 0).router.table
        assert not table.racks_per_group and len(table.share) == table.pairs.shape[0]
        assert 100 * prefill * 100 * (1 - prefill) <= MAX_SINGLE_PAIRS


def test_tenants_cost_nothing_at_a_refresh():
    play = router_of(640)
    with allocating() as peak:
        play.router.update_measurements(250_000)
    assert peak[0] < 8 * TARGET.tenants and len(play.router.quota_left) <= play.requests


def test_server_rows_match_the_target():
    rows = server_rows(TARGET.servers, TARGET.prefill_part, TARGET.zones)
    assert len(rows) == 640 and sum(row.kind == 0 for row in rows) == TARGET.prefill_servers
    assert len({row.zone for row in rows}) == TARGET.zones
