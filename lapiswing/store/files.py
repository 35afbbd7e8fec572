"""The file layer: all that the store asks of a file system. Paths are names within one folder. Every call may raise OSError."""

import fcntl
import os


class Files:
    def __init__(self, folder):
        self.folder = str(folder)
        os.makedirs(self.folder, mode=0o700, exist_ok=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def lock(self, name):
        """-> what holds the lock while it is kept. Raises BlockingIOError where another process has it."""
        file = open(self.path(name), "a")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            raise
        return file

    def names(self):
        return sorted(os.listdir(self.folder))

    def read(self, name):
        with open(self.path(name), "rb") as file:
            return file.read()

    def open(self, name, create=False):
        """-> a descriptor to read, and append through `write`."""
        return os.open(self.path(name), os.O_RDWR | (os.O_CREAT | os.O_EXCL if create else 0), 0o600)

    def write(self, fd, at, data):
        """All of it, at an offset: a short write goes on where it ended, and a full disk is told by the next part."""
        view = memoryview(data)
        while view:
            n = os.pwrite(fd, view, at)
            view, at = view[n:], at + n

    def read_at(self, fd, at, size):
        out = os.pread(fd, size, at)
        if len(out) != size:
            raise OSError(5, "a file became shorter")
        return out

    def sync(self, fd):
        os.fdatasync(fd)

    def truncate(self, fd, size):
        os.ftruncate(fd, size)

    def close(self, fd):
        os.close(fd)

    def put(self, name, data):
        """A whole small file in one step: there, or as before."""
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
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name):
        os.unlink(self.path(name))
