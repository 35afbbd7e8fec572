"""The stores that have to keep the contract. A further one is a line in STORES.

Each is a function of a folder -> Place: `open(now=None)` gives a store, opened on what the earlier one left;
`cut()` takes the power, as far as the store knows of power; `fill()` makes the disk full and `room()` ends
that, where it has a disk."""

import random

from simfiles import SimFiles

from lapiswing.store import Engine, Files, InlineWorker, Memory


class Clock:
    ms = 1_000_000

    def __call__(self):
        return self.ms


class Place:
    lasts = True  # what was acknowledged is there after `close` and `open`

    def __init__(self):
        self.now, self.full = Clock(), False


class OnFiles(Place):
    def __init__(self, folder):
        super().__init__()
        self.folder = folder

    def open(self):
        return Engine(Files(self.folder), InlineWorker(), self.now, segment_bytes=900).open()


class OnFailing(Place):
    """Files whose power can be cut and whose disk can be full."""

    def __init__(self, folder):
        super().__init__()
        self.files, self.rng = SimFiles(), random.Random(3)

    def open(self):
        return Engine(self.files, InlineWorker(), self.now, segment_bytes=900).open()

    def cut(self):
        self.files = self.files.crash(self.rng)

    def fill(self):
        def fail(operation, name):
            if operation == "write":
                raise OSError(28, "No space left on device")

        self.files.fail = fail

    def room(self):
        self.files.fail = None
        self.now.ms += 5000


class InMemory(Place):
    lasts = False

    def __init__(self, folder):
        super().__init__()

    def open(self):
        self.store = Memory(self.now, most_bytes=20_000).open()
        return self.store

    def fill(self):
        self.store.put([(b"~big", b"x" * (19_990 - self.store.bytes), 0)])

    def room(self):
        self.store.put([(b"~big", None, 0)])


STORES = [OnFiles, OnFailing, InMemory]
