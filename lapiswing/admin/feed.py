"""A bounded list of changes with sequence numbers. No I/O.

A follower names the last sequence number that it has seen and gets the lines after it. Lines that have been dropped are reported
as one `lost` line with their range; the follower then takes a snapshot and continues from the snapshot's number. So the feed
buffers nothing for a follower that stops reading."""

from collections import deque

import orjson


class Feed:
    """Lines of JSON, each with its sequence number; the oldest are dropped beyond either limit. Each object in `followers` has
    a method `wake()`."""

    def __init__(self, max_lines=2000, max_bytes=1 << 20):
        self.max_lines, self.max_bytes, self.size_bytes = max_lines, max_bytes, 0
        self.lines, self.seq, self.followers = deque(), 0, set()

    def publish(self, unix_ms, kind, /, **fields):
        """Appends a line, wakes each follower and returns the line's sequence number."""
        self.seq += 1
        line = orjson.dumps({**fields, "seq": self.seq, "unix_ms": unix_ms, "type": kind}) + b"\n"
        self.lines.append((self.seq, line))
        self.size_bytes += len(line)
        while len(self.lines) > self.max_lines or self.size_bytes > self.max_bytes:
            self.size_bytes -= len(self.lines.popleft()[1])
        for follower in list(self.followers):
            follower.wake()
        return self.seq

    def lines_after(self, seq, max_bytes=65536):
        """Returns (lines after `seq` as bytes, the last sequence number in them), or (b"", seq) if there are none. A line that is
        longer than `max_bytes` is returned alone."""
        if seq > self.seq:
            seq = 0  # a number of a previous process
        first_seq = self.lines[0][0] if self.lines else self.seq + 1
        chunks, chunk_bytes = [], 0
        if seq + 1 < first_seq:
            chunks.append(orjson.dumps({"type": "lost", "from": seq + 1, "to": first_seq - 1}) + b"\n")
            seq = first_seq - 1
        for line_seq, line in list(self.lines)[max(0, seq + 1 - first_seq) :]:
            if chunk_bytes and chunk_bytes + len(line) > max_bytes:
                break
            chunks.append(line)
            chunk_bytes += len(line)
            seq = line_seq
        return b"".join(chunks), seq
