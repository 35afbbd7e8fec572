"""Changes with sequence numbers, kept up to a bound. No I/O.

A reader names the last number that it has seen and gets what came after. What is no longer kept is told as one `lost` line with
its span; the reader takes a snapshot then, and goes on from the snapshot's number. So a reader that stops costs nothing."""

from collections import deque

import orjson


class Feed:
    def __init__(self, most=2000, most_bytes=1 << 20):
        self.most, self.most_bytes, self.size = most, most_bytes, 0
        self.lines, self.seq, self.readers = deque(), 0, set()

    def put(self, unix_ms, kind, /, **fields):
        """-> the line's number. Each reader is told that there is something (`wake()`)."""
        self.seq += 1
        line = orjson.dumps({**fields, "seq": self.seq, "unix_ms": unix_ms, "type": kind}) + b"\n"
        self.lines.append((self.seq, line))
        self.size += len(line)
        while len(self.lines) > self.most or self.size > self.most_bytes:
            self.size -= len(self.lines.popleft()[1])
        for reader in list(self.readers):
            reader.wake()
        return self.seq

    def after(self, seq, most_bytes=65536):
        """-> (lines as bytes, the last number in them) of what came after `seq`; (b"", seq) where nothing did."""
        if seq > self.seq:
            seq = 0  # a number of an earlier life
        first = self.lines[0][0] if self.lines else self.seq + 1
        out, size = [], 0
        if seq + 1 < first:
            out.append(orjson.dumps({"type": "lost", "from": seq + 1, "to": first - 1}) + b"\n")
            seq = first - 1
        for number, line in list(self.lines)[max(0, seq + 1 - first) :]:
            if size and size + len(line) > most_bytes:
                break
            out.append(line)
            size += len(line)
            seq = number
        return b"".join(out), seq
