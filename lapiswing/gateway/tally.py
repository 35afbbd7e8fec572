"""Counts and latencies by server and by tenant, for the admin interface and metrics. No I/O. No decision uses them."""

from bisect import bisect_left

BUCKET_BOUNDS_MS = [1, 2, 4, 6, 10, 15, 25, 40, 60, 100, 150, 250, 400, 600, 1000, 1500, 2500, 4000, 6000, 10000, 20000, 60000]


class Latency:
    """A coarse latency histogram. It is halved regularly, so that old values lose weight."""

    def __init__(self):
        self.bins, self.count = [0.0] * (len(BUCKET_BOUNDS_MS) + 1), 0

    def add(self, us):
        """Counts a latency."""
        self.bins[bisect_left(BUCKET_BOUNDS_MS, us / 1000)] += 1
        self.count += 1

    def halve(self):
        """Halves all counts."""
        self.bins = [count / 2 if count > 0.1 else 0.0 for count in self.bins]

    def quantile_ms(self, quantile):
        """Returns the upper bound in ms of the bucket in which `quantile` is reached; None if there are no values."""
        total, seen = sum(self.bins), 0.0
        if total < 0.5:
            return None
        for i, count in enumerate(self.bins):
            seen += count
            if seen >= quantile * total:
                return BUCKET_BOUNDS_MS[min(i, len(BUCKET_BOUNDS_MS) - 1)]
        return BUCKET_BOUNDS_MS[-1]


class ServerTally:
    """Counts of one server. The times are moving averages."""

    __slots__ = ("codes", "open_attempts", "first_us", "read_us", "fail_us", "report", "starts", "last_code", "started_us")

    def __init__(self):
        self.codes, self.open_attempts, self.report, self.starts, self.last_code = {}, 0, {}, 0, None
        self.first_us = self.read_us = self.fail_us = None
        self.started_us = None

    def listed(self, started_us):
        """Takes the start time from the list; a change counts as a restart."""
        self.starts += self.started_us is not None and started_us != self.started_us
        self.started_us = started_us


def moving_average(old, new):
    """Returns the exponential moving average after the value `new`."""
    return float(new) if old is None else old + (new - old) * 0.1


class Tally:
    """Counts of all servers and tenants."""

    def __init__(self):
        self.servers, self.tenants, self.first_token = {}, {}, Latency()

    def server(self, server):
        """Returns the tally of a server."""
        tally = self.servers.get(server)
        if tally is None:
            tally = self.servers[server] = ServerTally()
        return tally

    def tenant(self, tenant):
        """Returns the counts of a tenant."""
        tally = self.tenants.get(tenant)
        if tally is None:
            tally = self.tenants[tenant] = {
                "taken": 0,
                "done": 0,
                "pushed back": 0,
                "aborted": 0,
                "left": 0,
                "capped": 0,
                "tokens": 0,
                "open": 0,
            }
        return tally

    def attempt_sent(self, server):
        """Counts an attempt as in progress."""
        self.server(server).open_attempts += 1

    def attempt_ended(self, server, stage, code, latency_us, report):
        """Counts the outcome of an attempt."""
        tally = self.server(server)
        tally.open_attempts -= 1
        tally.codes[code] = tally.codes.get(code, 0) + 1
        tally.last_code = code
        if report:
            tally.report = report
        if code == "read":
            tally.read_us = moving_average(tally.read_us, latency_us)
        elif code in ("error", "reset", "unreachable"):
            tally.fail_us = moving_average(tally.fail_us, latency_us)

    def attempt_began(self, server, latency_us):
        """Takes the time to the first token of an attempt."""
        tally = self.server(server)
        tally.first_us = moving_average(tally.first_us, latency_us)
