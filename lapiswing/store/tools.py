"""Inspection and repair of a store that no process has open. Data that can't be read is reported or, by `repair`, left out
together with everything after it; nothing is reconstructed."""

import os
from typing import NamedTuple

from lapiswing.store.engine import Engine, StoreError, acquire_lock, hint_name, segment_name
from lapiswing.store.files import Files
from lapiswing.store.format import (
    HINT_MAGIC,
    MANIFEST_MAGIC,
    SEGMENT_HEADER,
    Damaged,
    Hint,
    Manifest,
    check_segment_header,
    decode_file,
    encode_file,
    read_frames,
)
from lapiswing.store.work import InlineWorker


class Finding(NamedTuple):
    """A problem that `verify` has found in a file."""

    file: str
    bad: bool  # False: harmless, such as a torn end, which is cut off when the store is opened
    text: str


def verify(folder):
    """Reads everything without changing anything. Returns (findings, counts). Raises StoreError of kind locked or io."""
    files = Files(folder)
    lock = acquire_lock(files)
    try:
        return inspect_files(files)
    except OSError as problem:
        raise StoreError("io", problem.filename, problem.strerror or str(problem)) from None
    finally:
        lock.close()


def inspect_files(files):
    """The work of `verify`, with the lock held. Raises OSError."""
    names, findings, counts = set(files.names()), [], {"segments": 0, "frames": 0, "bytes": 0, "hints": 0, "last seq": 0}
    try:
        manifest = decode_file(files.read("MANIFEST"), MANIFEST_MAGIC, Manifest)
    except FileNotFoundError:
        return [Finding("MANIFEST", True, "is missing")], counts
    except Damaged as problem:
        return [Finding("MANIFEST", True, str(problem))], counts
    last, seq = manifest.segments[-1][0], 0
    for number, length in manifest.segments:
        name = segment_name(number)
        if name not in names:
            findings.append(Finding(name, True, "is missing"))
            continue
        data = files.read(name)
        counts["segments"] += 1
        counts["bytes"] += len(data)
        try:
            check_segment_header(data, number)
        except Damaged as problem:
            findings.append(Finding(name, number != last or len(data) > SEGMENT_HEADER.size, str(problem)))
            continue
        data = data if number == last else data[:length]
        if number != last and len(data) < length:
            findings.append(Finding(name, True, f"{len(data)} bytes of {length}"))
        for item in read_frames(data, number, seq):
            if len(item) == 2:
                end, durable_frame_lost = item
                if end < len(data):
                    bad = durable_frame_lost or number != last
                    findings.append(
                        Finding(
                            name,
                            bad,
                            f"from byte {end} on "
                            + ("data that was on the disk can't be read" if bad else f"a torn end of {len(data) - end} bytes"),
                        )
                    )
            else:
                counts["frames"] += 1
                seq = item.seq
        if hint_name(number) in names:
            counts["hints"] += 1
            try:
                decode_file(files.read(hint_name(number)), HINT_MAGIC, Hint)
            except Damaged as problem:
                findings.append(Finding(hint_name(number), False, f"{problem}; the segment is read instead"))
    counts["last seq"] = seq
    return findings, counts


def dump(folder):
    """Yields (key, value, expiry in unix ms or 0) in key order. Raises StoreError."""
    engine = Engine(Files(folder), InlineWorker()).open()
    try:
        for key, entry in engine.index.range(b"", None, engine.now_ms()):
            yield key, engine.value_of(key, entry), entry[3]
    finally:
        engine.close()


def compact(folder):
    """Deletes expired entries and compacts until at most a tenth of the log is garbage. Returns (bytes before, bytes after).
    Raises StoreError."""
    engine = Engine(Files(folder), InlineWorker()).open()
    try:
        before = sum(engine.sizes.values())
        for _ in engine.expire():
            pass
        for _ in range(2 * len(engine.segments)):
            if len(engine.segments) < 2 or engine.index.bytes > 0.9 * sum(engine.sizes.values()):
                break
            for _ in engine.compact():
                pass
        return before, sum(engine.sizes.values())
    finally:
        engine.close()


def repair(folder, backup_folder):
    """Makes a damaged store usable again: keeps everything up to the first byte that can't be read. Later segments are left out
    because they may depend on the lost data. The original files are kept in the new folder `backup_folder`. Returns a line for
    each part that was left out. Raises StoreError."""
    files = Files(folder)
    lock = acquire_lock(files)
    try:
        os.makedirs(backup_folder, exist_ok=False)
        logs = sorted(n for n in files.names() if n.endswith(".log") and n[:-4].isdigit())
        listed = None
        try:
            listed = [segment_name(n) for n, _ in decode_file(files.read("MANIFEST"), MANIFEST_MAGIC, Manifest).segments]
        except (OSError, Damaged):
            pass
        left_out, kept_segments, seq = [], [], 0
        for name in listed or logs:
            if name not in logs:
                left_out.append(f"{name}: is missing; nothing after it is kept")
                break
            data, number, end = files.read(name), int(name[:-4]), SEGMENT_HEADER.size
            try:
                check_segment_header(data, number)
            except Damaged as problem:
                left_out.append(f"{name}: {problem}; nothing from it on is kept")
                break
            for item in read_frames(data, number, seq):
                if len(item) == 2:
                    end = item[0]
                else:
                    seq = item.seq
            kept_segments.append((number, end))
            if end < len(data):
                left_out.append(
                    f"{name}: cut at byte {end} of {len(data)}"
                    + ("" if name == (listed or logs)[-1] else "; nothing after it is kept")
                )
                break
        for name in files.names():
            if name != "LOCK":
                os.link(files.path(name), os.path.join(backup_folder, name))
        kept_names = {segment_name(n) for n, _ in kept_segments}
        for name in files.names():
            if name != "LOCK" and name not in kept_names and name != "MANIFEST":
                files.remove(name)
        if not kept_segments:
            if "MANIFEST" in files.names():
                files.remove("MANIFEST")
            return left_out + ["nothing could be read: the store starts empty"]
        number, end = kept_segments[-1]
        data = files.read(segment_name(number))[:end]
        files.put(segment_name(number), data)  # a copy, because the kept file is a hard link to the same data
        files.put("MANIFEST", encode_file(MANIFEST_MAGIC, Manifest(1, [*kept_segments[:-1], (number, None)], seq + 1)))
        return left_out
    except FileExistsError:
        raise StoreError("io", str(backup_folder), "already exists") from None
    except OSError as problem:
        raise StoreError("io", problem.filename, problem.strerror or str(problem)) from None
    finally:
        lock.close()
