"""Metrics by prometheus_client, computed from the program's own counters when they are requested, so that counting has no extra
cost.

A source is a callable that yields (name, kind, help, rows): kind is counter or gauge, rows are (labels, value) with labels as
a dict."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
KINDS = {"counter": CounterMetricFamily, "gauge": GaugeMetricFamily}


class Metrics:
    """Collects the metrics of all sources."""

    def __init__(self, *sources):
        self.sources, self.registry = list(sources), CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def collect(self):
        for source in self.sources:
            for name, kind, text, rows in source():
                rows = list(rows)
                labels = list(rows[0][0]) if rows else []
                family = KINDS[kind](name, text, labels=labels)
                for values, number in rows:
                    family.add_metric([str(values[n]) for n in labels], number)
                yield family

    def render(self):
        """-> the text exposition format."""
        return generate_latest(self.registry)


def counts_of(prefix, counts, text):
    """A source: {'chunks sent': 7} -> one counter family with the label `what`."""
    yield prefix, "counter", text, [({"what": name}, value) for name, value in counts.items()]
