"""The store engine: opening and recovery, group commit, compaction.

    engine = Engine(Files(folder), Worker(loop))
    engine.open()                                     # raises StoreError
    engine.put([(b"key", b"value", 0)], done)         # done(None) once it is durable, done(why) if it may not be
    engine.get(b"key")  engine.range(b"a", b"b")  engine.snapshot()

Modes:
    good      reads and writes are accepted
    full      the disk is full: writes are refused, and one is attempted again every FULL_DISK_RETRY_MS
    failed    a write or sync failed for another reason: writes are refused until the store is opened again, because after a
              failed sync the contents of the disk are unknown
    closed    neither reads nor writes"""

import time
from errno import EDQUOT, ENOSPC
from itertools import islice

from lapiswing.errors import OperatorError
from lapiswing.store.format import (
    FRAME_HEADER,
    HINT_MAGIC,
    INLINE_VALUE_BYTES,
    MANIFEST_MAGIC,
    SEGMENT_HEADER,
    Damaged,
    Hint,
    Manifest,
    NewerVersion,
    check_segment_header,
    decode_file,
    encode_file,
    encode_frame,
    encode_segment_header,
    read_frame,
    read_frames,
)
from lapiswing.store.index import Index

SEGMENT_BYTES = 4 << 20  # a new segment is started once the active one has this size
MAX_GROUP_BYTES = 1 << 20  # written to the disk in one group commit
MAX_WAITING_BYTES = 8 << 20  # waiting to be written; further batches are refused
FULL_DISK_RETRY_MS = 2000
COPY_SLICE_RECORDS, SCAN_SLICE_KEYS = 200, 1000  # per slice of a compaction
MAX_GARBAGE_FRACTION = 0.5  # of the log; compaction starts above it
MIN_COMPACTION_BYTES = 1 << 20  # a smaller log is not compacted


class StoreError(OperatorError):
    """The store can't be opened or read. `kind`: locked, damaged, newer or io; `file`: the file concerned."""

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
    """File name of a segment."""
    return f"{number:08d}.log"


def hint_name(number):
    """File name of a segment's hint file."""
    return f"{number:08d}.hint"


def acquire_lock(files):
    """Returns the open lock file; closing it releases the lock. Raises StoreError."""
    try:
        return files.lock("LOCK")
    except BlockingIOError:
        raise StoreError("locked", "LOCK", "another process has this store open") from None
    except OSError as problem:
        raise StoreError("io", "LOCK", problem.strerror or str(problem)) from None


class Engine:
    """A store in a folder of segment files. See the module's doc comment for its use."""

    def __init__(
        self, files, worker, now_ms=lambda: time.time_ns() // 1_000_000, segment_bytes=SEGMENT_BYTES, log=None, durable=True
    ):
        """`now_ms`: wall clock in unix ms. `durable=False` omits syncs; for measurements only."""
        self.files, self.worker, self.wall_clock_ms, self.segment_bytes = files, worker, now_ms, segment_bytes
        self.log, self.sync_writes = log or (lambda event, **fields: None), durable
        self.index, self.fds, self.sizes = Index(), {}, {}
        self.mode, self.why, self.floor_ms, self.retry_at_ms = "closed", None, 0, 0
        self.seq = self.durable_seq = self.generation = 0
        self.waiting, self.waiting_bytes, self.busy, self.held = [], 0, False, None
        self.segments, self.active, self.compacting, self.hint_rows = [], None, False, {}
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
        self.open_views = []

    def now_ms(self):
        """Wall clock that never goes back, so that expired entries stay expired when this machine's clock is set back."""
        self.floor_ms = max(self.floor_ms, self.wall_clock_ms())
        return self.floor_ms

    # ---- opening and recovery

    def open(self):
        """Opens the folder and recovers its contents; creates an empty store in an empty folder. Raises StoreError."""
        self.held = acquire_lock(self.files)
        try:
            names = set(self.files.names())
            if "MANIFEST" in names:
                self.recover(names)
            else:
                logs = [n for n in names if n.endswith(".log")]
                # An interrupted first start leaves at most a bare header: the manifest is written before any data.
                if logs and (logs != [segment_name(1)] or len(self.files.read(logs[0])) > SEGMENT_HEADER.size):
                    raise StoreError(
                        "damaged", "MANIFEST", "is missing, but there are segments; `lapiswing store repair` creates one"
                    )
                self.start_segment(1)
                self.write_manifest([(1, None)])
        except OSError as problem:
            self.release_files()
            raise StoreError("io", problem.filename, problem.strerror or str(problem)) from None
        except StoreError:
            self.release_files()
            raise
        self.mode, self.why = "good", None
        return self

    def recover(self, names):
        """Loads the segments that the manifest lists and deletes files that it does not list."""
        try:
            manifest = decode_file(self.files.read("MANIFEST"), MANIFEST_MAGIC, Manifest)
            if not manifest.segments:
                raise Damaged("lists no segment")
        except NewerVersion as problem:
            raise StoreError("newer", "MANIFEST", str(problem)) from None
        except Damaged as problem:
            raise StoreError("damaged", "MANIFEST", str(problem)) from None
        self.generation = manifest.generation
        known = {n for n, _ in manifest.segments}
        for name in names:  # left behind by an interrupted compaction or segment switch
            number = name.split(".")[0]
            if name.endswith(".new") or name[-4:] in (".log", "hint") and not (number.isdigit() and int(number) in known):
                self.files.remove(name)
        last = manifest.segments[-1][0]
        self.index.begin_load()
        for number, length in manifest.segments:
            try:
                self.load_segment(number, length, number == last)
            except NewerVersion as problem:
                raise StoreError("newer", segment_name(number), str(problem)) from None
            except Damaged as problem:
                raise StoreError("damaged", segment_name(number), str(problem)) from None
        self.index.end_load()
        self.durable_seq = self.seq

    def load_segment(self, number, length, active):
        """Adds a segment to the index, from its hint file where possible. Raises Damaged."""
        name = segment_name(number)
        if active and name not in self.files.names():
            self.start_segment(number)  # removed to be created again after a failed attempt; it held no data
            return
        if not active and self.load_hint(number, length):
            self.fds[number] = self.files.open(name)
            self.sizes[number] = length
            self.segments.append(number)
            return
        data = self.files.read(name)
        if active and len(data) < SEGMENT_HEADER.size:
            # The manifest reached the disk before the segment's header did: the segment can't hold any data.
            data = self.reset_segment_header(number)
        check_segment_header(data, number)
        if not active and len(data) < length:
            raise Damaged(f"{len(data)} bytes of {length}")
        data = data if active else data[:length]
        end = durable_frame_lost = None
        self.hint_rows = {}
        for item in read_frames(data, number, self.seq):
            if len(item) == 2:
                end, durable_frame_lost = item
                break
            self.replay_frame(number, item)
        if end < len(data) and (durable_frame_lost or not active):
            raise Damaged(f"at byte {end}: data that was on the disk can't be read")
        self.fds[number] = self.files.open(name)
        if end < len(data):
            # A torn end: frames that were never acknowledged. They are cut off because new frames are appended here.
            self.counts["cut bytes"] += len(data) - end
            self.log("store: a torn end was cut", segment=number, at=end, bytes=len(data) - end)
            self.files.truncate(self.fds[number], end)
            self.files.sync(self.fds[number])
        self.sizes[number] = end
        self.segments.append(number)
        self.active = number

    def reset_segment_header(self, number):
        """Reduces a segment to its header and returns the header."""
        fd = self.files.open(segment_name(number))
        try:
            self.files.truncate(fd, 0)
            self.files.write(fd, 0, encode_segment_header(number))
            self.files.sync(fd)
        finally:
            self.files.close(fd)
        return encode_segment_header(number)

    def load_hint(self, number, length):
        """Adds a closed segment to the index from its hint file. Returns False if the hint is missing or unusable; the segment
        itself is then read instead."""
        try:
            hint = decode_file(self.files.read(hint_name(number)), HINT_MAGIC, Hint)
        except (OSError, Damaged):
            return False
        if hint.number != number or hint.length != length:
            return False
        for key, offset, size, expires, value in hint.rows:
            if offset < 0:
                self.index.remove(key)
            else:
                self.index.put(key, number, offset, size, expires, value)
        self.seq, self.floor_ms = max(self.seq, hint.last_seq), max(self.floor_ms, hint.unix_ms)
        self.counts["hints used"] += 1
        return True

    def replay_frame(self, number, frame):
        """Applies a frame read from a segment to the index."""
        self.seq, self.floor_ms = frame.seq, max(self.floor_ms, frame.unix_ms)
        for key, value, expires in frame.items:
            if value is None:
                self.index.remove(key)
            else:
                self.index.put(key, number, frame.at, len(value), expires, value if len(value) <= INLINE_VALUE_BYTES else None)
            self.set_hint_row(key, frame.at, value, expires)

    def set_hint_row(self, key, offset, value, expires):
        """Records the last operation on a key in the active segment, for its hint file. Offset -1 marks a deletion."""
        self.hint_rows[key] = (
            (-1, 0, 0, None)
            if value is None
            else (offset, len(value), expires, value if len(value) <= INLINE_VALUE_BYTES else None)
        )

    def refuse(self, why):
        """Marks a store that could not be opened: it is empty and refuses writes."""
        self.index, self.mode, self.why = Index(), "failed", why

    # ---- files

    def start_segment(self, number):
        """Creates a segment and makes it the active one."""
        fd = self.create_segment_file(number)
        self.files.sync_folder()
        self.fds[number], self.sizes[number], self.active = fd, SEGMENT_HEADER.size, number
        self.segments.append(number)

    def write_manifest(self, segments):
        """Replaces the manifest. `segments`: [(number, length)]; the active one, with length None, is last."""
        self.generation += 1
        self.files.put("MANIFEST", encode_file(MANIFEST_MAGIC, Manifest(self.generation, segments, self.seq + 1)))

    def manifest_rows(self):
        """The present segments as the manifest lists them."""
        return [(n, None if n == self.active else self.sizes[n]) for n in self.segments]

    # ---- reading

    def get(self, key):
        """The value of a key, or None. Raises OSError, and Damaged where the value on the disk can't be read."""
        entry = self.index.get(key, self.now_ms())
        return None if entry is None else self.value_of(key, entry)

    def value_of(self, key, entry):
        """The value of an index entry, read from the disk unless it is kept in memory. Raises OSError, Damaged."""
        segment, offset, size, _, value = entry
        if value is not None:
            return value
        header = self.files.read_at(self.fds[segment], offset, FRAME_HEADER.size)
        body = self.files.read_at(self.fds[segment], offset + FRAME_HEADER.size, FRAME_HEADER.unpack(header)[1])
        frame = read_frame(header + body, 0, segment)  # checks the checksum: the disk may have changed since recovery
        return next(v for k, v, _ in reversed(frame.items) if k == key)

    def range(self, start=b"", end=None):
        """Yields (key, value) in key order, `end` excluded. Concurrent puts may or may not be included; use a snapshot for an
        exact view."""
        for key, entry in self.index.range(start, end, self.now_ms()):
            yield key, self.value_of(key, entry)

    def snapshot(self):
        """A read-only view of the present contents; must be closed."""
        return SnapshotView(self)

    # ---- writing

    def put(self, items, done=None):
        """Writes a batch atomically. `items`: (key, value or None to delete, expiry in unix ms or 0). `done(why)` is called with
        None once the batch is durable, else with the reason. Returns False if it is refused at once (`done` is called too)."""
        size = sum(len(k) + len(v or b"") + 16 for k, v, _ in items)
        if self.mode == "full" and self.wall_clock_ms() >= self.retry_at_ms and not self.busy:
            self.mode = "good"  # if the disk is still full, this write fails
        if self.mode != "good" or self.waiting_bytes + size > MAX_WAITING_BYTES and self.waiting:
            self.counts["refused"] += 1
            if done:
                done(self.why or "too many bytes wait for the disk")
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
        """Writes the waiting batches as one group, up to MAX_GROUP_BYTES. Batches that arrive meanwhile form the next group."""
        if self.busy or not self.waiting or self.mode != "good":
            return
        group, size = [], 0
        while self.waiting and size < MAX_GROUP_BYTES:
            group.append(self.waiting.pop(0))
            size += sum(len(k) + len(v or b"") + 16 for k, v, _ in group[-1][1])
        self.waiting_bytes -= size
        starts_segment = self.sizes[self.active] >= self.segment_bytes
        self.busy = True
        now_ms = self.now_ms()
        durable_before = self.durable_seq
        number = self.active + starts_segment
        offset, parts, offsets = SEGMENT_HEADER.size if starts_segment else self.sizes[self.active], [], []
        for seq, items, _, _, _ in group:
            data = encode_frame(number, seq, durable_before, now_ms, items)
            offsets.append(offset)
            parts.append(data)
            offset += len(data)
        start, data, old = (SEGMENT_HEADER.size if starts_segment else self.sizes[self.active]), b"".join(parts), self.active
        rows = [*self.manifest_rows()[:-1], (old, self.sizes[old]), (number, None)] if starts_segment else None

        def job():
            if starts_segment:
                self.files.sync(self.fds[old])
                fd = self.create_segment_file(number)
                self.write_next_manifest(rows)
            else:
                fd = self.fds[number]
            self.files.write(fd, start, data)
            if self.sync_writes:
                self.files.sync(fd)
            return fd

        self.worker.submit(
            job, lambda fd, problem: self.on_group_written(group, offsets, number, fd, start + len(data), starts_segment, problem)
        )

    def create_segment_file(self, number):
        """Creates a segment file with its header. Returns its descriptor. Runs on the worker."""
        name = segment_name(number)
        if name in self.files.names():  # left by a failed attempt
            self.files.remove(name)
        fd = self.files.open(name, create=True)
        self.files.write(fd, 0, encode_segment_header(number))
        self.files.sync(fd)
        return fd

    def write_next_manifest(self, rows):
        """Writes the next generation of the manifest. Runs on the worker; the caller increments `generation` afterwards."""
        self.files.sync_folder()
        self.files.put("MANIFEST", encode_file(MANIFEST_MAGIC, Manifest(self.generation + 1, rows, 0)))

    def on_group_written(self, group, offsets, number, fd, end, starts_segment, problem):
        """The worker has written a group, or failed with `problem`."""
        self.busy = False
        if problem is not None:
            return self.on_group_failed(group, problem)
        if starts_segment:
            old = self.active
            self.generation += 1
            self.fds[number], self.active = fd, number
            self.segments.append(number)
            self.write_hint(old)
        self.sizes[number] = end
        self.counts["groups"] += 1
        for (seq, items, entries, _, _), offset in zip(group, offsets):
            self.durable_seq = seq
            for (key, value, expires), entry in zip(items, entries):
                self.set_hint_row(key, offset, value, expires)
                if entry is not None and self.index.keys.get(key) is entry:
                    if entry[0] != number:  # it was entered under the previous segment
                        self.index.put(
                            key, number, offset, entry[2], entry[3], value if len(value) <= INLINE_VALUE_BYTES else None
                        )
                    else:
                        self.index.set_location(key, entry, offset, value if len(value) <= INLINE_VALUE_BYTES else None)
        for _, _, _, _, done in group:
            if done:
                done(None)
        self.flush()

    def on_group_failed(self, group, problem):
        """Fails the group and all waiting batches, and restores the index to its state before them."""
        full = problem.errno in (ENOSPC, EDQUOT)
        self.why = problem.strerror or str(problem)
        self.mode, self.retry_at_ms = "full" if full else "failed", self.wall_clock_ms() + FULL_DISK_RETRY_MS
        self.log("store: " + ("the disk is full" if full else "writing failed"), why=self.why)
        failed_batches, self.waiting, self.waiting_bytes = group + self.waiting, [], 0
        for _, _, _, before, _ in reversed(failed_batches):
            for key, entry in before:
                if entry is None:
                    self.index.remove(key)
                else:
                    self.index.put(key, *entry)
        # Some frames of the group may have reached the disk. The next write overwrites them at the same offset and reuses their
        # sequence numbers, so that the sequence has no gap.
        self.seq = self.durable_seq
        if full:
            try:
                self.files.truncate(self.fds[self.active], self.sizes[self.active])
            except OSError as truncate_problem:
                self.mode, self.why = "failed", truncate_problem.strerror
        for _, _, _, _, done in failed_batches:
            if done:
                done(self.why)

    # ---- hint files

    def write_hint(self, number):
        """Writes the hint file of a closed segment: the last operation on each of its keys. Later segments are not taken into
        account, because they may be lost."""
        rows, self.hint_rows = self.hint_rows, {}
        hint = (number, self.sizes[number], self.durable_seq, self.floor_ms)

        def job():
            self.files.put(hint_name(number), encode_file(HINT_MAGIC, Hint(*hint, [(k, *row) for k, row in rows.items()])))

        self.worker.submit(job, lambda _, problem: None)  # without a hint, opening only takes longer

    # ---- compaction

    def garbage_fraction(self):
        """Fraction of the log's bytes that is no longer referenced by the index."""
        total = sum(self.sizes.values())
        return 0.0 if total < MIN_COMPACTION_BYTES else max(0.0, 1 - self.index.bytes / total)

    def wants_compaction(self):
        """Whether `compact` should be run now."""
        return (
            len(self.segments) > 1
            and not self.compacting
            and self.mode == "good"
            and self.garbage_fraction() > MAX_GARBAGE_FRACTION
        )

    def compact(self):
        """Compacts the oldest segment. A generator that does one slice of work per step; it yields the bytes copied, or False
        while it waits for the disk.

        Live entries of the oldest segment are appended to the active one; once they are durable, a manifest without the old
        segment is written. A crash at any point leaves either both copies or the new one. Only the oldest segment can be
        compacted: its deletions can be dropped because no older segment holds a value that would reappear."""
        if len(self.segments) < 2 or any(self.segments[0] in view.pinned_segments for view in self.open_views):
            return
        self.compacting = True
        try:
            number = self.segments[0]
            results, batches, after = [], 0, None
            while True:
                # One pass over all keys in slices. Keys put behind the scan position meanwhile are in a later segment.
                keys = list(islice(self.index.keys.irange(after, None, (after is None, True)), SCAN_SLICE_KEYS))
                if not keys:
                    break
                after = keys[-1]
                keys = [k for k in keys if self.index.keys[k][0] == number]
                while keys:
                    while self.waiting_bytes > MAX_WAITING_BYTES // 4:
                        yield False
                    # Entries are looked up and put without yielding in between, so that a concurrent put is not overwritten.
                    items, now_ms = [], self.now_ms()
                    for key in keys[:COPY_SLICE_RECORDS]:
                        entry = self.index.keys.get(key)
                        if entry is None or entry[0] != number:
                            continue  # replaced or deleted meanwhile
                        if 0 < entry[3] <= now_ms:
                            items.append((key, None, 0))
                        else:
                            items.append((key, self.value_of(key, entry), entry[3]))
                    if items and not (self.mode == "good" and self.put(items, results.append)):
                        yield False  # the disk is full
                        if self.mode in ("failed", "closed"):
                            return
                        continue
                    del keys[:COPY_SLICE_RECORDS]
                    batches += bool(items)
                    self.counts["copied"] += len(items)
                    yield sum(len(k) + len(v or b"") for k, v, _ in items)
                yield
            while len(results) < batches:
                yield False
            if any(why is not None for why in results):
                return
            if self.index.live_bytes.get(number, 0) or any(number in v.pinned_segments for v in self.open_views):
                return  # a snapshot still reads from it; a later compaction removes it
            while self.busy:
                yield False
            rows = [r for r in self.manifest_rows() if r[0] != number]
            switch_results = []
            self.busy = True

            def job():
                self.write_next_manifest(rows)

            def on_manifest_written(_, problem):
                self.busy = False
                switch_results.append(problem)
                self.flush()

            self.worker.submit(job, on_manifest_written)
            while not switch_results:
                yield False
            if switch_results[0] is not None:
                self.log("store: no new manifest", why=str(switch_results[0]))
                return
            self.generation += 1
            self.segments.remove(number)
            self.files.close(self.fds.pop(number))
            del self.sizes[number]
            self.index.live_bytes.pop(number, None)
            self.counts["compacted"] += 1

            def remove_files():
                for name in (segment_name(number), hint_name(number)):
                    try:
                        self.files.remove(name)
                    except FileNotFoundError:
                        pass

            self.worker.submit(remove_files, lambda _, problem: None)
        finally:
            self.compacting = False

    def expire(self, max_keys=500):
        """Deletes expired entries. A generator that looks at `max_keys` keys per step."""
        after = None
        while True:
            keys, after = self.index.expired(self.now_ms(), after, max_keys)
            if keys:
                self.counts["expired"] += len(keys)
                self.put([(k, None, 0) for k in keys])
            if after is None:
                return
            yield

    # ---- closing

    def release_files(self):
        """Closes all files and releases the lock."""
        for fd in self.fds.values():
            self.files.close(fd)
        self.fds = {}
        if self.held is not None:
            self.held.close()
            self.held = None

    def close(self):
        """Writes the waiting batches and closes the store."""
        if self.mode == "closed":
            return
        self.flush()
        self.worker.close()
        self.mode, self.why = "closed", "closed"
        self.release_files()


class SnapshotView:
    """A read-only view of the store at one point in time. It must be closed: its segments are kept until then."""

    def __init__(self, engine):
        self.engine, self.at_ms, self.index_snapshot = engine, engine.now_ms(), engine.index.snapshot()
        self.pinned_segments = set(engine.segments)
        engine.open_views.append(self)

    def get(self, key):
        """The value of a key at the time of the snapshot, or None."""
        entry = self.index_snapshot.get(key, self.at_ms)
        return None if entry is None else self.engine.value_of(key, entry)

    def range(self, start=b"", end=None):
        """As Engine.range, at the time of the snapshot."""
        for key, entry in self.index_snapshot.range(start, end, self.at_ms):
            yield key, self.engine.value_of(key, entry)

    def close(self):
        """Allows the segments to be removed."""
        self.index_snapshot.close()
        if self in self.engine.open_views:
            self.engine.open_views.remove(self)
