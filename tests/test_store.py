"""The store against a dict, with its files cut, flipped, and its power taken at every moment."""

import random
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simfiles import SimFiles

from lapiswing.loop import Clock, Loop
from lapiswing.store import Engine, Files, InlineWorker, StoreError, Worker
from lapiswing.store.format import HEAD, Damaged, frame, outer, read_frame, read_outer, segment_head


class Now:
    def __init__(self):
        self.ms = 1_000_000

    def __call__(self):
        return self.ms


def opened(files, now=None, **more):
    return Engine(files, InlineWorker(), now or Now(), **more).open()


def held(engine):
    return dict(engine.range())


def run(engine, steps, model=None):
    """-> the model after each acknowledged batch."""
    model, states = dict(model or {}), []
    states.append(dict(model))
    for items in steps:
        out = []
        engine.put(items, out.append)
        assert out == [None]
        for key, value, _ in items:
            model.pop(key, None) if value is None else model.__setitem__(key, value)
        states.append(dict(model))
    return states


def some_steps(rng, n, keys=12, most=400):
    out = []
    for _ in range(n):
        out.append(
            [
                (b"k%d" % rng.randrange(keys), None if rng.random() < 0.2 else rng.randbytes(rng.choice((3, 40, most))), 0)
                for _ in range(rng.choice((1, 1, 2, 5)))
            ]
        )
    return out


def test_put_get_delete_range_and_what_is_left_after_a_start(tmp_path):
    engine = opened(Files(tmp_path))
    states = run(engine, some_steps(random.Random(1), 60))
    assert held(engine) == states[-1] and list(engine.range(b"k1", b"k2")) == sorted(
        (k, v) for k, v in states[-1].items() if b"k1" <= k < b"k2"
    )
    engine.close()
    again = opened(Files(tmp_path))
    assert held(again) == states[-1] and again.get(b"none") is None
    again.close()


def test_two_processes_on_one_folder(tmp_path):
    engine = opened(Files(tmp_path))
    with pytest.raises(StoreError) as problem:
        opened(Files(tmp_path))
    assert problem.value.kind == "locked"
    engine.close()
    opened(Files(tmp_path)).close()


def sequence(segment_bytes=700):
    """A realistic sequence over some segments. -> (files, states, length of the files at each acknowledgement)."""
    files = SimFiles()
    engine = opened(files, segment_bytes=segment_bytes)
    states, marks, model = [{}], [dict((n, len(f.now)) for n, f in files.files.items())], {}
    for items in some_steps(random.Random(5), 24, most=150):
        (after,) = run(engine, [items], model)[1:]
        model = after
        states.append(after)
        marks.append({n: len(f.now) for n, f in files.files.items()})
    return files, engine, states, marks


def copy_of(files, change=None):
    out = SimFiles()
    for name, file in files.files.items():
        new = out.files[name] = type(file)()
        new.now = bytearray(file.now)
        if change and name == change[0]:
            change[1](new.now)
        new.safe = bytearray(new.now)
    out.safe_names = dict(out.files)
    return out


def test_the_active_segment_cut_at_every_byte():
    files, engine, states, marks = sequence(segment_bytes=1 << 20)
    name = "00000001.log"
    for size in range(len(files.files[name].now) + 1):

        def cut(data, size=size):
            del data[size:]

        cut_files = copy_of(files, (name, cut))
        found = held(opened(cut_files))
        whole = max(i for i, m in enumerate(marks) if m[name] <= max(size, HEAD.size))
        # Every batch that was wholly in is there, and what is there is a prefix of the batches.
        assert found == states[whole], size
        again = opened(cut_files_closed(cut_files))
        assert held(again) == states[whole]
        run(again, [[(b"new", b"1", 0)]])
        assert held(opened(cut_files_closed(cut_files))) == {**states[whole], b"new": b"1"}


def cut_files_closed(files):
    files.locked = False
    return files


def test_a_closed_segment_that_is_cut_is_refused_at_every_byte():
    files, engine, states, _ = sequence()
    name = f"{engine.segments[0]:08d}.log"
    for size in range(0, len(files.files[name].now), 7):

        def cut(data, size=size):
            del data[size:]

        damaged = copy_of(files, (name, cut))
        damaged.files = {n: f for n, f in damaged.files.items() if not n.endswith(".hint")}
        with pytest.raises(StoreError):
            opened(damaged)


@pytest.mark.parametrize("hints", [True, False])
def test_every_byte_flipped_is_refused_or_gives_a_prefix(hints):
    files, engine, states, _ = sequence()
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
                engine = opened(damaged)
                found = tuple(sorted(held(engine).items()))
            except (StoreError, Damaged):
                refused += 1
                continue
            if name.endswith(".log") and hints and found == prefixes[-1]:
                same += 1  # its hint was used, and the value was not read from there
                continue
            assert found in prefixes, (name, at)
            prefix += 1
    assert refused > 500 and prefix > 20


def test_a_flipped_value_is_refused_when_it_is_read():
    """A hint names the place only; what lies there is checked each time."""
    files = SimFiles()
    engine = opened(files, segment_bytes=600)
    run(engine, [[(b"big", b"x" * 500, 0)], [(b"a", b"1", 0)], [(b"b", b"2" * 300, 0)], [(b"c", b"3", 0)]])
    assert engine.index.keys[b"big"][4] is None and len(engine.segments) > 1
    engine.close()
    at = files.files["00000001.log"].now.index(b"x" * 100)
    files.files["00000001.log"].now[at] ^= 1
    again = opened(files)
    assert again.counts["hints used"] == 1 and again.get(b"a") == b"1"
    with pytest.raises(Damaged):
        again.get(b"big")


@pytest.mark.parametrize("seed", range(30))
def test_power_cut_at_any_operation_keeps_what_was_acknowledged(seed):
    """Also in the middle of compactions, of a switch of the manifest, of a hint. The acknowledged are there; what is there is a
    prefix of what was put."""
    rng = random.Random(seed)
    steps = some_steps(rng, 40, most=150)
    probe = SimFiles()
    play(probe, steps, None, rng)
    for _ in range(12):
        files, stop = SimFiles(), rng.randrange(1, probe.operations)
        states, acknowledged = play(files, steps, stop, rng)
        after = files.crash(rng)
        found = held(opened(after, segment_bytes=600))
        assert found in states[acknowledged:], (seed, stop)
        again = cut_files_closed(after)
        engine = opened(again, segment_bytes=600)
        run(engine, [[(b"z", b"1", 0)]])
        engine.close()
        assert held(opened(again)) == {**found, b"z": b"1"}


class Cut(Exception):
    pass


def play(files, steps, stop, rng):
    """-> (states after each batch, how many were acknowledged) when the power goes at operation `stop`."""

    def fail(operation, name):
        if stop is not None and files.operations >= stop:
            raise Cut

    files.fail = fail
    model, states, acknowledged = {}, [{}], 0
    try:
        engine = opened(files, segment_bytes=600)
        for i, items in enumerate(steps):
            for key, value, _ in items:
                model.pop(key, None) if value is None else model.__setitem__(key, value)
            states.append(dict(model))
            out = []
            engine.put(items, out.append)
            assert out == [None]
            acknowledged = i + 1
            if i % 7 == 6:
                for _ in engine.compact():
                    pass
                assert held(engine) == model
    except Cut:
        pass
    return states, acknowledged


def test_a_frame_that_was_lost_before_one_that_says_it_was_there_is_damage_and_a_torn_group_is_not():
    head = segment_head(1)
    one, two = frame(1, 1, 0, 5, [(b"a", b"1", 0)]), frame(1, 2, 1, 5, [(b"b", b"2", 0)])
    group = frame(1, 2, 0, 5, [(b"b", b"2", 0)])
    for second, good in ((two, False), (group, True)):
        files = SimFiles()
        opened(files).close()
        files.files["00000001.log"].now = bytearray(head + b"\0" * len(one) + second)
        if good:
            assert held(opened(files)) == {}
        else:
            with pytest.raises(StoreError, match="can't be read"):
                opened(files)


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
    rng, now, files = random.Random(seed), Now(), SimFiles()
    engine, model = opened(files, now, segment_bytes=500), {}
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
            engine = opened(files, now, segment_bytes=500)
        else:
            files = files.crash(rng)  # all was acknowledged
            engine = opened(files, now, segment_bytes=500)
        wanted = {k: v for k, (v, expires) in model.items() if not 0 < expires <= now.ms}
        assert held(engine) == wanted
        assert engine.index.bytes == sum(engine.index.cost(k, e[2]) for k, e in engine.index.keys.items())


def test_a_clock_that_steps_back_brings_nothing_back(tmp_path):
    now = Now()
    engine = opened(Files(tmp_path), now)
    run(engine, [[(b"k", b"v", now.ms + 1000)]])
    now.ms += 2000
    assert engine.get(b"k") is None
    run(engine, [[(b"x", b"y", 0)]])
    now.ms -= 1_000_000
    assert engine.get(b"k") is None
    engine.close()
    again = opened(Files(tmp_path), now)
    assert again.get(b"k") is None and again.get(b"x") == b"y"
    again.close()


def test_a_snapshot_stays_as_it_was_while_all_changes_and_is_compacted():
    files = SimFiles()
    engine = opened(files, segment_bytes=600)
    before = run(engine, some_steps(random.Random(3), 30, most=300))[-1]
    view = engine.snapshot()
    after = run(engine, some_steps(random.Random(4), 30, most=300), before)[-1]
    for _ in range(3):
        for _ in engine.compact():
            pass
    assert dict(view.range()) == before and held(engine) == after
    assert {k: view.get(k) for k in before} == before
    view.close()
    segments = len(engine.segments)
    for _ in range(4):
        for _ in engine.compact():
            pass
    assert len(engine.segments) < segments and held(engine) == after


def test_compaction_makes_room_and_deletes_stay_deleted():
    files = SimFiles()
    engine = opened(files, segment_bytes=2000)
    for i in range(300):
        engine.put([(b"k%d" % (i % 10), b"v" * 100, 0), (b"gone%d" % i, b"x", 0)])
        engine.put([(b"gone%d" % i, None, 0)])
    size = sum(len(f.now) for n, f in files.files.items() if n.endswith(".log"))
    for _ in range(60):
        for _ in engine.compact():
            pass
    now = sum(len(f.now) for n, f in files.files.items() if n.endswith(".log"))
    assert now < size / 8 and len(held(engine)) == 10
    engine.close()
    assert len(held(opened(files))) == 10


def test_what_is_put_while_a_compaction_waits_for_room_is_not_overwritten_by_its_copy(monkeypatch):
    from lapiswing.store import engine as module

    files = SimFiles()
    engine = opened(files, segment_bytes=600)
    run(engine, [[(b"k%d" % i, b"old" * 50, 0)] for i in range(10)])
    work, jobs = engine.compact(), []
    next(work)
    real = engine.worker.submit
    engine.worker.submit = lambda job, done: jobs.append((job, done))  # a disk that takes its time
    monkeypatch.setattr(module, "MOST_WAITING", 1000)
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
    again = opened(files)
    assert [again.get(b"k%d" % i) for i in range(4)] == [b"new", b"new", b"new", b"old" * 50]


class Failing:
    def __init__(self, *what):
        self.what, self.on = what, False

    def __call__(self, operation, name):
        if self.on and operation in self.what:
            raise OSError(
                self.errno, {28: "No space left on device", 5: "Input/output error", 30: "Read-only file system"}[self.errno]
            )


@pytest.mark.parametrize("errno,mode", [(28, "full"), (5, "failed"), (30, "failed")])
@pytest.mark.parametrize("what", ["write", "sync"])
def test_what_can_not_be_written_is_not_claimed(errno, mode, what):
    files, now = SimFiles(), Now()
    engine = opened(files, now)
    states = run(engine, some_steps(random.Random(2), 10))
    fail = files.fail = Failing(what)
    fail.errno, fail.on = errno, True
    out = []
    engine.put([(b"k1", b"new", 0), (b"lost", b"x", 0)], out.append)
    assert out and out[0] and engine.mode == mode and held(engine) == states[-1]
    engine.put([(b"more", b"x", 0)], out.append)
    assert len(out) == 2 and out[1] and engine.counts["refused"] == 1
    fail.on = False
    now.ms += 5000
    engine.put([(b"later", b"x", 0)], out.append)
    if mode == "full":
        assert out[2] is None and held(engine) == {**states[-1], b"later": b"x"}
    else:
        assert out[2]  # after a failed sync nobody knows what is on the disk
    engine.close()
    files.fail = None
    found = held(opened(files, now))
    assert found in (states[-1], {**states[-1], b"later": b"x"}) or mode == "failed"
    assert found.items() >= {k: v for k, v in states[-1].items() if k != b"k1"}.items()


def test_a_roll_that_fails_half_way_and_goes_on(tmp_path):
    for at in range(12):
        files, now = SimFiles(), Now()
        engine = opened(files, now, segment_bytes=300)
        model = run(engine, [[(b"a", b"x" * 280, 0)]])[-1]
        start, seen = files.operations, []

        def fail(operation, name, start=start, at=at, seen=seen):
            if files.operations == start + at + 1 and not seen:
                seen.append(operation)
                raise OSError(28, "No space left on device")

        files.fail = fail
        out = []
        engine.put([(b"b", b"1", 0)], out.append)
        now.ms += 5000
        engine.put([(b"c", b"2", 0)], out.append)
        model = {**model, **({} if out[0] else {b"b": b"1"}), **({} if out[1] else {b"c": b"2"})}
        assert held(engine) == model
        files.fail = None
        crashed = files.crash(random.Random(at))
        assert held(opened(crashed)) == model, at


def test_files_of_another_kind_a_later_version_and_a_missing_manifest(tmp_path):
    files = Files(tmp_path)
    run(opened(files), [[(b"k", b"v", 0)]])
    for name, change, kind in (
        ("MANIFEST", lambda d: d[:4] + b"\x00\x63" + d[6:], "newer"),
        ("MANIFEST", lambda d: d[:-1], "damaged"),
        ("00000001.log", lambda d: segment_head(2) + d[16:], "damaged"),
    ):
        keep = (tmp_path / name).read_bytes()
        (tmp_path / name).write_bytes(change(keep))
        with pytest.raises(StoreError) as problem:
            opened(Files(tmp_path / "."))
        assert problem.value.kind == kind and problem.value.file == name
        (tmp_path / name).write_bytes(keep)
    (tmp_path / "MANIFEST").unlink()
    with pytest.raises(StoreError, match="is missing, but there are segments"):
        opened(Files(tmp_path))


def test_formats_check_what_they_read():
    data = frame(3, 7, 6, 9, [(b"k", b"v", 0)])
    assert read_frame(data, 0, 3)[2:6] == (7, 6, 9, [(b"k", b"v", 0)])
    with pytest.raises(Damaged):
        read_frame(data, 0, 4)  # of another segment
    with pytest.raises(Damaged):
        read_outer(outer(b"LWMF", 1), b"LWHT", int)


def test_group_commit_on_the_loop_in_order_and_reads_meanwhile(tmp_path):
    loop = Loop(Clock())
    engine = Engine(Files(tmp_path), Worker(loop)).open()
    out = []
    for i in range(500):
        engine.put([(b"k%d" % (i % 50), b"%d" % i, 0)], lambda why, i=i: out.append((i, why)))
        assert engine.get(b"k%d" % (i % 50)) == b"%d" % i
    assert loop.run_until(lambda: len(out) == 500, 10_000_000)
    assert out == [(i, None) for i in range(500)] and engine.counts["groups"] < 100
    assert threading.active_count() >= 2
    engine.close()
    again = opened(Files(tmp_path))
    assert len(held(again)) == 50
    again.close()
    loop.close()


def test_hints_make_no_difference_to_what_is_found(tmp_path):
    engine = opened(Files(tmp_path), segment_bytes=2000)
    states = run(engine, some_steps(random.Random(8), 200, keys=40))
    engine.close()
    again = opened(Files(tmp_path))
    assert again.counts["hints used"] > 5 and held(again) == states[-1]
    again.close()
    for path in tmp_path.glob("*.hint"):
        path.unlink()
    again = opened(Files(tmp_path))
    assert again.counts["hints used"] == 0 and held(again) == states[-1]
    again.close()


# ---- tools


def command(*args):
    from click.testing import CliRunner

    from lapiswing.cli.main import main

    result = CliRunner().invoke(main, ["store", *map(str, args)])
    return result.exit_code, result.output


def filled(folder, n=80):
    engine = opened(Files(folder), segment_bytes=2000)
    states = run(engine, some_steps(random.Random(11), n, keys=30))
    engine.close()
    return states


def test_verify_dump_and_compact(tmp_path):
    import json

    states = filled(tmp_path / "s")
    code, text = command("verify", tmp_path / "s", "--json")
    assert code == 0 and json.loads(text)["ok"] and json.loads(text)["frames"] == 80
    rows = [json.loads(line) for line in command("dump", tmp_path / "s")[1].splitlines()]
    assert {r["key"] for r in rows} == {k.decode() for k in states[-1]}
    code, text = command("compact", tmp_path / "s")
    assert code == 0 and int(text.split()[0]) > int(text.split()[-2])
    engine = opened(Files(tmp_path / "s"))
    assert held(engine) == states[-1]
    assert command("verify", tmp_path / "s") == (
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
    assert command("verify", tmp_path / "s")[0] == 1
    with pytest.raises(StoreError):
        opened(Files(tmp_path / "s"))
    code, text = command("repair", tmp_path / "s", "--keep", tmp_path / "kept")
    assert code == 0 and logs[3].name in text and "nothing after it is taken" in text
    engine = opened(Files(tmp_path / "s"))
    found = held(engine)
    assert found in states and found != states[-1] and found != {}
    run(engine, [[(b"new", b"1", 0)]])
    engine.close()
    assert command("verify", tmp_path / "s")[0] == 0
    assert bytes(data) == (tmp_path / "kept" / logs[3].name).read_bytes()
    assert command("repair", tmp_path / "s", "--keep", tmp_path / "kept")[0] == 1  # never over what is kept


def test_repair_without_a_manifest(tmp_path):
    states = filled(tmp_path / "s", 30)
    (tmp_path / "s" / "MANIFEST").unlink()
    assert command("repair", tmp_path / "s", "--keep", tmp_path / "kept")[0] == 0
    engine = opened(Files(tmp_path / "s"))
    assert held(engine) == states[-1]
    engine.close()
