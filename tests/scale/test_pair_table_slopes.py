"""The decisions' work grows with the servers and not with their pairs: counted at three sizes up to the target."""

from math import log

import pytest
from scale.counting import allocating, counting, entries, router_of

from benchmarks.scale.settings import server_rows
from benchmarks.scale.target import TARGET
from lapiswing.routing.pair_table import GROUP_PAIRS, MOVES, SINGLE_PAIRS

SIZES = (160, 320, 640, 1280)  # at 160 all stand alone, beyond it those of a rack, at 1,280 of two, share rows
SLACK = 1.3  # the sizes of groups go in steps


def allowed(small, large):
    """How many times as much the page allows at `large` servers."""
    return SLACK * large * log(large) / (small * log(small))


def grows_as_allowed(counts):
    """`counts`: {servers: count}."""
    for servers in SIZES[1:]:
        assert counts[servers] <= allowed(SIZES[0], servers) * counts[SIZES[0]], counts


@pytest.fixture(scope="module")
def plays():
    return {servers: router_of(servers) for servers in SIZES}


def test_entries_that_are_kept(plays):
    grows_as_allowed({servers: entries(play.router) for servers, play in plays.items()})


def test_elements_sorted_at_a_refresh(plays):
    counts = {}
    for servers, play in plays.items():
        with counting() as count:
            play.router.refresh()
        counts[servers] = count.sorted
        assert count.sorted + count.looked_at <= 2 * MOVES * GROUP_PAIRS + 8 * servers
        assert servers < 320 or count.sorted <= 10 * servers  # only the ends
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


def test_a_change_of_one_server_costs_no_work_on_all_pairs(plays):
    peaks = {}
    for servers, play in plays.items():
        with allocating() as peak:
            play.change_one()
        peaks[servers] = peak[0]
    grows_as_allowed(peaks)
    assert peaks[640] < 3 * 8 * TARGET.prefill_servers * TARGET.decode_servers  # three tables of all pairs; nine before


def test_pairs_in_the_table_are_bounded(plays):
    for play in plays.values():
        assert play.router.table.pairs.size <= GROUP_PAIRS


def test_a_hundred_servers_stand_alone_whatever_their_roles():
    for prefill in (0.1, 0.31, 0.5):
        table = router_of(100, 0).router.table
        assert not table.racks_per_group and len(table.share) == table.pairs.shape[0]
        assert 100 * prefill * 100 * (1 - prefill) <= SINGLE_PAIRS


def test_tenants_cost_nothing_at_a_refresh():
    play = router_of(640)
    with allocating() as peak:
        play.router.measure(250_000)
    assert peak[0] < 8 * TARGET.tenants and len(play.router.quota_left) <= play.requests


def test_rows_of_the_target_are_as_it_says():
    rows = server_rows(TARGET.servers, TARGET.prefill_part, TARGET.zones)
    assert len(rows) == 640 and sum(row.kind == 0 for row in rows) == TARGET.prefill_servers
    assert len({row.zone for row in rows}) == TARGET.zones
