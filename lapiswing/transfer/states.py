"""The states that an agent serves: in memory, or in files of a folder.

Files of a folder, for a state NAME (percent-encoded, so that no name can leave the folder):
    NAME                  the complete state
    NAME.manifest         its manifest, with a checksum of its own
    NAME.part             a state that is being fetched, of its full length from the start
    NAME.part.manifest    the manifest of the state being fetched

The chunks of a part file are not marked as verified anywhere: at the start of a process each is checked against the manifest.
Therefore the order of writes does not matter, and a crash at any step keeps the chunks that had reached the file:
    before the part's manifest is in place              a part without manifest, which is deleted
    while chunks arrive                                 chunks that reached the file pass the check, the others don't
    between the two renames of a complete state         the manifest beside the part, which is continued; a manifest alone is
                                                        deleted
    after the renames                                   a complete state, checked against its manifest before it is served"""

import mmap
import os
from errno import ENOSPC
from urllib.parse import quote, unquote

import msgspec
import xxhash

from lapiswing.transfer.frames import BadFrame, Manifest, checksum_of, encode_data_header, manifest_of, root_of

SLICE_BYTES = 16 << 20  # checked or allocated in one turn of the loop
PART_SUFFIX, MANIFEST_SUFFIX = ".part", ".manifest"


class MemoryState:
    """A state in memory that its caller owns."""

    counted = False  # whether its bytes count towards the agent's limit

    def __init__(self, name, memory, chunk):
        self.name, self.memory = name, memoryview(memory).toreadonly()
        self.manifest = manifest_of(name, self.memory, chunk)

    def write(self, stream, transfer, index):
        """Writes a chunk to a stream. Returns True."""
        offset, size = self.manifest.span(index)
        stream.write(encode_data_header(transfer, index, size))
        stream.write(self.memory[offset : offset + size])
        return True

    def close(self):
        """Nothing to close."""
        pass


class OpenFile:
    """A file descriptor that is closed when the last reference to it is dropped, so after everything was sent from it."""

    __slots__ = ("fd",)

    def __init__(self, path):
        self.fd = -1
        self.fd = os.open(path, os.O_RDONLY)

    def fileno(self):
        """The descriptor, for functions that take a file."""
        return self.fd

    def __del__(self):
        if self.fd >= 0:
            os.close(self.fd)


class FileState:
    """A state in a file. If the file has changed its length, `write` returns False and the state is no longer served."""

    counted = False

    def __init__(self, name, file, manifest):
        self.name, self.file, self.manifest = name, file, manifest

    def write(self, stream, transfer, index):
        """Writes a chunk to a stream. Returns False if the file has changed its length."""
        offset, size = self.manifest.span(index)
        if self.file is None or os.fstat(self.file.fileno()).st_size != self.manifest.length:
            return False
        stream.write(encode_data_header(transfer, index, size))
        stream.write_file(self.file, offset, size)
        return True

    def close(self):
        """Drops the file; it is closed when everything has been sent."""
        self.file = None


def file_name(name):
    """The name of a state's file. Raises ValueError if there can be no such file."""
    text = quote(name, safe="").replace("~", "%7E")
    if text.startswith("."):
        text = "%2E" + text[1:]
    if not text or len(text) > 200 or text.endswith((PART_SUFFIX, MANIFEST_SUFFIX)):
        raise ValueError(f"a state can't be called {name[:80]!r}")
    return text


def write_manifest(path, manifest):
    """Writes a manifest file, atomically and with a checksum."""
    body = msgspec.msgpack.encode(manifest)
    temporary = f"{path}.new"
    with open(temporary, "wb") as file:
        file.write(xxhash.xxh3_128_digest(body) + body)
    os.rename(temporary, path)


def read_manifest(path):
    """Reads a manifest file. Returns None if it is missing or damaged."""
    try:
        with open(path, "rb") as file:
            data = file.read()
        if xxhash.xxh3_128_digest(data[16:]) != data[:16]:
            return None
        return msgspec.msgpack.decode(data[16:], type=Manifest).check()
    except (OSError, msgspec.DecodeError, ValueError, BadFrame):
        return None


class ManifestBuilder:
    """Builds the manifest of an open file in slices: call `step()` until it returns the manifest. Raises OSError, and ValueError
    if the file is empty or was truncated meanwhile."""

    def __init__(self, name, file, chunk):
        self.name, self.file, self.chunk = name, file, chunk
        self.length, self.offset, self.sums = os.fstat(file.fileno()).st_size, 0, []
        self.buffer = memoryview(bytearray(min(chunk, max(1, self.length))))
        if not self.length:
            raise ValueError("the file is empty")

    def step(self):
        """Reads a slice. Returns the manifest when the whole file is read, else None."""
        end = min(self.length, self.offset + SLICE_BYTES)
        while self.offset < end:
            size = min(self.chunk, self.length - self.offset)
            bytes_read = 0
            while bytes_read < size:
                count = os.preadv(self.file.fileno(), [self.buffer[bytes_read:size]], self.offset + bytes_read)
                if not count:
                    raise ValueError("the file became shorter while it was read")
                bytes_read += count
            self.sums.append(checksum_of(self.buffer[:size]))
            self.offset += size
        if self.offset < self.length:
            return None
        sums = b"".join(self.sums)
        return Manifest(self.name, self.length, self.chunk, sums, root_of(self.length, self.chunk, sums))


class PartFile:
    """A mapped file of the full length into which a state is fetched, so that its chunks survive the process. Disk space is
    allocated in slices ahead of the chunks: allocating it at once blocks the loop for 0.3 s per gigabyte, and writing to a map
    without allocated space kills the process by a signal when the disk is full. Raises OSError, also if there is no space."""

    def __init__(self, path, manifest):
        self.path, self.manifest, self.map, self.offset, self.verified_chunks = (
            path,
            manifest,
            None,
            0,
            bytearray(manifest.count()),
        )
        self.allocated_bytes = 0  # from the start of the file
        present = read_manifest(path + PART_SUFFIX + MANIFEST_SUFFIX)
        self.resumed = present is not None and present.root == manifest.root
        self.fd = os.open(path + PART_SUFFIX, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            self.resumed = self.resumed and os.fstat(self.fd).st_size == manifest.length
            if not self.resumed:
                os.ftruncate(self.fd, 0)
                disk = os.fstatvfs(self.fd)
                if disk.f_bavail * disk.f_frsize < manifest.length:
                    raise OSError(ENOSPC, os.strerror(ENOSPC), path)
                os.ftruncate(self.fd, manifest.length)
            self.map = mmap.mmap(self.fd, manifest.length)
            if not self.resumed:
                write_manifest(path + PART_SUFFIX + MANIFEST_SUFFIX, manifest)
        except OSError:
            self.delete()
            raise

    def reserve(self, index):
        """Allocates disk space for a chunk. Returns False if the disk is full."""
        offset, size = self.manifest.span(index)
        try:
            while self.allocated_bytes < offset + size:
                step = min(SLICE_BYTES, self.manifest.length - self.allocated_bytes)
                os.posix_fallocate(self.fd, self.allocated_bytes, step)
                self.allocated_bytes += step
        except OSError:
            return False
        return True

    def step(self):
        """Checks a slice of the chunks that a previous process left. Returns True when all are checked; `verified_chunks` then
        has 1 for each valid one. The file is read instead of the map, because reading a hole through the map takes up space."""
        buffer, end = memoryview(bytearray(self.manifest.chunk)), self.offset + max(1, SLICE_BYTES // self.manifest.chunk)
        for index in range(self.offset, min(end, len(self.verified_chunks))):
            offset, size = self.manifest.span(index)
            size_read = os.preadv(self.fd, [buffer[:size]], offset)
            self.verified_chunks[index] = size_read == size and checksum_of(buffer[:size]) == self.manifest.checksum_of(index)
        self.offset = end
        return end >= len(self.verified_chunks)

    def finalize(self):
        """The state is complete: renames the files. Returns the path."""
        os.rename(self.path + PART_SUFFIX + MANIFEST_SUFFIX, self.path + MANIFEST_SUFFIX)
        os.rename(self.path + PART_SUFFIX, self.path)
        return self.path

    def close(self):
        """Closes the file and keeps it."""
        if self.fd is not None:
            os.close(self.fd)
            self.fd = None
        if self.map is not None:
            try:
                self.map.close()
            except BufferError:
                pass  # a view of it still exists; the memory is freed with the last one
            self.map = None

    def delete(self):
        """Closes and deletes the file and its manifest."""
        self.close()
        remove(self.path + PART_SUFFIX)
        remove(self.path + PART_SUFFIX + MANIFEST_SUFFIX)


def remove(path):
    """Deletes a file; returns whether it was there."""
    try:
        os.unlink(path)
        return True
    except FileNotFoundError:
        return False


def scan(folder):
    """Returns the names of the (complete states, partial states) in a folder. Leftovers without a manifest are deleted, because
    their contents are unknown. Raises OSError."""
    files = set(os.listdir(folder))
    states, parts = [], []
    for file in sorted(files):
        path = os.path.join(folder, file)
        if file.endswith(".new"):
            remove(path)
        elif file.endswith(PART_SUFFIX):
            base = path[: -len(PART_SUFFIX)]
            if file + MANIFEST_SUFFIX not in files and file[: -len(PART_SUFFIX)] + MANIFEST_SUFFIX in files:
                os.rename(base + MANIFEST_SUFFIX, path + MANIFEST_SUFFIX)  # the process ended between the two renames
            if read_manifest(path + MANIFEST_SUFFIX) is not None:
                parts.append(unquote(file[: -len(PART_SUFFIX)]))
            else:
                remove(path)
                remove(path + MANIFEST_SUFFIX)
        elif file.endswith(MANIFEST_SUFFIX):
            if (
                file[: -len(MANIFEST_SUFFIX)] not in files
                and not file.endswith(PART_SUFFIX + MANIFEST_SUFFIX)
                and file[: -len(MANIFEST_SUFFIX)] + PART_SUFFIX not in files
            ):
                remove(path)
            elif file.endswith(PART_SUFFIX + MANIFEST_SUFFIX) and file[: -len(MANIFEST_SUFFIX)] not in files:
                remove(path)
        else:
            states.append(unquote(file))
    return states, parts
