"""A file layer in memory that may lose what was not synced: writes in any subset and torn in sectors, renames, removals and new
names whose folder was not synced."""

SECTOR = 64


class File:
    def __init__(self):
        self.now, self.safe, self.pending = bytearray(), bytearray(), []  # pending: (at, data) or ('cut', size)


def put_into(buffer, at, data):
    if len(buffer) < at:
        buffer.extend(b"\0" * (at - len(buffer)))
    buffer[at : at + len(data)] = data


class SimFiles:
    def __init__(self):
        self.files, self.safe_names, self.fds, self.locked = {}, {}, {}, False
        self.next_fd, self.operations, self.fail = 3, 0, None  # fail(operation, name): may raise OSError

    def step(self, operation, name=""):
        self.operations += 1
        if self.fail:
            self.fail(operation, name)

    def lock(self, name):
        if self.locked:
            raise BlockingIOError(11, "held")
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
                raise FileExistsError(17, "there", name)
            self.files[name] = File()
        elif name not in self.files:
            raise FileNotFoundError(2, "No such file", name)
        self.next_fd += 1
        self.fds[self.next_fd] = self.files[name]
        return self.next_fd

    def write(self, fd, at, data):
        self.step("write")
        file = self.fds[fd]
        put_into(file.now, at, data)
        file.pending.append((at, bytes(data)))

    def read_at(self, fd, at, size):
        return bytes(self.fds[fd].now[at : at + size])

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
        """-> what a machine finds after its power was cut now."""
        after = SimFiles()
        names = dict(self.safe_names)
        for name in set(self.files) | set(names):  # each change of names since the last sync of the folder came, or did not
            if self.files.get(name) is not names.get(name) and rng.random() < 0.5:
                if name in self.files:
                    names[name] = self.files[name]
                else:
                    names.pop(name)
        for name, file in names.items():
            new = after.files[name] = File()
            new.safe = bytearray(file.safe)
            for at, data in file.pending:
                if at == "cut":
                    if rng.random() < 0.5:
                        del new.safe[data:]
                    continue
                for start in range(0, len(data), SECTOR):
                    if rng.random() < 0.6:
                        put_into(new.safe, at + start, data[start : start + SECTOR])
            new.now = bytearray(new.safe)
        after.safe_names = dict(after.files)
        return after
