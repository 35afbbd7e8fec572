"""The size and the bounds that the operators name. Everything in `benchmarks/scale` and `tests/scale` reads them here."""

from dataclasses import dataclass

MEGABYTE = 1 << 20


@dataclass(frozen=True)
class Target:
    """Counts are of whole things, rates are a second at the peak, bounds are for one gateway where nothing else is said."""

    gateways: int = 410
    servers: int = 640
    accelerators: int = 2500
    prefill_part: float = 0.31  # of the servers
    prefill_moves: float = 0.5  # how much of that part may change role in a day
    regions: int = 2
    zones: int = 6
    tenants: int = 5900
    models: int = 34
    requests: float = 1500.0
    output_tokens: float = 390_000.0
    handed_over_bytes: float = 2100e9  # prompt memory from prefill to decode servers
    first_token_s: float = 1.4  # for 95 requests in 100
    token_gap_s: float = 0.046  # between tokens, for 95 in 100
    configuration_changes_a_day: float = 580.0
    configuration_s: float = 17.0  # until a change is in force everywhere
    control_core: float = 0.012  # of one core
    control_bytes: float = 128.0 * MEGABYTE
    control_bytes_a_second: float = 19_000.0
    control_machines: int = 4  # for the fleet
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
        """Between two prefills of one gateway at one prefill server, on average."""
        return self.prefill_servers / self.requests_a_gateway

    @property
    def hours_between_pairs(self):
        """Until one gateway meets one given pair of a prefill and a decode server again, on average."""
        return self.prefill_servers * self.decode_servers / self.requests_a_gateway / 3600


TARGET = Target()
