"""A small embedded key-value store on an append-only log. docs/store-format.md describes the file formats and recovery.

format    encoding and decoding of frames, segment headers, manifest and hint files; no I/O
index     in-memory index of the log: keys, expiry, order, snapshots; no I/O
files     file system access
engine    opening and recovery, group commit, compaction
memory    a store with the same interface that keeps everything in memory
tools     verify, dump, compact and repair a store that is not open
work      runs blocking jobs inline or on a worker thread"""

from lapiswing.store.engine import Engine, StoreError
from lapiswing.store.files import Files
from lapiswing.store.memory import Memory
from lapiswing.store.work import InlineWorker, Worker

__all__ = ["Engine", "Files", "InlineWorker", "Memory", "StoreError", "Worker"]
