"""Opening, group commit, compaction.

    engine = Engine(Files(folder), Worker(loop))
    engine.open()                                     # raises StoreError
    engine.put([(b"key", b"value", 0)], done)         # done(None) once it is on the disk, or done(why): it may not be
    engine.get(b"key")  engine.range(b"a", b"b")  engine.snapshot()

Modes: `good`; `full`: the disk is, writes are refused and tried again now and then; `failed`: a write or sync failed otherwise,
writes are refused until the store is opened anew, for after a failed sync nobody knows what is on the disk; `closed`. Reads go on
in all of them but the last."""

import time
from errno import EDQUOT, ENOSPC
from itertools import islice

from lapiswing.errors import OperatorError
from lapiswing.store.format import (
    FRAME,
    HEAD,
    HINT,
    INLINE,
    MANIFEST,
    Damaged,
    Hint,
    Manifest,
    NewerVersion,
    frame,
    frames,
    outer,
    read_frame,
    read_outer,
    read_segment_head,
    segment_head,
)
from lapiswing.store.index import Index

SEGMENT_BYTES = 4 << 20
GROUP_BYTES = 1 << 20
MOST_WAITING = 8 << 20  # bytes on their way to the disk; more is refused
AGAIN_MS = 2000  # a full disk is tried again after this
SLICE, WALK = 200, 1000  # records copied, keys looked at, in one slice of a compaction
GARBAGE = 0.5  # part of the log that may be garbage before it is compacted
SMALL = 1 << 20  # a log below this is not worth it


class StoreError(OperatorError):
    """`kind`: locked, damaged, newer, io. `file` where it is."""

    advices = {
        "locked": "End the process that has it open, or name another folder in `store.folder`.",
        "damaged": "`lapiswing store verify` names what is damaged, `lapiswing store repair` keeps all that can be read.",
        "newer": "Start the newer program, or name another folder in `store.folder`.",
        "io": "Look at the disk's state and room and at the folder's rights, then try again.",
    }

    def __init__(self, kind, file, text):
        super().__init__(file, text, self.advices[kind])
        self.kind, self.file = kind, file
        self.exit_code = 2 if kind == "locked" else 1


def segment_name(number):
    return f"{number:08d}.log"


def hint_name(number):
    return f"{number:08d}.hint"


def take_lock(files):
    """-> what holds it while it is kept. Raises StoreError."""
    try:
        return files.lock("LOCK")
    except BlockingIOError:
        raise StoreError("locked", "LOCK", "another process has this store open") from None
    except OSError as problem:
        raise StoreError("io", "LOCK", problem.strerror or str(problem)) from None


class Engine:
    def __init__(
        self, files, worker, now_ms=lambda: time.time_ns() // 1_000_000, segment_bytes=SEGMENT_BYTES, log=None, durable=True
    ):
        """`durable` False leaves syncs out: for measurements only."""
        self.files, self.worker, self.wall_clock_ms, self.segment_bytes = files, worker, now_ms, segment_bytes
        self.log, self.sync = log or (lambda event, **fields: None), durable
        self.index, self.fds, self.sizes = Index(), {}, {}
        self.mode, self.why, self.floor_ms, self.retry_at_ms = "closed", None, 0, 0
        self.seq = self.durable = self.generation = 0
        self.waiting, self.waiting_bytes, self.busy, self.held = [], 0, False, None
        self.segments, self.active, self.compacting, self.rows = [], None, False, {}
        self.counts = {
            "puts": 0,
            "groups": 0,
            "refused": 0,
            "compacted": 0,
            "copied": 0,
            "expired": 0,
            "cut bytes": 0,
            "hints used": 0,
        }
        self.pins = []

    def now_ms(self):
        """Never goes back: what was over stays over when the machine's clock steps back."""
        self.floor_ms = max(self.floor_ms, self.wall_clock_ms())
        return self.floor_ms

    # ---- opening

    def open(self):
        """Recovers what is there. Raises StoreError."""
        self.held = take_lock(self.files)
        try:
            names = set(self.files.names())
            if "MANIFEST" in names:
                self.recover(names)
            else:
                logs = [n for n in names if n.endswith(".log")]
                # A first start that was cut has a bare head at most, for the manifest is there before anything is put.
                if logs and (logs != [segment_name(1)] or len(self.files.read(logs[0])) > HEAD.size):
                    raise StoreError(
                        "damaged", "MANIFEST", "is missing, but there are segments; `lapiswing store repair` makes one"
                    )
                self.new_segment(1)
                self.write_manifest([(1, None)])
        except OSError as problem:
            self.let_go()
            raise StoreError("io", problem.filename, problem.strerror or str(problem)) from None
        except StoreError:
            self.let_go()
            raise
        self.mode, self.why = "good", None
        return self

    def recover(self, names):
        try:
            manifest = read_outer(self.files.read("MANIFEST"), MANIFEST, Manifest)
            if not manifest.segments:
                raise Damaged("names no segment")
        except NewerVersion as problem:
            raise StoreError("newer", "MANIFEST", str(problem)) from None
        except Damaged as problem:
            raise StoreError("damaged", "MANIFEST", str(problem)) from None
        self.generation = manifest.generation
        known = {n for n, _ in manifest.segments}
        for name in names:  # what a compaction or a switch left behind when it was cut
            number = name.split(".")[0]
            if name.endswith(".new") or name[-4:] in (".log", "hint") and not (number.isdigit() and int(number) in known):
                self.files.remove(name)
        last = manifest.segments[-1][0]
        self.index.begin_load()
        for number, length in manifest.segments:
            try:
                self.load(number, length, number == last)
            except NewerVersion as problem:
                raise StoreError("newer", segment_name(number), str(problem)) from None
            except Damaged as problem:
                raise StoreError("damaged", segment_name(number), str(problem)) from None
        self.index.end_load()
        self.durable = self.seq

    def load(self, number, length, active):
        name = segment_name(number)
        if active and name not in self.files.names():
            self.new_segment(number)  # it was about to be begun anew after a failed try; nothing was in it
            return
        if not active and self.load_hint(number, length):
            self.fds[number] = self.files.open(name)
            self.sizes[number] = length
            self.segments.append(number)
            return
        data = self.files.read(name)
        if active and len(data) < HEAD.size:
            # Its manifest was written before it, or its head did not reach the disk: nothing can have been in it.
            data = self.rewrite_head(number)
        read_segment_head(data, number)
        if not active and len(data) < length:
            raise Damaged(f"{len(data)} bytes of {length}")
        data = data if active else data[:length]
        end = claims = None
        self.rows = {}
        for found in frames(data, number, self.seq):
            if len(found) == 2:
                end, claims = found
                break
            self.apply(number, found)
        if end < len(data) and (claims or not active):
            raise Damaged(f"at byte {end}: what was on the disk can't be read")
        self.fds[number] = self.files.open(name)
        if end < len(data):
            # A torn end: frames that nobody was told of. Cut off, or they would come to stand behind what is written now.
            self.counts["cut bytes"] += len(data) - end
            self.log("store: a torn end was cut", segment=number, at=end, bytes=len(data) - end)
            self.files.truncate(self.fds[number], end)
            self.files.sync(self.fds[number])
        self.sizes[number] = end
        self.segments.append(number)
        self.active = number

    def rewrite_head(self, number):
        fd = self.files.open(segment_name(number))
        try:
            self.files.truncate(fd, 0)
            self.files.write(fd, 0, segment_head(number))
            self.files.sync(fd)
        finally:
            self.files.close(fd)
        return segment_head(number)

    def load_hint(self, number, length):
        """A hint only saves time: any doubt about it, and the segment is read instead."""
        try:
            hint = read_outer(self.files.read(hint_name(number)), HINT, Hint)
        except (OSError, Damaged):
            return False
        if hint.number != number or hint.length != length:
            return False
        for key, at, size, expires, value in hint.rows:
            if at < 0:
                self.index.remove(key)
            else:
                self.index.put(key, number, at, size, expires, value)
        self.seq, self.floor_ms = max(self.seq, hint.last_seq), max(self.floor_ms, hint.unix_ms)
        self.counts["hints used"] += 1
        return True

    def apply(self, number, found):
        self.seq, self.floor_ms = found.seq, max(self.floor_ms, found.unix_ms)
        for key, value, expires in found.items:
            if value is None:
                self.index.remove(key)
            else:
                self.index.put(key, number, found.at, len(value), expires, value if len(value) <= INLINE else None)
            self.note(key, found.at, value, expires)

    def note(self, key, at, value, expires):
        """For the present segment's hint: what its last word on a key is."""
        self.rows[key] = (-1, 0, 0, None) if value is None else (at, len(value), expires, value if len(value) <= INLINE else None)

    def refuse(self, why):
        """It could not be opened: from now on it holds nothing and takes nothing."""
        self.index, self.mode, self.why = Index(), "failed", why

    # ---- files

    def new_segment(self, number):
        fd = self.begin_segment(number)
        self.files.sync_folder()
        self.fds[number], self.sizes[number], self.active = fd, HEAD.size, number
        self.segments.append(number)

    def write_manifest(self, segments):
        self.generation += 1
        self.files.put("MANIFEST", outer(MANIFEST, Manifest(self.generation, segments, self.seq + 1)))

    def manifest_rows(self):
        return [(n, None if n == self.active else self.sizes[n]) for n in self.segments]

    # ---- reading

    def get(self, key):
        entry = self.index.get(key, self.now_ms())
        return None if entry is None else self.value_of(key, entry)

    def value_of(self, key, entry):
        segment, at, size, _, value = entry
        if value is not None:
            return value
        head = self.files.read_at(self.fds[segment], at, FRAME.size)
        body = self.files.read_at(self.fds[segment], at + FRAME.size, FRAME.unpack(head)[1])
        found = read_frame(head + body, 0, segment)  # checked again: what the disk gives now is not what it gave then
        return next(v for k, v, _ in reversed(found.items) if k == key)

    def range(self, start=b"", end=None):
        """(key, value) in order, `end` not included. What is put meanwhile may or may not be seen; a snapshot is exact."""
        for key, entry in self.index.range(start, end, self.now_ms()):
            yield key, self.value_of(key, entry)

    def snapshot(self):
        return View(self)

    # ---- writing

    def put(self, items, done=None):
        """A batch: (key, value or None to delete, expires unix ms or 0). `done(why)`: None once it is on the disk. -> False where it
        is refused at once (`done` is told too)."""
        size = sum(len(k) + len(v or b"") + 16 for k, v, _ in items)
        if self.mode == "full" and self.wall_clock_ms() >= self.retry_at_ms and not self.busy:
            self.mode = "good"  # the next write finds out
        if self.mode != "good" or self.waiting_bytes + size > MOST_WAITING and self.waiting:
            self.counts["refused"] += 1
            if done:
                done(self.why or "too much waits for the disk")
            return False
        self.seq += 1
        before = [(key, self.index.keys.get(key)) for key, _, _ in items]
        entries = []
        for key, value, expires in items:
            if value is None:
                self.index.remove(key)
                entries.append(None)
            else:
                self.index.put(key, self.active, None, len(value), expires, value)
                entries.append(self.index.keys[key])
        self.waiting.append((self.seq, items, entries, before, done))
        self.waiting_bytes += size
        self.counts["puts"] += 1
        self.flush()
        return True

    def flush(self):
        """Gives all that waits to the disk, as one group; those that come meanwhile make the next."""
        if self.busy or not self.waiting or self.mode != "good":
            return
        group, size = [], 0
        while self.waiting and size < GROUP_BYTES:
            group.append(self.waiting.pop(0))
            size += sum(len(k) + len(v or b"") + 16 for k, v, _ in group[-1][1])
        self.waiting_bytes -= size
        roll = self.sizes[self.active] >= self.segment_bytes
        self.busy = True
        now_ms = self.now_ms()
        first = self.durable
        number = self.active + roll
        at, parts, places = HEAD.size if roll else self.sizes[self.active], [], []
        for seq, items, _, _, _ in group:
            data = frame(number, seq, first, now_ms, items)
            places.append(at)
            parts.append(data)
            at += len(data)
        start, data, old = (HEAD.size if roll else self.sizes[self.active]), b"".join(parts), self.active
        rows = [*self.manifest_rows()[:-1], (old, self.sizes[old]), (number, None)] if roll else None

        def job():
            if roll:
                self.files.sync(self.fds[old])
                fd = self.begin_segment(number)
                self.write_rows(rows)
            else:
                fd = self.fds[number]
            self.files.write(fd, start, data)
            if self.sync:
                self.files.sync(fd)
            return fd

        self.worker.submit(job, lambda fd, problem: self.written(group, places, number, fd, start + len(data), roll, problem))

    def begin_segment(self, number):
        name = segment_name(number)
        if name in self.files.names():  # of an earlier try
            self.files.remove(name)
        fd = self.files.open(name, create=True)
        self.files.write(fd, 0, segment_head(number))
        self.files.sync(fd)
        return fd

    def write_rows(self, rows):
        self.files.sync_folder()
        self.files.put("MANIFEST", outer(MANIFEST, Manifest(self.generation + 1, rows, 0)))

    def written(self, group, places, number, fd, end, roll, problem):
        self.busy = False
        if problem is not None:
            return self.broke(group, problem)
        if roll:
            old = self.active
            self.generation += 1
            self.fds[number], self.active = fd, number
            self.segments.append(number)
            self.write_hint(old)
        self.sizes[number] = end
        self.counts["groups"] += 1
        for (seq, items, entries, _, _), at in zip(group, places):
            self.durable = seq
            for (key, value, expires), entry in zip(items, entries):
                self.note(key, at, value, expires)
                if entry is not None and self.index.keys.get(key) is entry:
                    if entry[0] != number:  # it was put down for the segment before
                        self.index.put(key, number, at, entry[2], entry[3], value if len(value) <= INLINE else None)
                    else:
                        self.index.settle(key, entry, at, value if len(value) <= INLINE else None)
        for _, _, _, _, done in group:
            if done:
                done(None)
        self.flush()

    def broke(self, group, problem):
        """Nothing of the group, nor of what waits, is claimed. What the index said before counts again."""
        full = problem.errno in (ENOSPC, EDQUOT)
        self.why = problem.strerror or str(problem)
        self.mode, self.retry_at_ms = "full" if full else "failed", self.wall_clock_ms() + AGAIN_MS
        self.log("store: " + ("the disk is full" if full else "writing failed"), why=self.why)
        lost, self.waiting, self.waiting_bytes = group + self.waiting, [], 0
        for _, _, _, before, _ in reversed(lost):
            for key, entry in before:
                if entry is None:
                    self.index.remove(key)
                else:
                    self.index.put(key, *entry)
        # Frames of the group may be on the disk in part. The next write goes to the same place and covers them; their numbers
        # are given again, so that the order has no gap.
        self.seq = self.durable
        if full:
            try:
                self.files.truncate(self.fds[self.active], self.sizes[self.active])
            except OSError as worse:
                self.mode, self.why = "failed", worse.strerror
        for _, _, _, _, done in lost:
            if done:
                done(self.why)

    # ---- hints

    def write_hint(self, number):
        """Of a segment that is closed: the last word on each of its keys, whatever came after it elsewhere, for that may be lost."""
        rows, self.rows = self.rows, {}
        hint = (number, self.sizes[number], self.durable, self.floor_ms)

        def job():
            self.files.put(hint_name(number), outer(HINT, Hint(*hint, [(k, *row) for k, row in rows.items()])))

        self.worker.submit(job, lambda _, problem: None)  # without it the start only takes longer

    # ---- compaction

    def garbage(self):
        """Part of the log's bytes that counts no more."""
        total = sum(self.sizes.values())
        return 0.0 if total < SMALL else max(0.0, 1 - self.index.bytes / total)

    def wants_compaction(self):
        return len(self.segments) > 1 and not self.compacting and self.mode == "good" and self.garbage() > GARBAGE

    def compact(self):
        """A generator: a slice of work each time it is advanced. The oldest segment's entries that still count are written again at
        the end; when they are on the disk, a manifest without the segment is. Cut anywhere, both are there, or the copy alone. The
        oldest first, for only there a delete has nothing older left to undo."""
        if len(self.segments) < 2 or any(self.segments[0] in view.pinned for view in self.pins):
            return
        self.compacting = True
        try:
            number = self.segments[0]
            ends, sent, after = [], 0, None
            while True:
                # One walk over all keys, some at a time: what is put behind it meanwhile lies in a later segment.
                keys = list(islice(self.index.keys.irange(after, None, (after is None, True)), WALK))
                if not keys:
                    break
                after = keys[-1]
                keys = [k for k in keys if self.index.keys[k][0] == number]
                while keys:
                    while self.waiting_bytes > MOST_WAITING // 4:
                        yield False
                    # Looked up and put without a pause between: what is put by others meanwhile must not be overwritten.
                    items, now_ms = [], self.now_ms()
                    for key in keys[:SLICE]:
                        entry = self.index.keys.get(key)
                        if entry is None or entry[0] != number:
                            continue  # put or deleted since
                        if 0 < entry[3] <= now_ms:
                            items.append((key, None, 0))
                        else:
                            items.append((key, self.value_of(key, entry), entry[3]))
                    if items and not (self.mode == "good" and self.put(items, ends.append)):
                        yield False  # the disk is full
                        if self.mode in ("failed", "closed"):
                            return
                        continue
                    del keys[:SLICE]
                    sent += bool(items)
                    self.counts["copied"] += len(items)
                    yield sum(len(k) + len(v or b"") for k, v, _ in items)
                yield
            while len(ends) < sent:
                yield False
            if any(why is not None for why in ends):
                return
            if self.index.live.get(number, 0) or any(number in v.pinned for v in self.pins):
                return  # a snapshot still reads there; another time
            while self.busy:
                yield False
            rows = [r for r in self.manifest_rows() if r[0] != number]
            state = []
            self.busy = True

            def job():
                self.write_rows(rows)

            def switched(_, problem):
                self.busy = False
                state.append(problem)
                self.flush()

            self.worker.submit(job, switched)
            while not state:
                yield False
            if state[0] is not None:
                self.log("store: no new manifest", why=str(state[0]))
                return
            self.generation += 1
            self.segments.remove(number)
            self.files.close(self.fds.pop(number))
            del self.sizes[number]
            self.index.live.pop(number, None)
            self.counts["compacted"] += 1

            def clear():
                for name in (segment_name(number), hint_name(number)):
                    try:
                        self.files.remove(name)
                    except FileNotFoundError:
                        pass

            self.worker.submit(clear, lambda _, problem: None)
        finally:
            self.compacting = False

    def expire(self, most=500):
        """A generator: deletes what is over, some at a time."""
        after = None
        while True:
            keys, after = self.index.expired(self.now_ms(), after, most)
            if keys:
                self.counts["expired"] += len(keys)
                self.put([(k, None, 0) for k in keys])
            if after is None:
                return
            yield

    # ---- the end

    def let_go(self):
        for fd in self.fds.values():
            self.files.close(fd)
        self.fds = {}
        if self.held is not None:
            self.held.close()
            self.held = None

    def close(self):
        """What was put is written first."""
        if self.mode == "closed":
            return
        self.flush()
        self.worker.close()
        self.mode, self.why = "closed", "closed"
        self.let_go()


class View:
    """A snapshot: the store as it was. `close` it, for its segments are kept until then."""

    def __init__(self, engine):
        self.engine, self.at_ms, self.seen = engine, engine.now_ms(), engine.index.snapshot()
        self.pinned = set(engine.segments)
        engine.pins.append(self)

    def get(self, key):
        entry = self.seen.get(key, self.at_ms)
        return None if entry is None else self.engine.value_of(key, entry)

    def range(self, start=b"", end=None):
        for key, entry in self.seen.range(start, end, self.at_ms):
            yield key, self.engine.value_of(key, entry)

    def close(self):
        self.seen.close()
        if self in self.engine.pins:
            self.engine.pins.remove(self)
