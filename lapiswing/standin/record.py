"""Records of traffic: one JSON object a line, with the machine's monotonic time."""

import orjson


class Record:
    """`put(ev, **fields)`. Kept in memory where there is no path; written once a loop turn otherwise."""

    def __init__(self, loop, path=None):
        self.loop, self.rows, self.lines = loop, [], []
        self.file = open(path, "ab", buffering=0) if path else None
        if self.file:
            loop.after.append(self.flush)

    def put(self, ev, **fields):
        row = {"t": self.loop.clock.now_us(), "ev": ev, **fields}
        if self.file:
            self.lines.append(orjson.dumps(row))
        else:
            self.rows.append(row)

    def flush(self):
        if self.lines:
            self.file.write(b"\n".join(self.lines) + b"\n")
            self.lines.clear()


def read_records(path):
    with open(path, "rb") as file:
        return [orjson.loads(line) for line in file if line.endswith(b"\n")]
