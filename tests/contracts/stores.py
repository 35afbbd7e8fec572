"""The store implementations that the contract tests run against. To add one, list it in STORES.

Each is a class made with a folder: `open()` returns a store opened on the contents that the previous one left; `power_cut()`
simulates a power cut, `fill()` makes the store run out of space and `free_space()` ends that. An implementation without one of
these methods is left out of the tests that need it."""

import random

from simfiles import SimFiles

from lapiswing.store import Engine, Files, InlineWorker, Memory


class Clock:
    """Wall clock in ms that tests set."""

    ms = 1_000_000

    def __call__(self):
        return self.ms


class StoreUnderTest:
    is_durable = True  # acknowledged writes are found after `close` and `open`

    def __init__(self):
        self.now, self.full = Clock(), False


class OnFiles(StoreUnderTest):
    """An engine on real files."""

    def __init__(self, folder):
        super().__init__()
        self.folder = folder

    def open(self):
        return Engine(Files(self.folder), InlineWorker(), self.now, segment_bytes=900).open()


class OnSimulatedFiles(StoreUnderTest):
    """An engine on simulated files, whose power can be cut and whose disk can fill up."""

    def __init__(self, folder):
        super().__init__()
        self.files, self.rng = SimFiles(), random.Random(3)

    def open(self):
        return Engine(self.files, InlineWorker(), self.now, segment_bytes=900).open()

    def power_cut(self):
        self.files = self.files.crash(self.rng)

    def fill(self):
        def fail(operation, name):
            if operation == "write":
                raise OSError(28, "No space left on device")

        self.files.fail = fail

    def free_space(self):
        self.files.fail = None
        self.now.ms += 5000


class InMemory(StoreUnderTest):
    """The store without a disk."""

    is_durable = False

    def __init__(self, folder):
        super().__init__()

    def open(self):
        self.store = Memory(self.now, max_bytes=20_000).open()
        return self.store

    def fill(self):
        self.store.put([(b"~big", b"x" * (19_990 - self.store.bytes), 0)])

    def free_space(self):
        self.store.put([(b"~big", None, 0)])


STORES = [OnFiles, OnSimulatedFiles, InMemory]
