"""A small embedded store: keys and values in an append-only log. docs/store-format.md has the files and the recovery.

format    bytes <-> frames, segment heads, manifest, hints; pure
index     what the log says: keys, expiry, order, snapshots; pure
files     the file layer, and one that loses what was not synced
engine    opening, group commit, compaction
memory    the same face without a disk
tools     verify, dump, compact, repair"""

from lapiswing.store.engine import Engine, StoreError
from lapiswing.store.files import Files
from lapiswing.store.memory import Memory
from lapiswing.store.work import InlineWorker, Worker

__all__ = ["Engine", "Files", "InlineWorker", "Memory", "StoreError", "Worker"]
