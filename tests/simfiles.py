"""An in-memory replacement of the store's file access that simulates a power cut: unsynced writes are lost in any subset and torn
at sector boundaries; renames, removals and creations are lost unless their folder was synced."""

SECTOR = 64  # bytes that are written atomically


class File:
    """A file: its present contents, its durable contents and the writes since the last sync."""

    def __init__(self):
        self.now, self.safe, self.pending = bytearray(), bytearray(), []  # pending: (offset, data) or ("cut", size)


def put_into(buffer, offset, data):
    """Writes data at an offset, zero-filling a gap."""
    if len(buffer) < offset:
        buffer.extend(b"\0" * (offset - len(buffer)))
    buffer[offset : offset + len(data)] = data


class SimFiles:
    """Has the interface of lapiswing.store.Files. `operations` counts the calls that change something."""

    def __init__(self):
        self.files, self.safe_names, self.fds, self.locked = {}, {}, {}, False
        self.next_fd, self.operations, self.fail = 3, 0, None  # fail(operation, name): may raise OSError

    def step(self, operation, name=""):
        self.operations += 1
        if self.fail:
            self.fail(operation, name)

    def lock(self, name):
        if self.locked:
            raise BlockingIOError(11, "locked")
        self.locked = True
        owner = self

        class Held:
            def close(self):
                owner.locked = False

        return Held()

    def names(self):
        return sorted(self.files)

    def read(self, name):
        if name not in self.files:
            raise FileNotFoundError(2, "No such file", name)
        return bytes(self.files[name].now)

    def open(self, name, create=False):
        self.step("open", name)
        if create:
            if name in self.files:
                raise FileExistsError(17, "File exists", name)
            self.files[name] = File()
        elif name not in self.files:
            raise FileNotFoundError(2, "No such file", name)
        self.next_fd += 1
        self.fds[self.next_fd] = self.files[name]
        return self.next_fd

    def write(self, fd, offset, data):
        self.step("write")
        file = self.fds[fd]
        put_into(file.now, offset, data)
        file.pending.append((offset, bytes(data)))

    def read_at(self, fd, offset, size):
        return bytes(self.fds[fd].now[offset : offset + size])

    def sync(self, fd):
        self.step("sync")
        file = self.fds[fd]
        file.safe, file.pending = bytearray(file.now), []

    def truncate(self, fd, size):
        self.step("truncate")
        file = self.fds[fd]
        del file.now[size:]
        file.pending.append(("cut", size))

    def close(self, fd):
        self.fds.pop(fd, None)

    def put(self, name, data):
        fd = self.open_new(name + ".new")
        self.write(fd, 0, data)
        self.sync(fd)
        self.close(fd)
        self.step("rename", name)
        self.files[name] = self.files.pop(name + ".new")
        self.sync_folder()

    def open_new(self, name):
        self.files.pop(name, None)
        return self.open(name, create=True)

    def sync_folder(self):
        self.step("sync folder")
        self.safe_names = dict(self.files)

    def remove(self, name):
        self.step("remove", name)
        if name not in self.files:
            raise FileNotFoundError(2, "No such file", name)
        del self.files[name]

    def crash(self, rng):
        """Returns the files as found after a power cut at this moment."""
        after = SimFiles()
        names = dict(self.safe_names)
        for name in set(self.files) | set(names):  # each unsynced change of a name may or may not have happened
            if self.files.get(name) is not names.get(name) and rng.random() < 0.5:
                if name in self.files:
                    names[name] = self.files[name]
                else:
                    names.pop(name)
        for name, file in names.items():
            new = after.files[name] = File()
            new.safe = bytearray(file.safe)
            for offset, data in file.pending:
                if offset == "cut":
                    if rng.random() < 0.5:
                        del new.safe[data:]
                    continue
                for start in range(0, len(data), SECTOR):
                    if rng.random() < 0.6:
                        put_into(new.safe, offset + start, data[start : start + SECTOR])
            new.now = bytearray(new.safe)
        after.safe_names = dict(after.files)
        return after
