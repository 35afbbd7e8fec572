"""Clients of the real gateways: send requests at a constant mean rate, and measure the time to first token and the delay of
every event."""

import json
from collections import Counter

import numpy as np
from hdrh.histogram import HdrHistogram

from lapiswing.http1 import Pool

MS, S = 1000, 1_000_000
MAX_LATENCY_US = 60 * S
DEADLINE_S = 5.0
BODY = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "x" * 400}]}).encode()
EVENT = b'"content":"'


def histogram():
    return HdrHistogram(1, MAX_LATENCY_US, 3)


class Measurements:
    """Histograms of latency in microseconds, and counts by outcome."""

    def __init__(self):
        self.first_token_us, self.event_delay_us, self.outcomes = histogram(), histogram(), Counter()


class Request:
    """Receives one response."""

    def __init__(self, clients, asked_us):
        self.clients, self.asked_us, self.status, self.started = clients, asked_us, None, False

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        now, measurements = self.clients.loop.clock.now_us(), self.clients.measurements
        if self.status != 200:
            return
        if not self.started:
            self.started = True
            measurements.first_token_us.record_value(min(MAX_LATENCY_US, now - self.asked_us))
        for part in data.split(EVENT)[1:]:
            sent_us = part.split(b" ", 1)[0]
            if sent_us.isdigit():
                measurements.event_delay_us.record_value(max(1, min(MAX_LATENCY_US, now - int(sent_us))))

    def on_end(self):
        self.clients.measurements.outcomes["served" if self.status == 200 else "refused" if self.status == 503 else "failed"] += 1
        self.clients.open -= 1

    def on_fail(self, stage, why):
        self.clients.measurements.outcomes[
            "cut" if self.started else "unreached" if stage in ("connect", "unsent") else "lost"
        ] += 1
        self.clients.open -= 1


class Clients:
    """Sends requests to all gateways, at exponentially distributed intervals."""

    def __init__(self, loop, ports, requests_per_s, seed):
        self.loop, self.ports, self.rate = loop, ports, requests_per_s
        self.random = np.random.default_rng([seed, 2])
        self.pool, self.measurements = Pool(loop, 4096, 256), Measurements()
        self.asked = self.open = 0
        self.stopped = False

    def start(self):
        """Sends the first request, if the rate is above zero."""
        if self.rate:
            self.loop.call_later(0, self.send_request)

    def send_request(self):
        if self.stopped:
            return
        self.loop.call_later(int(self.random.exponential(S / self.rate)), self.send_request)
        gateway = int(self.random.integers(len(self.ports)))
        self.asked += 1
        self.open += 1
        fields = [
            (b"req-id", b"%d-%d" % (gateway, self.asked)),
            (b"req-kind", b"chat"),
            (b"req-key", b"s%d" % self.random.integers(1 << 40)),
            (b"req-deadline", b"%.3f" % DEADLINE_S),
            (b"req-extra", b"prefix=p%d,prompt_len=1000,prefix_len=500,max_out=260" % self.random.integers(200)),
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
