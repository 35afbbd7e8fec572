"""The store: puts a second by durability, recovery, space, and what compaction costs reqs.

    python -m benchmarks.store [--part puts|recovery|space|all] [--folder FOLDER]

puts       durable puts one by one and 64 at a time, puts that nobody waits for, beside a bare write+fdatasync loop of the same sizes
recovery   opening with 1 million keys, with and without hints
space      bytes on the disk for each byte that counts, over 60,000 puts at 5,000 a second on 5,000 keys with compaction as the gateway runs it
latency    how late the loop is for its timers beside a compaction of 200,000 keys, as a task and without budgets"""

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
    fd = os.open(os.path.join(folder, "bare"), os.O_CREAT | os.O_WRONLY)
    data, n, end = VALUE + b"x" * 60, 0, time.perf_counter() + seconds
    while time.perf_counter() < end:
        os.write(fd, data)
        os.fdatasync(fd)
        n += 1
    os.close(fd)
    return n / seconds


def puts(folder):
    rows = []
    base = bare(folder)
    rows.append(("bare write and fdatasync, one by one", base))
    for what, waiting, durable in (
        ("durable, one by one", 1, True),
        ("durable, 64 waiting", 64, True),
        ("durable, 1000 waiting", 1000, True),
        ("without syncs, 64 waiting", 64, False),
    ):
        loop = Loop(Clock())
        where = tempfile.mkdtemp(dir=folder)
        engine = Engine(Files(where), Worker(loop), durable=durable).open()
        count, over = [0], [False]

        def again(why, engine=engine, count=count, over=over):
            assert why is None, why
            count[0] += 1
            if not over[0]:
                engine.put([(b"k%d" % (count[0] % 10_000), VALUE, 0)], again)

        start = time.perf_counter()
        for i in range(waiting):
            engine.put([(b"s%d" % i, VALUE, 0)], again)
        loop.run_until(lambda: time.perf_counter() - start > 2.0, 10 * S)
        rate = count[0] / (time.perf_counter() - start)
        over[0] = True
        groups = engine.counts["groups"] / (time.perf_counter() - start)
        engine.close()
        loop.close()
        rows.append((f"{what} ({groups:.0f} groups a second)", rate))
    for what, rate in rows:
        click.echo(f"puts  {what}: {rate:.0f} a second, {rate / base:.2f} of bare")


def recovery(folder, n=1_000_000):
    where = os.path.join(folder, "million")
    engine = Engine(Files(where), InlineWorker(), durable=False).open()
    start = time.perf_counter()
    for at in range(0, n, 500):
        engine.put([(b"k/key-%07d" % i, VALUE[:60], 0) for i in range(at, at + 500)])
    click.echo(
        f"recovery  filled with {n} keys in {time.perf_counter() - start:.1f} s, {sum(engine.sizes.values()) >> 20} MiB, "
        f"{len(engine.segments)} segments"
    )
    engine.close()
    for what in ("with hints", "without hints"):
        if what == "without hints":
            for name in os.listdir(where):
                if name.endswith(".hint"):
                    os.unlink(os.path.join(where, name))
        start = time.perf_counter()
        engine = Engine(Files(where), InlineWorker()).open()
        took = time.perf_counter() - start
        assert len(engine.index.keys) == n
        click.echo(f"recovery  {what}: {took:.2f} s, {engine.counts['hints used']} hints used")
        engine.close()


def space(folder):
    loop = Loop(Clock())
    tasks = Tasks(loop)
    engine = Engine(Files(os.path.join(folder, "space")), Worker(loop), segment_bytes=1 << 20, durable=False).open()
    worst, seen, job = 0.0, [], []
    for i in range(60_000):
        while engine.waiting_bytes > 1 << 20:
            loop.turn(1000)
        assert engine.put([(b"k/%d" % (i * 7919 % 5000), VALUE, 0)])
        if i % 20 == 0:  # 5,000 a second
            loop.run_until(lambda: False, 4000)
        if i % 2000 == 0:
            if engine.wants_compaction() and not tasks.running:
                job.append(tasks.add("compaction", engine.compact(), priority=7, share=0.1))
            if i > 10_000:
                ratio = sum(engine.sizes.values()) / engine.index.bytes
                seen.append(ratio)
                worst = max(worst, ratio)
    click.echo(
        f"space  {sum(seen) / len(seen):.2f} bytes on the disk for each that counts, at most {worst:.2f}; "
        f"{engine.counts['compacted']} segments compacted, {engine.counts['copied']} records copied of 60000 put"
    )
    engine.close()
    loop.close()


def latency(folder):
    """How late a timer of every millisecond is, the stand-in for a req's next event, beside a compaction of 200,000 keys."""
    for what in ("nothing beside it", "compaction as a task", "compaction without budgets"):
        loop = Loop(Clock())
        tasks = Tasks(loop)
        engine = Engine(Files(tempfile.mkdtemp(dir=folder)), Worker(loop), segment_bytes=64 << 20).open()
        done = []
        for at in range(0, 200_000, 500):
            engine.put([(b"k%07d" % i, VALUE, 0) for i in range(at, at + 500)], done.append)
            loop.run_until(lambda: engine.waiting_bytes < 1 << 20, 10 * S)
        loop.run_until(lambda: len(done) == 400, 60 * S)
        engine.segment_bytes = 1  # the next put begins another segment
        engine.put([(b"x", b"y", 0)])
        loop.run_until(lambda: len(engine.segments) == 2 and not engine.busy, 10 * S)
        engine.segment_bytes = 64 << 20
        late, over = [], []

        def tick(due):
            now = loop.clock.now_us()
            late.append(now - due)
            loop.call_at(max(due + 1000, now), tick, max(due + 1000, now))

        tick(loop.clock.now_us())

        def greedy(work):
            end = loop.clock.now_us() + 50_000
            for _ in work:
                if loop.clock.now_us() > end:
                    return loop.soon(greedy, work)
            over.append(1)

        if what == "compaction as a task":
            tasks.add("compaction", engine.compact(), priority=7, share=0.1, done=lambda p: over.append(1))
        elif what != "nothing beside it":
            greedy(engine.compact())
        else:
            loop.call_later(3 * S, over.append, 1)
        start = time.perf_counter()
        loop.run_until(lambda: over, 60 * S)
        late.sort()
        click.echo(
            f"latency  {what}: p50 {late[len(late) // 2] / 1000:.2f} ms late, p99 {late[int(len(late) * 0.99)] / 1000:.2f}, "
            f"at most {late[-1] / 1000:.1f}; {time.perf_counter() - start:.1f} s, {engine.counts['copied']} copied"
        )
        engine.close()
        loop.close()


@click.command()
@click.option("--part", default="all")
@click.option("--folder", help="Where to measure; a folder on the disk in question.")
def main(part, folder):
    """The embedded store."""
    place = tempfile.mkdtemp(prefix="lapiswing-store-", dir=folder)
    click.echo(f"# {os.cpu_count()} cores, on {place}")
    try:
        for name, work in (("puts", puts), ("recovery", recovery), ("space", space), ("latency", latency)):
            if part in (name, "all"):
                work(place)
    finally:
        shutil.rmtree(place, ignore_errors=True)


if __name__ == "__main__":
    main()
