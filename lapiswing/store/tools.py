"""Looking at a store that no program has open, and mending one. Nothing here guesses: what can't be read is told, or, by `repair`,
left out with everything that came after it in its segment."""

import os
from typing import NamedTuple

from lapiswing.store.engine import Engine, StoreError, hint_name, segment_name, take_lock
from lapiswing.store.files import Files
from lapiswing.store.format import HEAD, HINT, MANIFEST, Damaged, Hint, Manifest, frames, outer, read_outer, read_segment_head
from lapiswing.store.work import InlineWorker


class Finding(NamedTuple):
    file: str
    bad: bool  # False: a torn end, which the next start cuts off
    text: str


def verify(folder):
    """-> (findings, counts). Reads everything and changes nothing. Raises StoreError: locked, io."""
    files = Files(folder)
    lock = take_lock(files)
    try:
        return look(files)
    except OSError as problem:
        raise StoreError("io", problem.filename, problem.strerror or str(problem)) from None
    finally:
        lock.close()


def look(files):
    names, found, counts = set(files.names()), [], {"segments": 0, "frames": 0, "bytes": 0, "hints": 0, "last seq": 0}
    try:
        manifest = read_outer(files.read("MANIFEST"), MANIFEST, Manifest)
    except FileNotFoundError:
        return [Finding("MANIFEST", True, "is missing")], counts
    except Damaged as problem:
        return [Finding("MANIFEST", True, str(problem))], counts
    last, seq = manifest.segments[-1][0], 0
    for number, length in manifest.segments:
        name = segment_name(number)
        if name not in names:
            found.append(Finding(name, True, "is missing"))
            continue
        data = files.read(name)
        counts["segments"] += 1
        counts["bytes"] += len(data)
        try:
            read_segment_head(data, number)
        except Damaged as problem:
            found.append(Finding(name, number != last or len(data) > HEAD.size, str(problem)))
            continue
        data = data if number == last else data[:length]
        if number != last and len(data) < length:
            found.append(Finding(name, True, f"{len(data)} bytes of {length}"))
        for item in frames(data, number, seq):
            if len(item) == 2:
                end, claimed = item
                if end < len(data):
                    bad = claimed or number != last
                    found.append(
                        Finding(
                            name,
                            bad,
                            f"from byte {end} on "
                            + ("what was on the disk can't be read" if bad else f"a torn end of {len(data) - end} bytes"),
                        )
                    )
            else:
                counts["frames"] += 1
                seq = item.seq
        if hint_name(number) in names:
            counts["hints"] += 1
            try:
                read_outer(files.read(hint_name(number)), HINT, Hint)
            except Damaged as problem:
                found.append(Finding(hint_name(number), False, f"{problem}; the segment is read instead"))
    counts["last seq"] = seq
    return found, counts


def dump(folder):
    """Yields (key, value, expires unix ms) in order. Raises StoreError."""
    engine = Engine(Files(folder), InlineWorker()).open()
    try:
        for key, entry in engine.index.range(b"", None, engine.now_ms()):
            yield key, engine.value_of(key, entry), entry[3]
    finally:
        engine.close()


def compact(folder):
    """Rewrites until hardly anything is garbage. -> (bytes before, bytes after). Raises StoreError."""
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


def repair(folder, keep):
    """Makes a store that can be opened out of what can be read, in order, up to the first byte that can't: later segments are left
    out, as they may build on what is lost. What was there is kept in the folder `keep`. -> lines that tell what was left out."""
    files = Files(folder)
    lock = take_lock(files)
    try:
        os.makedirs(keep, exist_ok=False)
        logs = sorted(n for n in files.names() if n.endswith(".log") and n[:-4].isdigit())
        wanted = None
        try:
            wanted = [segment_name(n) for n, _ in read_outer(files.read("MANIFEST"), MANIFEST, Manifest).segments]
        except (OSError, Damaged):
            pass
        told, rows, seq = [], [], 0
        for name in wanted or logs:
            if name not in logs:
                told.append(f"{name}: is missing; nothing after it is taken")
                break
            data, number, end = files.read(name), int(name[:-4]), HEAD.size
            try:
                read_segment_head(data, number)
            except Damaged as problem:
                told.append(f"{name}: {problem}; nothing from it on is taken")
                break
            for item in frames(data, number, seq):
                if len(item) == 2:
                    end = item[0]
                else:
                    seq = item.seq
            rows.append((number, end))
            if end < len(data):
                told.append(
                    f"{name}: cut at byte {end} of {len(data)}"
                    + ("" if name == (wanted or logs)[-1] else "; nothing after it is taken")
                )
                break
        for name in files.names():
            if name != "LOCK":
                os.link(files.path(name), os.path.join(keep, name))
        taken = {segment_name(n) for n, _ in rows}
        for name in files.names():
            if name != "LOCK" and name not in taken and name != "MANIFEST":
                files.remove(name)
        if not rows:
            if "MANIFEST" in files.names():
                files.remove("MANIFEST")
            return told + ["nothing could be taken: the store begins anew"]
        number, end = rows[-1]
        data = files.read(segment_name(number))[:end]
        files.put(segment_name(number), data)  # a copy: the kept one is another name of the same file
        files.put("MANIFEST", outer(MANIFEST, Manifest(1, [*rows[:-1], (number, None)], seq + 1)))
        return told
    except FileExistsError:
        raise StoreError("io", str(keep), "is there already") from None
    except OSError as problem:
        raise StoreError("io", problem.filename, problem.strerror or str(problem)) from None
    finally:
        lock.close()
