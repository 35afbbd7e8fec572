"""Plain counts by box and by tenant, for those who look. No I/O, and nothing is decided by them."""

from bisect import bisect_left

STEPS_MS = [1, 2, 4, 6, 10, 15, 25, 40, 60, 100, 150, 250, 400, 600, 1000, 1500, 2500, 4000, 6000, 10000, 20000, 60000]


class Latency:
    """A small coarse histogram that is halved now and then."""

    def __init__(self):
        self.bins, self.count = [0.0] * (len(STEPS_MS) + 1), 0

    def add(self, us):
        self.bins[bisect_left(STEPS_MS, us / 1000)] += 1
        self.count += 1

    def halve(self):
        self.bins = [b / 2 if b > 0.1 else 0.0 for b in self.bins]

    def quantile_ms(self, part):
        """The step in ms under which `part` of the values lie; None where there are none."""
        total, seen = sum(self.bins), 0.0
        if total < 0.5:
            return None
        for i, count in enumerate(self.bins):
            seen += count
            if seen >= part * total:
                return STEPS_MS[min(i, len(STEPS_MS) - 1)]
        return STEPS_MS[-1]


class ServerTally:
    __slots__ = ("codes", "open_attempts", "first_us", "read_us", "fail_us", "report", "starts", "last_code", "started_us")

    def __init__(self):
        self.codes, self.open_attempts, self.report, self.starts, self.last_code = {}, 0, {}, 0, None
        self.first_us = self.read_us = self.fail_us = None  # usual times, lately
        self.started_us = None

    def listed(self, started_us):
        self.starts += self.started_us is not None and started_us != self.started_us
        self.started_us = started_us


def usual(old, new):
    return float(new) if old is None else old + (new - old) * 0.1


class Tally:
    def __init__(self):
        self.servers, self.tenants, self.first_token = {}, {}, Latency()

    def server(self, server):
        found = self.servers.get(server)
        if found is None:
            found = self.servers[server] = ServerTally()
        return found

    def tenant(self, tenant):
        found = self.tenants.get(tenant)
        if found is None:
            found = self.tenants[tenant] = {
                "taken": 0,
                "done": 0,
                "pushed back": 0,
                "aborted": 0,
                "left": 0,
                "capped": 0,
                "tokens": 0,
                "open": 0,
            }
        return found

    def sent(self, server):
        self.server(server).open_attempts += 1

    def came(self, server, stage, code, latency_us, report):
        box = self.server(server)
        box.open_attempts -= 1
        box.codes[code] = box.codes.get(code, 0) + 1
        box.last_code = code
        if report:
            box.report = report
        if code == "read":
            box.read_us = usual(box.read_us, latency_us)
        elif code in ("error", "reset", "unreachable"):
            box.fail_us = usual(box.fail_us, latency_us)

    def began(self, server, latency_us):
        box = self.server(server)
        box.first_us = usual(box.first_us, latency_us)
