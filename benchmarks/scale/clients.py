"""Clients of the real gateways: requests at a steady mean rate, their first tokens and the delay of every event."""

import json
from collections import Counter

import numpy as np
from hdrh.histogram import HdrHistogram

from lapiswing.http1 import Pool

MS, S = 1000, 1_000_000
MOST_US = 60 * S
DEADLINE_S = 5.0
BODY = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "x" * 400}]}).encode()
EVENT = b'"content":"'


def histogram():
    return HdrHistogram(1, MOST_US, 3)


class Measured:
    def __init__(self):
        self.first, self.delay, self.outcomes = histogram(), histogram(), Counter()


class Request:
    """Hears one answer."""

    def __init__(self, clients, asked_us):
        self.clients, self.asked_us, self.status, self.begun = clients, asked_us, None, False

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        now, measured = self.clients.loop.clock.now_us(), self.clients.measured
        if self.status != 200:
            return
        if not self.begun:
            self.begun = True
            measured.first.record_value(min(MOST_US, now - self.asked_us))
        for part in data.split(EVENT)[1:]:
            written = part.split(b" ", 1)[0]
            if written.isdigit():
                measured.delay.record_value(max(1, min(MOST_US, now - int(written))))

    def on_end(self):
        self.clients.measured.outcomes["served" if self.status == 200 else "refused" if self.status == 503 else "failed"] += 1
        self.clients.open -= 1

    def on_fail(self, stage, why):
        self.clients.measured.outcomes["cut" if self.begun else "unreached" if stage in ("connect", "unsent") else "lost"] += 1
        self.clients.open -= 1


class Clients:
    def __init__(self, loop, ports, requests_a_second, seed):
        self.loop, self.ports, self.rate = loop, ports, requests_a_second
        self.chance = np.random.default_rng([seed, 2])
        self.pool, self.measured = Pool(loop, 4096, 256), Measured()
        self.asked = self.open = 0
        self.stopped = False

    def start(self):
        if self.rate:
            self.loop.call_later(0, self.ask)

    def ask(self):
        if self.stopped:
            return
        self.loop.call_later(int(self.chance.exponential(S / self.rate)), self.ask)
        gateway = int(self.chance.integers(len(self.ports)))
        self.asked += 1
        self.open += 1
        fields = [
            (b"req-id", b"%d-%d" % (gateway, self.asked)),
            (b"req-kind", b"chat"),
            (b"req-key", b"s%d" % self.chance.integers(1 << 40)),
            (b"req-deadline", b"%.3f" % DEADLINE_S),
            (b"req-extra", b"prefix=p%d,prompt_len=1000,prefix_len=500,max_out=260" % self.chance.integers(200)),
            (b"content-type", b"application/json"),
        ]
        self.pool.request(
            ("127.0.0.1", self.ports[gateway]),
            b"POST",
            b"/v1/chat/completions",
            fields,
            BODY,
            Request(self, self.loop.clock.now_us()),
        )

    def stop(self):
        self.stopped = True

    def close(self):
        self.pool.close()
