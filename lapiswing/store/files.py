"""File system access of the store. File names are relative to one folder; every call may raise OSError."""

import fcntl
import os


class Files:
    """The files of one folder, which is created if needed."""

    def __init__(self, folder):
        self.folder = str(folder)
        os.makedirs(self.folder, mode=0o700, exist_ok=True)

    def path(self, name):
        """Full path of a file."""
        return os.path.join(self.folder, name)

    def lock(self, name):
        """Returns the open lock file; closing it releases the lock. Raises BlockingIOError if another process holds it."""
        file = open(self.path(name), "a")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            raise
        return file

    def names(self):
        """Names of all files, sorted."""
        return sorted(os.listdir(self.folder))

    def read(self, name):
        """The contents of a file."""
        with open(self.path(name), "rb") as file:
            return file.read()

    def open(self, name, create=False):
        """Returns a descriptor for reading and writing."""
        return os.open(self.path(name), os.O_RDWR | (os.O_CREAT | os.O_EXCL if create else 0), 0o600)

    def write(self, fd, offset, data):
        """Writes all data at an offset. A short write is continued; if the disk is full, the continuation raises OSError."""
        view = memoryview(data)
        while view:
            written = os.pwrite(fd, view, offset)
            view, offset = view[written:], offset + written

    def read_at(self, fd, offset, size):
        """Reads exactly `size` bytes."""
        out = os.pread(fd, size, offset)
        if len(out) != size:
            raise OSError(5, "unexpected end of file")
        return out

    def sync(self, fd):
        """Makes the data of a file durable."""
        os.fdatasync(fd)

    def truncate(self, fd, size):
        """Cuts a file to `size` bytes."""
        os.ftruncate(fd, size)

    def close(self, fd):
        """Closes a descriptor."""
        os.close(fd)

    def put(self, name, data):
        """Replaces a small file atomically and durably."""
        new = name + ".new"
        fd = os.open(self.path(new), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write(fd, 0, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(self.path(new), self.path(name))
        self.sync_folder()

    def sync_folder(self):
        """Makes creations, renames and removals of files durable."""
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name):
        """Deletes a file."""
        os.unlink(self.path(name))
