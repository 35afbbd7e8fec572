"""Contract tests: the behaviour that callers may rely on in every store implementation."""

import copy
import random

import pytest

from contracts import those
from contracts.stores import STORES
from lapiswing.store import StoreError


def make_case(request, tmp_path):
    return request.param(tmp_path)


case, filled, powered = (make(make_case) for make in (those(STORES), those(STORES, "fill"), those(STORES, "power_cut")))


def steps(seed, n=40):
    rng = random.Random(seed)

    def value():
        return None if rng.random() < 0.25 else rng.randbytes(rng.choice((1, 30, 200)))

    for _ in range(n):
        yield [(b"k%d" % rng.randrange(10), value(), 0) for _ in range(rng.choice((1, 2, 4)))]


def put_all(store, model, batches):
    for items in batches:
        store.put(items)
        apply(model, items)


def apply(model, items):
    for key, value, _ in items:
        model.pop(key, None) if value is None else model.__setitem__(key, value)
    return model


def test_reads_return_the_last_put_in_key_order(case):
    store, model = case.open(), {}
    for items in steps(1):
        reported = []
        assert store.put(items, reported.append) and reported == [None]
        apply(model, items)
        assert dict(store.range()) == model and all(store.get(k) == v for k, v in model.items())
    assert list(store.range()) == sorted(model.items())
    assert list(store.range(b"k3", b"k6")) == sorted((k, v) for k, v in model.items() if b"k3" <= k < b"k6")
    assert store.get(b"none") is None and store.get(b"") is None
    store.close()


def test_done_is_called_once_per_batch_and_in_order(case):
    store, reported = case.open(), []
    for i in range(20):
        store.put([(b"k", b"%d" % i, 0)], lambda why, i=i: reported.append((i, why)))
    store.close()
    assert reported == [(i, None) for i in range(20)]


def test_a_snapshot_does_not_change(case):
    store, model = case.open(), {}
    put_all(store, model, steps(2))
    view, then = store.snapshot(), dict(model)
    for items in steps(3):
        store.put(items)
    for _ in store.compact():
        pass
    assert dict(view.range()) == then and all(view.get(k) == v for k, v in then.items())
    view.close()
    store.close()


def test_expired_entries_are_not_read_and_can_be_deleted(case):
    store = case.open()
    store.put([(b"a", b"1", case.now.ms + 100), (b"b", b"2", 0)])
    assert store.get(b"a") == b"1"
    case.now.ms += 100
    assert store.get(b"a") is None and dict(store.range()) == {b"b": b"2"}
    for _ in store.expire():
        pass
    case.now.ms -= 1000  # expired entries stay expired when the clock is set back
    assert store.get(b"a") is None and dict(store.range()) == {b"b": b"2"}
    store.close()


def test_reading_goes_on_while_compacting(case):
    store, model = case.open(), {}
    put_all(store, model, steps(4, 120))
    for _ in range(30):
        for _ in store.compact():
            assert dict(store.range()) == model
            items = [(b"k1", b"%d" % len(model), 0)]
            store.put(items)
            apply(model, items)
    assert dict(store.range()) == model
    store.close()


def test_a_full_store_refuses_whole_batches_and_recovers_when_there_is_space(filled):
    case = filled
    store, model = case.open(), {}
    put_all(store, model, steps(5, 10))
    case.fill()
    before, reported = dict(store.range()), []
    store.put([(b"k1", b"y" * 500, 0), (b"new", b"y" * 500, 0)], reported.append)
    assert len(reported) == 1 and reported[0]  # refused with a reason
    assert dict(store.range()) == before
    case.free_space()
    assert store.put([(b"later", b"1", 0)], reported.append) and reported[1] is None
    assert {k: v for k, v in store.range() if not k.startswith(b"~")} == {**model, b"later": b"1"}
    store.close()


def test_a_closed_store_refuses_writes_and_can_be_closed_again(case):
    store = case.open()
    store.put([(b"a", b"1", 0)])
    store.close()
    reported = []
    assert not store.put([(b"b", b"1", 0)], reported.append) and reported and reported[0]
    store.close()


def test_opening_an_open_store_is_refused(case):
    store = case.open()
    with pytest.raises(StoreError) as problem:
        (case.open if case.is_durable else store.open)()
    assert problem.value.kind == "locked" and problem.value.advice
    store.close()


def test_acknowledged_writes_are_found_after_reopening(case):
    store, model = case.open(), {}
    put_all(store, model, steps(6, 60))
    store.close()
    again = case.open()
    assert dict(again.range()) == (model if case.is_durable else {})
    again.close()


@pytest.mark.parametrize("seed", range(20))
def test_after_a_power_cut_acknowledged_batches_are_complete_and_others_atomic(powered, seed):
    """Power cut at a random disk operation, also in the middle of a batch."""
    case = powered
    rng = random.Random(seed)
    store, model, last = case.open(), {}, None
    stop_at = case.files.operations + rng.randrange(5, 150)

    class PowerCut(Exception):
        pass

    def fail(operation, name):
        if case.files.operations >= stop_at:
            raise PowerCut

    case.files.fail = fail
    try:
        for items in steps(seed, 200):
            reported, last = [], items
            store.put(items, reported.append)
            assert reported == [None]
            apply(model, items)
    except PowerCut:
        pass
    case.files.fail = None
    case.power_cut()
    again = case.open()
    found = dict(again.range())
    assert found in (model, apply(dict(model), last))
    assert again.put([(b"after", b"1", 0)])
    again.close()


def test_a_file_that_ends_at_any_byte_gives_a_prefix_of_whole_batches(powered):
    case = powered
    store, states, model = case.open(), [{}], {}
    for items in steps(7, 6):
        store.put(items)
        states.append(dict(apply(model, items)))
    active = f"{store.active:08d}.log"
    store.close()
    whole, found = case.files, []
    for size in range(len(whole.files[active].now) + 1):
        case.files = copy.deepcopy(whole)
        del case.files.files[active].now[size:]
        again = case.open()
        assert dict(again.range()) in states, size
        found.append(states.index(dict(again.range())))
        again.close()
    assert found == sorted(found) and found[-1] == len(states) - 1
