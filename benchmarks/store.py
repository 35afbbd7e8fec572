"""Benchmarks of the store: puts per second by durability, recovery, disk space, and the effect of compaction on requests.

    python -m benchmarks.store [--part puts|recovery|space|latency|all] [--folder FOLDER]

puts       durable puts one by one and 64 or 1,000 at a time, and puts without syncs, compared with a plain write+fdatasync
           loop of the same sizes
recovery   opening with 1 million keys, with and without hint files
space      bytes on disk per byte of live data, over 60,000 puts at 5,000 per second on 5,000 keys, with compaction as the
           gateway runs it
latency    delay of the loop's timers during a compaction of 200,000 keys, as a background task and without time budgets"""

import os
import shutil
import tempfile
import time

import click

from lapiswing.loop import Clock, Loop
from lapiswing.store import Engine, Files, InlineWorker, Worker
from lapiswing.tasks import Tasks

VALUE = os.urandom(120)
S = 1_000_000


def bare(folder, seconds=2.0):
    """-> synced writes per second without the store."""
    fd = os.open(os.path.join(folder, "bare"), os.O_CREAT | os.O_WRONLY)
    data, count, end_s = VALUE + b"x" * 60, 0, time.perf_counter() + seconds
    while time.perf_counter() < end_s:
        os.write(fd, data)
        os.fdatasync(fd)
        count += 1
    os.close(fd)
    return count / seconds


def puts(folder):
    """Prints the rows of the part `puts`."""
    rows = []
    bare_rate = bare(folder)
    rows.append(("bare write and fdatasync, one by one", bare_rate))
    for what, concurrent, durable in (
        ("durable, one by one", 1, True),
        ("durable, 64 waiting", 64, True),
        ("durable, 1000 waiting", 1000, True),
        ("without syncs, 64 waiting", 64, False),
    ):
        loop = Loop(Clock())
        store_folder = tempfile.mkdtemp(dir=folder)
        engine = Engine(Files(store_folder), Worker(loop), durable=durable).open()
        count, stopped = [0], [False]

        def put_next(why, engine=engine, count=count, stopped=stopped):
            assert why is None, why
            count[0] += 1
            if not stopped[0]:
                engine.put([(b"k%d" % (count[0] % 10_000), VALUE, 0)], put_next)

        start_s = time.perf_counter()
        for index in range(concurrent):
            engine.put([(b"s%d" % index, VALUE, 0)], put_next)
        loop.run_until(lambda: time.perf_counter() - start_s > 2.0, 10 * S)
        rate = count[0] / (time.perf_counter() - start_s)
        stopped[0] = True
        groups_per_s = engine.counts["groups"] / (time.perf_counter() - start_s)
        engine.close()
        loop.close()
        rows.append((f"{what} ({groups_per_s:.0f} groups a second)", rate))
    for what, rate in rows:
        click.echo(f"puts  {what}: {rate:.0f} a second, {rate / bare_rate:.2f} of bare")


def recovery(folder, key_count=1_000_000):
    """Prints the rows of the part `recovery`."""
    store_folder = os.path.join(folder, "million")
    engine = Engine(Files(store_folder), InlineWorker(), durable=False).open()
    start_s = time.perf_counter()
    for first in range(0, key_count, 500):
        engine.put([(b"k/key-%07d" % index, VALUE[:60], 0) for index in range(first, first + 500)])
    click.echo(
        f"recovery  filled with {key_count} keys in {time.perf_counter() - start_s:.1f} s, "
        f"{sum(engine.sizes.values()) >> 20} MiB, {len(engine.segments)} segments"
    )
    engine.close()
    for what in ("with hints", "without hints"):
        if what == "without hints":
            for name in os.listdir(store_folder):
                if name.endswith(".hint"):
                    os.unlink(os.path.join(store_folder, name))
        start_s = time.perf_counter()
        engine = Engine(Files(store_folder), InlineWorker()).open()
        duration_s = time.perf_counter() - start_s
        assert len(engine.index.keys) == key_count
        click.echo(f"recovery  {what}: {duration_s:.2f} s, {engine.counts['hints used']} hints used")
        engine.close()


def space(folder):
    """Prints the row of the part `space`."""
    loop = Loop(Clock())
    tasks = Tasks(loop)
    engine = Engine(Files(os.path.join(folder, "space")), Worker(loop), segment_bytes=1 << 20, durable=False).open()
    max_ratio, ratios, compactions = 0.0, [], []
    for index in range(60_000):
        while engine.waiting_bytes > 1 << 20:
            loop.turn(1000)
        assert engine.put([(b"k/%d" % (index * 7919 % 5000), VALUE, 0)])
        if index % 20 == 0:  # 5,000 a second
            loop.run_until(lambda: False, 4000)
        if index % 2000 == 0:
            if engine.wants_compaction() and not tasks.running:
                compactions.append(tasks.add("compaction", engine.compact(), priority=7, share=0.1))
            if index > 10_000:
                ratio = sum(engine.sizes.values()) / engine.index.bytes
                ratios.append(ratio)
                max_ratio = max(max_ratio, ratio)
    click.echo(
        f"space  {sum(ratios) / len(ratios):.2f} bytes on disk per byte of live data, at most {max_ratio:.2f}; "
        f"{engine.counts['compacted']} segments compacted, {engine.counts['copied']} records copied of 60000 put"
    )
    engine.close()
    loop.close()


def latency(folder):
    """Prints how late a timer of one millisecond fires, in place of the next event of a request, during a compaction of 200,000
    keys."""
    for what in ("nothing beside it", "compaction as a task", "compaction without budgets"):
        loop = Loop(Clock())
        tasks = Tasks(loop)
        engine = Engine(Files(tempfile.mkdtemp(dir=folder)), Worker(loop), segment_bytes=64 << 20).open()
        done = []
        for first in range(0, 200_000, 500):
            engine.put([(b"k%07d" % index, VALUE, 0) for index in range(first, first + 500)], done.append)
            loop.run_until(lambda: engine.waiting_bytes < 1 << 20, 10 * S)
        loop.run_until(lambda: len(done) == 400, 60 * S)
        engine.segment_bytes = 1  # the next put starts a new segment
        engine.put([(b"x", b"y", 0)])
        loop.run_until(lambda: len(engine.segments) == 2 and not engine.busy, 10 * S)
        engine.segment_bytes = 64 << 20
        delays_us, finished = [], []

        def tick(due_us):
            now_us = loop.clock.now_us()
            delays_us.append(now_us - due_us)
            loop.call_at(max(due_us + 1000, now_us), tick, max(due_us + 1000, now_us))

        tick(loop.clock.now_us())

        def run_without_budget(work):
            end_us = loop.clock.now_us() + 50_000
            for _ in work:
                if loop.clock.now_us() > end_us:
                    return loop.soon(run_without_budget, work)
            finished.append(1)

        if what == "compaction as a task":
            tasks.add("compaction", engine.compact(), priority=7, share=0.1, done=lambda task: finished.append(1))
        elif what != "nothing beside it":
            run_without_budget(engine.compact())
        else:
            loop.call_later(3 * S, finished.append, 1)
        start_s = time.perf_counter()
        loop.run_until(lambda: finished, 60 * S)
        delays_us.sort()
        click.echo(
            f"latency  {what}: p50 {delays_us[len(delays_us) // 2] / 1000:.2f} ms late, "
            f"p99 {delays_us[int(len(delays_us) * 0.99)] / 1000:.2f}, "
            f"at most {delays_us[-1] / 1000:.1f}; {time.perf_counter() - start_s:.1f} s, {engine.counts['copied']} copied"
        )
        engine.close()
        loop.close()


@click.command()
@click.option("--part", default="all")
@click.option("--folder", help="Folder for the data, on the disk to be measured.")
def main(part, folder):
    """The embedded store."""
    data_folder = tempfile.mkdtemp(prefix="lapiswing-store-", dir=folder)
    click.echo(f"# {os.cpu_count()} cores, on {data_folder}")
    try:
        for name, work in (("puts", puts), ("recovery", recovery), ("space", space), ("latency", latency)):
            if part in (name, "all"):
                work(data_folder)
    finally:
        shutil.rmtree(data_folder, ignore_errors=True)


if __name__ == "__main__":
    main()
