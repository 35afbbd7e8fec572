"""What an agent serves: states in memory, and states in files of a folder.

A folder's files, for a state NAME (quoted, so that no name leaves the folder):
    NAME              the state, whole
    NAME.manifest     its manifest, with a checksum of its own
    NAME.part         a state that is on its way, of its full length from the start
    NAME.part.manifest    what it is going to be

A part's chunks are not marked as verified anywhere: at a start each is held against the manifest, and one whose bytes fit
counts. So nothing has to be written in any order, and a crash at any step leaves behind what it had, or less:
    before the part's manifest is renamed to its place    a part without manifest: deleted
    while chunks come                                     those that reached the file fit, the others don't
    between the two renames of a whole state              the manifest alone, or beside it the part: taken up as a part
    after them                                            a whole state, held against its manifest before it is served"""

import mmap
import os
from errno import ENOSPC
from urllib.parse import quote, unquote

import msgspec
import xxhash

from lapiswing.transfer.frames import BadFrame, Manifest, data_head, manifest_of, root_of, sum_of

SLICE = 16 << 20  # bytes checked in one turn of the loop
PART, NOTE = ".part", ".manifest"


class MemoryState:
    counted = False  # whether its bytes are in the agent's account; memory that a caller hands in is its own

    def __init__(self, name, memory, chunk):
        self.name, self.memory = name, memoryview(memory).toreadonly()
        self.manifest = manifest_of(name, self.memory, chunk)

    def write(self, stream, transfer, index):
        at, size = self.manifest.span(index)
        stream.write(data_head(transfer, index, size))
        stream.write(self.memory[at : at + size])
        return True

    def close(self):
        pass


class Descriptor:
    """Closes itself when the last one that sends from it has let go."""

    __slots__ = ("fd",)

    def __init__(self, path):
        self.fd = -1
        self.fd = os.open(path, os.O_RDONLY)

    def fileno(self):
        return self.fd

    def __del__(self):
        if self.fd >= 0:
            os.close(self.fd)


class FileState:
    """A file that has changed its length is not served any more: `write` says False."""

    counted = False

    def __init__(self, name, file, manifest):
        self.name, self.file, self.manifest = name, file, manifest

    def write(self, stream, transfer, index):
        at, size = self.manifest.span(index)
        if self.file is None or os.fstat(self.file.fileno()).st_size != self.manifest.length:
            return False
        stream.write(data_head(transfer, index, size))
        stream.write_file(self.file, at, size)
        return True

    def close(self):
        self.file = None


def file_name(name):
    """Raises ValueError where no file can be called so."""
    text = quote(name, safe="").replace("~", "%7E")
    if text.startswith("."):
        text = "%2E" + text[1:]
    if not text or len(text) > 200 or text.endswith((PART, NOTE)):
        raise ValueError(f"a state can't be called {name[:80]!r}")
    return text


def write_note(path, manifest):
    body = msgspec.msgpack.encode(manifest)
    temporary = f"{path}.new"
    with open(temporary, "wb") as file:
        file.write(xxhash.xxh3_128_digest(body) + body)
    os.rename(temporary, path)


def read_note(path):
    """-> Manifest, or None where there is none that can be believed."""
    try:
        with open(path, "rb") as file:
            data = file.read()
        if xxhash.xxh3_128_digest(data[16:]) != data[:16]:
            return None
        return msgspec.msgpack.decode(data[16:], type=Manifest).check()
    except (OSError, msgspec.DecodeError, ValueError, BadFrame):
        return None


class Summing:
    """The manifest of an open file, a slice at a time: `step()` until it returns the manifest. Raises OSError, and
    ValueError where the file is empty or became shorter."""

    def __init__(self, name, file, chunk):
        self.name, self.file, self.chunk = name, file, chunk
        self.length, self.at, self.sums = os.fstat(file.fileno()).st_size, 0, []
        self.buffer = memoryview(bytearray(min(chunk, max(1, self.length))))
        if not self.length:
            raise ValueError("the file is empty")

    def step(self):
        end = min(self.length, self.at + SLICE)
        while self.at < end:
            size = min(self.chunk, self.length - self.at)
            got = 0
            while got < size:
                n = os.preadv(self.file.fileno(), [self.buffer[got:size]], self.at + got)
                if not n:
                    raise ValueError("the file became shorter while it was read")
                got += n
            self.sums.append(sum_of(self.buffer[:size]))
            self.at += size
        if self.at < self.length:
            return None
        sums = b"".join(self.sums)
        return Manifest(self.name, self.length, self.chunk, sums, root_of(self.length, self.chunk, sums))


class Part:
    """Where a state lands that is to survive its agent: a file of the full length, mapped. Its room is taken a slice ahead
    of the chunks: all at once would stop the loop for 0.3 s a gigabyte, and writing to a map without it is a signal that
    kills the process when the disk is full. Raises OSError: no room."""

    def __init__(self, path, manifest):
        self.path, self.manifest, self.map, self.at, self.found = path, manifest, None, 0, bytearray(manifest.count())
        self.room = 0  # bytes from the start that are taken
        new = read_note(path + PART + NOTE)
        self.old = new is not None and new.root == manifest.root
        self.fd = os.open(path + PART, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            self.old = self.old and os.fstat(self.fd).st_size == manifest.length
            if not self.old:
                os.ftruncate(self.fd, 0)
                disk = os.fstatvfs(self.fd)
                if disk.f_bavail * disk.f_frsize < manifest.length:
                    raise OSError(ENOSPC, os.strerror(ENOSPC), path)
                os.ftruncate(self.fd, manifest.length)
            self.map = mmap.mmap(self.fd, manifest.length)
            if not self.old:
                write_note(path + PART + NOTE, manifest)
        except OSError:
            self.delete()
            raise

    def reserve(self, index):
        """Makes sure that a chunk may be written to the map. -> False: the disk is full."""
        at, size = self.manifest.span(index)
        try:
            while self.room < at + size:
                step = min(SLICE, self.manifest.length - self.room)
                os.posix_fallocate(self.fd, self.room, step)
                self.room += step
        except OSError:
            return False
        return True

    def step(self):
        """Checks a slice of what an earlier agent left. -> True when all is checked; then `found` has 1 for each good
        chunk. Read, not through the map: looking at a hole there would take room."""
        buffer, end = memoryview(bytearray(self.manifest.chunk)), self.at + max(1, SLICE // self.manifest.chunk)
        for index in range(self.at, min(end, len(self.found))):
            at, size = self.manifest.span(index)
            got = os.preadv(self.fd, [buffer[:size]], at)
            self.found[index] = got == size and sum_of(buffer[:size]) == self.manifest.sum_of(index)
        self.at = end
        return end >= len(self.found)

    def whole(self):
        """It becomes a state. -> its path."""
        os.rename(self.path + PART + NOTE, self.path + NOTE)
        os.rename(self.path + PART, self.path)
        return self.path

    def close(self):
        if self.fd is not None:
            os.close(self.fd)
            self.fd = None
        if self.map is not None:
            try:
                self.map.close()
            except BufferError:
                pass  # a view of it is still about; the memory goes with the last one
            self.map = None

    def delete(self):
        self.close()
        remove(self.path + PART)
        remove(self.path + PART + NOTE)


def remove(path):
    try:
        os.unlink(path)
        return True
    except FileNotFoundError:
        return False


def scan(folder):
    """What lies in a folder. -> (states, parts): names; leftovers without a manifest are deleted, as nobody can tell what
    they are. Raises OSError."""
    files = set(os.listdir(folder))
    states, parts = [], []
    for file in sorted(files):
        at = os.path.join(folder, file)
        if file.endswith(".new"):
            remove(at)
        elif file.endswith(PART):
            base = at[: -len(PART)]
            if file + NOTE not in files and file[: -len(PART)] + NOTE in files:
                os.rename(base + NOTE, at + NOTE)  # it ended between the two renames
            if read_note(at + NOTE) is not None:
                parts.append(unquote(file[: -len(PART)]))
            else:
                remove(at)
                remove(at + NOTE)
        elif file.endswith(NOTE):
            if file[: -len(NOTE)] not in files and not file.endswith(PART + NOTE) and file[: -len(NOTE)] + PART not in files:
                remove(at)
            elif file.endswith(PART + NOTE) and file[: -len(NOTE)] not in files:
                remove(at)
        else:
            states.append(unquote(file))
    return states, parts
