"""Records of events in stand-in servers: one JSON object per line, with the host's monotonic time."""

import orjson


class Record:
    """A sequence of event rows: kept in memory without a path, otherwise appended to the file once per loop iteration."""

    def __init__(self, loop, path=None):
        self.loop, self.rows, self.unwritten = loop, [], []
        self.file = open(path, "ab", buffering=0) if path else None
        if self.file:
            loop.after.append(self.flush)

    def put(self, ev, **fields):
        """Adds a row for the event `ev`."""
        row = {"t": self.loop.clock.now_us(), "ev": ev, **fields}
        if self.file:
            self.unwritten.append(orjson.dumps(row))
        else:
            self.rows.append(row)

    def flush(self):
        """Writes the rows that are not in the file yet."""
        if self.unwritten:
            self.file.write(b"\n".join(self.unwritten) + b"\n")
            self.unwritten.clear()


def read_records(path):
    """Returns the rows of a file, without an incomplete last line."""
    with open(path, "rb") as file:
        return [orjson.loads(line) for line in file if line.endswith(b"\n")]
