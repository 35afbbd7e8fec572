"""What a gateway of the platform may keep for its peers, as parts of the memory that it does not need for itself."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_KB = 1024
MEMORY_FILE = Path("/proc/self/statm")  # its second figure: resident pages
MIN_FREE_PART = 8  # of the limit: so much is used for peers even where the program itself takes almost all
UNFINISHED_PART = 8  # incomplete requests
OPEN_BODIES_PART = 4  # bodies of open requests
PIPELINED_PART = 32  # input behind open requests
SERVER_ANSWERS_PART = 8  # of servers' answers that can't be passed on yet
CLIENT_ANSWERS_PART = 8  # of answers that clients have not read


def own_bytes():
    """-> the resident memory of this process."""
    try:
        return int(MEMORY_FILE.read_text().split()[1]) * os.sysconf("SC_PAGESIZE")
    except (OSError, IndexError, ValueError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB  # may be that of the process that started it


@dataclass(frozen=True)
class MemoryParts:
    """`limit_bytes`: over which the process is killed; `own_bytes`: what it uses with nothing kept for peers."""

    limit_bytes: int
    own_bytes: int

    @property
    def free_bytes(self):
        return max(self.limit_bytes - self.own_bytes, self.limit_bytes // MIN_FREE_PART)

    @property
    def unfinished_bytes(self):
        return self.free_bytes // UNFINISHED_PART

    @property
    def open_bodies_bytes(self):
        return self.free_bytes // OPEN_BODIES_PART

    @property
    def pipelined_bytes(self):
        return self.free_bytes // PIPELINED_PART

    @property
    def server_answers_bytes(self):
        return self.free_bytes // SERVER_ANSWERS_PART

    @property
    def client_answers_bytes(self):
        return self.free_bytes // CLIENT_ANSWERS_PART
