"""The store checked against a dict: truncated files, flipped bytes, power cuts and disk errors at every operation."""

import random
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simfiles import SimFiles

from lapiswing.loop import Clock, Loop
from lapiswing.store import Engine, Files, InlineWorker, StoreError, Worker
from lapiswing.store.format import (
    SEGMENT_HEADER,
    Damaged,
    decode_file,
    encode_file,
    encode_frame,
    encode_segment_header,
    read_frame,
)


class FakeClock:
    """Wall clock in ms that tests set."""

    def __init__(self):
        self.ms = 1_000_000

    def __call__(self):
        return self.ms


def open_engine(files, now=None, **more):
    return Engine(files, InlineWorker(), now or FakeClock(), **more).open()


def contents(engine):
    return dict(engine.range())


def run(engine, steps, model=None):
    """Puts batches and applies them to a dict. Returns the dict's states before and after each acknowledged batch."""
    model, states = dict(model or {}), []
    states.append(dict(model))
    for items in steps:
        results = []
        engine.put(items, results.append)
        assert results == [None]
        for key, value, _ in items:
            model.pop(key, None) if value is None else model.__setitem__(key, value)
        states.append(dict(model))
    return states


def random_batches(rng, n, keys=12, max_bytes=400):
    batches = []
    for _ in range(n):
        batches.append(
            [
                (b"k%d" % rng.randrange(keys), None if rng.random() < 0.2 else rng.randbytes(rng.choice((3, 40, max_bytes))), 0)
                for _ in range(rng.choice((1, 1, 2, 5)))
            ]
        )
    return batches


def test_put_get_delete_range_and_contents_after_reopening(tmp_path):
    engine = open_engine(Files(tmp_path))
    states = run(engine, random_batches(random.Random(1), 60))
    assert contents(engine) == states[-1] and list(engine.range(b"k1", b"k2")) == sorted(
        (k, v) for k, v in states[-1].items() if b"k1" <= k < b"k2"
    )
    engine.close()
    again = open_engine(Files(tmp_path))
    assert contents(again) == states[-1] and again.get(b"none") is None
    again.close()


def test_two_processes_on_one_folder(tmp_path):
    engine = open_engine(Files(tmp_path))
    with pytest.raises(StoreError) as problem:
        open_engine(Files(tmp_path))
    assert problem.value.kind == "locked"
    engine.close()
    open_engine(Files(tmp_path)).close()


def written_store(segment_bytes=700):
    """Writes batches over several segments. Returns (files, engine, contents after each batch, lengths of the files after each
    batch)."""
    files = SimFiles()
    engine = open_engine(files, segment_bytes=segment_bytes)
    states, marks, model = [{}], [dict((n, len(f.now)) for n, f in files.files.items())], {}
    for items in random_batches(random.Random(5), 24, max_bytes=150):
        (after,) = run(engine, [items], model)[1:]
        model = after
        states.append(after)
        marks.append({n: len(f.now) for n, f in files.files.items()})
    return files, engine, states, marks


def copy_of(files, change=None):
    copied = SimFiles()
    for name, file in files.files.items():
        new = copied.files[name] = type(file)()
        new.now = bytearray(file.now)
        if change and name == change[0]:
            change[1](new.now)
        new.safe = bytearray(new.now)
    copied.safe_names = dict(copied.files)
    return copied


def test_the_active_segment_cut_at_every_byte():
    files, engine, states, marks = written_store(segment_bytes=1 << 20)
    name = "00000001.log"
    for size in range(len(files.files[name].now) + 1):

        def cut(data, size=size):
            del data[size:]

        cut_files = copy_of(files, (name, cut))
        found = contents(open_engine(cut_files))
        complete = max(i for i, m in enumerate(marks) if m[name] <= max(size, SEGMENT_HEADER.size))
        # Exactly the batches that were completely written are found.
        assert found == states[complete], size
        again = open_engine(unlocked(cut_files))
        assert contents(again) == states[complete]
        run(again, [[(b"new", b"1", 0)]])
        assert contents(open_engine(unlocked(cut_files))) == {**states[complete], b"new": b"1"}


def unlocked(files):
    files.locked = False
    return files


def test_a_closed_segment_that_is_cut_is_refused_at_every_byte():
    files, engine, states, _ = written_store()
    name = f"{engine.segments[0]:08d}.log"
    for size in range(0, len(files.files[name].now), 7):

        def cut(data, size=size):
            del data[size:]

        damaged = copy_of(files, (name, cut))
        damaged.files = {n: f for n, f in damaged.files.items() if not n.endswith(".hint")}
        with pytest.raises(StoreError):
            open_engine(damaged)


@pytest.mark.parametrize("hints", [True, False])
def test_every_byte_flipped_is_refused_or_gives_a_prefix(hints):
    files, engine, states, _ = written_store()
    prefixes = [tuple(sorted(s.items())) for s in states]
    refused = prefix = same = 0
    for name in list(files.files):
        if not hints and name.endswith(".hint"):
            continue
        for at in range(len(files.files[name].now)):

            def flip(data, at=at):
                data[at] ^= 0x20

            damaged = copy_of(files, (name, flip))
            if not hints:
                damaged.files = {n: f for n, f in damaged.files.items() if not n.endswith(".hint")}
            try:
                engine = open_engine(damaged)
                found = tuple(sorted(contents(engine).items()))
            except (StoreError, Damaged):
                refused += 1
                continue
            if name.endswith(".log") and hints and found == prefixes[-1]:
                same += 1  # the hint file was used instead of the damaged segment
                continue
            assert found in prefixes, (name, at)
            prefix += 1
    assert refused > 500 and prefix > 20


def test_a_flipped_value_is_refused_when_it_is_read():
    """A hint file only gives the location of a large value; its checksum is verified on each read."""
    files = SimFiles()
    engine = open_engine(files, segment_bytes=600)
    run(engine, [[(b"big", b"x" * 500, 0)], [(b"a", b"1", 0)], [(b"b", b"2" * 300, 0)], [(b"c", b"3", 0)]])
    assert engine.index.keys[b"big"][4] is None and len(engine.segments) > 1
    engine.close()
    at = files.files["00000001.log"].now.index(b"x" * 100)
    files.files["00000001.log"].now[at] ^= 1
    again = open_engine(files)
    assert again.counts["hints used"] == 1 and again.get(b"a") == b"1"
    with pytest.raises(Damaged):
        again.get(b"big")


@pytest.mark.parametrize("seed", range(30))
def test_power_cut_at_any_operation_keeps_what_was_acknowledged(seed):
    """Includes cuts during compaction and while the manifest or a hint file is written. All acknowledged batches are found, and
    the contents are a prefix of what was put."""
    rng = random.Random(seed)
    steps = random_batches(rng, 40, max_bytes=150)
    probe = SimFiles()
    run_until_power_cut(probe, steps, None, rng)
    for _ in range(12):
        files, stop = SimFiles(), rng.randrange(1, probe.operations)
        states, acknowledged = run_until_power_cut(files, steps, stop, rng)
        after = files.crash(rng)
        found = contents(open_engine(after, segment_bytes=600))
        assert found in states[acknowledged:], (seed, stop)
        again = unlocked(after)
        engine = open_engine(again, segment_bytes=600)
        run(engine, [[(b"z", b"1", 0)]])
        engine.close()
        assert contents(open_engine(again)) == {**found, b"z": b"1"}


class PowerCut(Exception):
    pass


def run_until_power_cut(files, steps, stop, rng):
    """Puts batches until the power is cut at operation `stop`. Returns (state after each batch, number of acknowledged ones)."""

    def fail(operation, name):
        if stop is not None and files.operations >= stop:
            raise PowerCut

    files.fail = fail
    model, states, acknowledged = {}, [{}], 0
    try:
        engine = open_engine(files, segment_bytes=600)
        for i, items in enumerate(steps):
            for key, value, _ in items:
                model.pop(key, None) if value is None else model.__setitem__(key, value)
            states.append(dict(model))
            results = []
            engine.put(items, results.append)
            assert results == [None]
            acknowledged = i + 1
            if i % 7 == 6:
                for _ in engine.compact():
                    pass
                assert contents(engine) == model
    except PowerCut:
        pass
    return states, acknowledged


def test_a_lost_durable_frame_is_damage_and_a_torn_group_is_not():
    head = encode_segment_header(1)
    one, two = encode_frame(1, 1, 0, 5, [(b"a", b"1", 0)]), encode_frame(1, 2, 1, 5, [(b"b", b"2", 0)])
    group = encode_frame(1, 2, 0, 5, [(b"b", b"2", 0)])
    for second, good in ((two, False), (group, True)):
        files = SimFiles()
        open_engine(files).close()
        files.files["00000001.log"].now = bytearray(head + b"\0" * len(one) + second)
        if good:
            assert contents(open_engine(files)) == {}
        else:
            with pytest.raises(StoreError, match="can't be read"):
                open_engine(files)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["put", "delete", "batch", "compact", "reopen", "crash", "later", "expire"]),
            st.integers(0, 7),
            st.binary(max_size=300),
        ),
        max_size=40,
    ),
    st.integers(0, 1 << 30),
)
def test_against_a_dict(steps, seed):
    rng, now, files = random.Random(seed), FakeClock(), SimFiles()
    engine, model = open_engine(files, now, segment_bytes=500), {}
    for what, n, value in steps:
        key = b"k%d" % n
        if what == "put":
            expires = now.ms + 1000 * n if n % 3 == 0 and n else 0
            engine.put([(key, value, expires)])
            model[key] = (value, expires)
        elif what == "delete":
            engine.put([(key, None, 0)])
            model.pop(key, None)
        elif what == "batch":
            engine.put([(key, value, 0), (b"other", value[:5], 0), (b"k0", None, 0)])
            model[key] = (value, 0)
            model[b"other"] = (value[:5], 0)
            model.pop(b"k0", None)
        elif what == "compact":
            for _ in engine.compact():
                pass
        elif what == "expire":
            for _ in engine.expire(2):
                pass
        elif what == "later":
            now.ms += 700 * n
        elif what == "reopen":
            engine.close()
            engine = open_engine(files, now, segment_bytes=500)
        else:
            files = files.crash(rng)  # all puts were acknowledged
            engine = open_engine(files, now, segment_bytes=500)
        wanted = {k: v for k, (v, expires) in model.items() if not 0 < expires <= now.ms}
        assert contents(engine) == wanted
        assert engine.index.bytes == sum(engine.index.cost(k, e[2]) for k, e in engine.index.keys.items())


def test_expired_entries_stay_expired_when_the_clock_is_set_back(tmp_path):
    now = FakeClock()
    engine = open_engine(Files(tmp_path), now)
    run(engine, [[(b"k", b"v", now.ms + 1000)]])
    now.ms += 2000
    assert engine.get(b"k") is None
    run(engine, [[(b"x", b"y", 0)]])
    now.ms -= 1_000_000
    assert engine.get(b"k") is None
    engine.close()
    again = open_engine(Files(tmp_path), now)
    assert again.get(b"k") is None and again.get(b"x") == b"y"
    again.close()


def test_a_snapshot_stays_as_it_was_while_all_changes_and_is_compacted():
    files = SimFiles()
    engine = open_engine(files, segment_bytes=600)
    before = run(engine, random_batches(random.Random(3), 30, max_bytes=300))[-1]
    view = engine.snapshot()
    after = run(engine, random_batches(random.Random(4), 30, max_bytes=300), before)[-1]
    for _ in range(3):
        for _ in engine.compact():
            pass
    assert dict(view.range()) == before and contents(engine) == after
    assert {k: view.get(k) for k in before} == before
    view.close()
    segments = len(engine.segments)
    for _ in range(4):
        for _ in engine.compact():
            pass
    assert len(engine.segments) < segments and contents(engine) == after


def test_compaction_frees_space_and_deleted_keys_stay_deleted():
    files = SimFiles()
    engine = open_engine(files, segment_bytes=2000)
    for i in range(300):
        engine.put([(b"k%d" % (i % 10), b"v" * 100, 0), (b"gone%d" % i, b"x", 0)])
        engine.put([(b"gone%d" % i, None, 0)])
    size = sum(len(f.now) for n, f in files.files.items() if n.endswith(".log"))
    for _ in range(60):
        for _ in engine.compact():
            pass
    now = sum(len(f.now) for n, f in files.files.items() if n.endswith(".log"))
    assert now < size / 8 and len(contents(engine)) == 10
    engine.close()
    assert len(contents(open_engine(files))) == 10


def test_a_put_during_a_compaction_is_not_overwritten_by_its_copy(monkeypatch):
    from lapiswing.store import engine as module

    files = SimFiles()
    engine = open_engine(files, segment_bytes=600)
    run(engine, [[(b"k%d" % i, b"old" * 50, 0)] for i in range(10)])
    work, jobs = engine.compact(), []
    next(work)
    real = engine.worker.submit
    engine.worker.submit = lambda job, done: jobs.append((job, done))  # a slow disk: jobs are run later
    monkeypatch.setattr(module, "MAX_WAITING_BYTES", 1000)
    for key, value in ((b"k0", b"new"), (b"k1", b"new"), (b"filler", b"f" * 400)):
        assert engine.put([(key, value, 0)])
    for _ in range(3):
        next(work)
    assert engine.put([(b"k2", b"new", 0)])
    monkeypatch.undo()
    engine.worker.submit = real
    while jobs:
        real(*jobs.pop(0))
    for _ in work:
        pass
    assert [engine.get(b"k%d" % i) for i in range(4)] == [b"new", b"new", b"new", b"old" * 50]
    engine.close()
    again = open_engine(files)
    assert [again.get(b"k%d" % i) for i in range(4)] == [b"new", b"new", b"new", b"old" * 50]


class FailOn:
    def __init__(self, *what):
        self.what, self.on = what, False

    def __call__(self, operation, name):
        if self.on and operation in self.what:
            raise OSError(
                self.errno, {28: "No space left on device", 5: "Input/output error", 30: "Read-only file system"}[self.errno]
            )


@pytest.mark.parametrize("errno,mode", [(28, "full"), (5, "failed"), (30, "failed")])
@pytest.mark.parametrize("what", ["write", "sync"])
def test_a_failed_write_is_reported_and_not_visible(errno, mode, what):
    files, now = SimFiles(), FakeClock()
    engine = open_engine(files, now)
    states = run(engine, random_batches(random.Random(2), 10))
    fail = files.fail = FailOn(what)
    fail.errno, fail.on = errno, True
    results = []
    engine.put([(b"k1", b"new", 0), (b"lost", b"x", 0)], results.append)
    assert results and results[0] and engine.mode == mode and contents(engine) == states[-1]
    engine.put([(b"more", b"x", 0)], results.append)
    assert len(results) == 2 and results[1] and engine.counts["refused"] == 1
    fail.on = False
    now.ms += 5000
    engine.put([(b"later", b"x", 0)], results.append)
    if mode == "full":
        assert results[2] is None and contents(engine) == {**states[-1], b"later": b"x"}
    else:
        assert results[2]  # after a failed sync the contents of the disk are unknown
    engine.close()
    files.fail = None
    found = contents(open_engine(files, now))
    assert found in (states[-1], {**states[-1], b"later": b"x"}) or mode == "failed"
    assert found.items() >= {k: v for k, v in states[-1].items() if k != b"k1"}.items()


def test_a_segment_switch_that_fails_at_any_operation(tmp_path):
    for at in range(12):
        files, now = SimFiles(), FakeClock()
        engine = open_engine(files, now, segment_bytes=300)
        model = run(engine, [[(b"a", b"x" * 280, 0)]])[-1]
        start, seen = files.operations, []

        def fail(operation, name, start=start, at=at, seen=seen):
            if files.operations == start + at + 1 and not seen:
                seen.append(operation)
                raise OSError(28, "No space left on device")

        files.fail = fail
        results = []
        engine.put([(b"b", b"1", 0)], results.append)
        now.ms += 5000
        engine.put([(b"c", b"2", 0)], results.append)
        model = {**model, **({} if results[0] else {b"b": b"1"}), **({} if results[1] else {b"c": b"2"})}
        assert contents(engine) == model
        files.fail = None
        crashed = files.crash(random.Random(at))
        assert contents(open_engine(crashed)) == model, at


def test_files_of_another_kind_a_later_version_and_a_missing_manifest(tmp_path):
    files = Files(tmp_path)
    run(open_engine(files), [[(b"k", b"v", 0)]])
    for name, change, kind in (
        ("MANIFEST", lambda d: d[:4] + b"\x00\x63" + d[6:], "newer"),
        ("MANIFEST", lambda d: d[:-1], "damaged"),
        ("00000001.log", lambda d: encode_segment_header(2) + d[16:], "damaged"),
    ):
        keep = (tmp_path / name).read_bytes()
        (tmp_path / name).write_bytes(change(keep))
        with pytest.raises(StoreError) as problem:
            open_engine(Files(tmp_path / "."))
        assert problem.value.kind == kind and problem.value.file == name
        (tmp_path / name).write_bytes(keep)
    (tmp_path / "MANIFEST").unlink()
    with pytest.raises(StoreError, match="is missing, but there are segments"):
        open_engine(Files(tmp_path))


def test_formats_check_what_they_read():
    data = encode_frame(3, 7, 6, 9, [(b"k", b"v", 0)])
    assert read_frame(data, 0, 3)[2:6] == (7, 6, 9, [(b"k", b"v", 0)])
    with pytest.raises(Damaged):
        read_frame(data, 0, 4)  # frame of another segment
    with pytest.raises(Damaged):
        decode_file(encode_file(b"LWMF", 1), b"LWHT", int)


def test_group_commit_on_the_loop_in_order_and_reads_meanwhile(tmp_path):
    loop = Loop(Clock())
    engine = Engine(Files(tmp_path), Worker(loop)).open()
    results = []
    for i in range(500):
        engine.put([(b"k%d" % (i % 50), b"%d" % i, 0)], lambda why, i=i: results.append((i, why)))
        assert engine.get(b"k%d" % (i % 50)) == b"%d" % i
    assert loop.run_until(lambda: len(results) == 500, 10_000_000)
    assert results == [(i, None) for i in range(500)] and engine.counts["groups"] < 100
    assert threading.active_count() >= 2
    engine.close()
    again = open_engine(Files(tmp_path))
    assert len(contents(again)) == 50
    again.close()
    loop.close()


def test_contents_are_the_same_with_and_without_hint_files(tmp_path):
    engine = open_engine(Files(tmp_path), segment_bytes=2000)
    states = run(engine, random_batches(random.Random(8), 200, keys=40))
    engine.close()
    again = open_engine(Files(tmp_path))
    assert again.counts["hints used"] > 5 and contents(again) == states[-1]
    again.close()
    for path in tmp_path.glob("*.hint"):
        path.unlink()
    again = open_engine(Files(tmp_path))
    assert again.counts["hints used"] == 0 and contents(again) == states[-1]
    again.close()


# ---- tools


def run_command(*args):
    from click.testing import CliRunner

    from lapiswing.cli.main import main

    result = CliRunner().invoke(main, ["store", *map(str, args)])
    return result.exit_code, result.output


def filled(folder, n=80):
    engine = open_engine(Files(folder), segment_bytes=2000)
    states = run(engine, random_batches(random.Random(11), n, keys=30))
    engine.close()
    return states


def test_verify_dump_and_compact(tmp_path):
    import json

    states = filled(tmp_path / "s")
    code, text = run_command("verify", tmp_path / "s", "--json")
    assert code == 0 and json.loads(text)["ok"] and json.loads(text)["frames"] == 80
    rows = [json.loads(line) for line in run_command("dump", tmp_path / "s")[1].splitlines()]
    assert {r["key"] for r in rows} == {k.decode() for k in states[-1]}
    code, text = run_command("compact", tmp_path / "s")
    assert code == 0 and int(text.split()[0]) > int(text.split()[-2])
    engine = open_engine(Files(tmp_path / "s"))
    assert contents(engine) == states[-1]
    assert run_command("verify", tmp_path / "s") == (
        2,
        "Error: LOCK: another process has this store open\n"
        "To do: End the process that has it open, or name another folder in `store.folder`.\n",
    )
    engine.close()


def test_repair_takes_a_prefix_and_keeps_what_was_there(tmp_path):
    states = filled(tmp_path / "s")
    logs = sorted((tmp_path / "s").glob("*.log"))
    data = bytearray(logs[3].read_bytes())
    data[len(data) // 2] ^= 1
    logs[3].write_bytes(data)
    for hint in (tmp_path / "s").glob("*.hint"):
        hint.unlink()
    assert run_command("verify", tmp_path / "s")[0] == 1
    with pytest.raises(StoreError):
        open_engine(Files(tmp_path / "s"))
    code, text = run_command("repair", tmp_path / "s", "--keep", tmp_path / "kept")
    assert code == 0 and logs[3].name in text and "nothing after it is kept" in text
    engine = open_engine(Files(tmp_path / "s"))
    found = contents(engine)
    assert found in states and found != states[-1] and found != {}
    run(engine, [[(b"new", b"1", 0)]])
    engine.close()
    assert run_command("verify", tmp_path / "s")[0] == 0
    assert bytes(data) == (tmp_path / "kept" / logs[3].name).read_bytes()
    assert run_command("repair", tmp_path / "s", "--keep", tmp_path / "kept")[0] == 1  # an existing backup is never overwritten


def test_repair_without_a_manifest(tmp_path):
    states = filled(tmp_path / "s", 30)
    (tmp_path / "s" / "MANIFEST").unlink()
    assert run_command("repair", tmp_path / "s", "--keep", tmp_path / "kept")[0] == 0
    engine = open_engine(Files(tmp_path / "s"))
    assert contents(engine) == states[-1]
    engine.close()
