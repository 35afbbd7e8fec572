"""What a server knows of the input that it has not handled yet: how many bytes it is, and when they arrived."""

from collections import deque

ARRIVAL_MERGE_US = 10_000  # reads closer together count as one, at the earlier time


class Arrivals:
    """Earliest arrival times of the bytes that are not parsed yet."""

    def __init__(self):
        self.parts, self.size = deque(), 0  # of [bytes, time]

    def add(self, size, at_us):
        self.size += size
        if self.parts and at_us - self.parts[-1][1] < ARRIVAL_MERGE_US:
            self.parts[-1][0] += size
        else:
            self.parts.append([size, at_us])

    def earliest(self, unparsed):
        """-> the time of the oldest of the last `unparsed` bytes; forgets the bytes before them."""
        while len(self.parts) > 1 and self.size - self.parts[0][0] >= unparsed:
            self.size -= self.parts.popleft()[0]
        return self.parts[0][1]

    def drop_last(self, size):
        """Forgets the last `size` bytes."""
        self.size -= size
        while size and self.parts:
            part = min(size, self.parts[-1][0])
            self.parts[-1][0] -= part
            size -= part
            if not self.parts[-1][0]:
                self.parts.pop()

    def clear(self):
        self.parts.clear()
        self.size = 0


class InputAccount:
    """Bytes of input that a server keeps, over all connections: for requests that are not complete, and behind open ones."""

    def __init__(self):
        self.unfinished_bytes = self.pipelined_bytes = 0
        self.refused = 0  # requests that were refused because of them
