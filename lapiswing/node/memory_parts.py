"""What a gateway of the platform may keep for its peers, as parts of the memory that it does not need for itself."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_KB = 1024
MEMORY_FILE = Path("/proc/self/statm")  # its second figure: resident pages
MIN_FREE_PART = 8  # of the limit: so much is used for peers even where the program itself takes almost all


def own_bytes():
    """-> the resident memory of this process."""
    try:
        return int(MEMORY_FILE.read_text().split()[1]) * os.sysconf("SC_PAGESIZE")
    except (OSError, IndexError, ValueError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB  # may be that of the process that started it


@dataclass(frozen=True)
class MemoryParts:
    """Bytes that may be kept for all peers together."""

    unfinished_bytes: int  # of incomplete requests
    open_bodies_bytes: int  # bodies of open requests
    pipelined_bytes: int  # of input behind open requests
    server_answers_bytes: int  # of servers' answers that can't be passed on yet
    client_answers_bytes: int  # of answers that clients have not read

    @classmethod
    def of(cls, limit_bytes, own_bytes):
        """`limit_bytes`: over which the process is killed; `own_bytes`: what it uses with nothing kept for peers."""
        free_bytes = max(limit_bytes - own_bytes, limit_bytes // MIN_FREE_PART)
        return cls(free_bytes // 8, free_bytes // 4, free_bytes // 32, free_bytes // 8, free_bytes // 8)
