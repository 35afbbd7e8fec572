"""Required size of the fleet and limits on its cost, for `benchmarks/scale` and `tests/scale`."""

from dataclasses import dataclass

MEGABYTE = 1 << 20


@dataclass(frozen=True)
class Target:
    """Rates are per second at the peak; limits apply to one gateway unless a comment says otherwise."""

    gateways: int = 410
    servers: int = 640
    accelerators: int = 2500
    prefill_part: float = 0.31  # of the servers
    prefill_moves: float = 0.5  # share of the prefill servers that may change role in a day
    regions: int = 2
    zones: int = 6
    tenants: int = 5900
    models: int = 34
    requests: float = 1500.0
    output_tokens: float = 390_000.0
    handed_over_bytes: float = 2100e9  # prompt state transferred from prefill to decode servers
    first_token_s: float = 1.4  # 95th percentile over requests
    token_gap_s: float = 0.046  # between tokens, 95th percentile
    configuration_changes_a_day: float = 580.0
    configuration_s: float = 17.0  # until a change is in effect on all gateways
    control_core: float = 0.012  # of one core
    control_bytes: float = 128.0 * MEGABYTE
    control_bytes_a_second: float = 19_000.0
    control_machines: int = 4  # for the whole fleet
    machines_failing_a_day: float = 9.0
    machines_replaced_a_day: float = 200.0

    @property
    def prefill_servers(self):
        return round(self.servers * self.prefill_part)

    @property
    def decode_servers(self):
        return self.servers - self.prefill_servers

    @property
    def requests_a_gateway(self):
        return self.requests / self.gateways

    @property
    def tokens_a_request(self):
        return self.output_tokens / self.requests

    @property
    def seconds_between_reads(self):
        """Mean time between two prefill requests from one gateway to the same server."""
        return self.prefill_servers / self.requests_a_gateway

    @property
    def hours_between_pairs(self):
        """Mean time until one gateway uses the same pair of a prefill and a decode server again."""
        return self.prefill_servers * self.decode_servers / self.requests_a_gateway / 3600


TARGET = Target()
