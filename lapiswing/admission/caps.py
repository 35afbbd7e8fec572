"""Temporary caps that an operator puts on the request rate of tenants. No I/O.

A request over its tenant's cap is rejected before it is accepted, as with `limits.open_reqs`; the router never sees it. Guards
the other tenants against one that takes all capacity, until its quota in the settings is corrected. Each cap expires by itself,
since one that is forgotten would keep rejecting requests."""


class Cap:
    """A token bucket with the cap of one tenant."""

    __slots__ = ("rps", "until_us", "tokens", "updated_us")

    def __init__(self, rps, until_us, now_us):
        self.rps, self.until_us, self.tokens, self.updated_us = rps, until_us, max(1.0, rps), now_us


class Caps:
    """The caps that apply now, by tenant index."""

    def __init__(self):
        self.caps = {}

    def put(self, now_us, tenant, rps, for_us):
        """`rps`: requests per second at this gateway; 0 rejects all."""
        self.caps[tenant] = Cap(rps, now_us + for_us, now_us)

    def lift(self, tenant):
        """-> whether there was a cap."""
        return self.caps.pop(tenant, None) is not None

    def retry_after_us(self, now_us, tenant):
        """-> None where a request is allowed, which counts it, else the time until the tenant may retry."""
        cap = self.caps.get(tenant)
        if cap is None:
            return None
        if now_us >= cap.until_us:
            del self.caps[tenant]
            return None
        cap.tokens = min(max(1.0, cap.rps), cap.tokens + (now_us - cap.updated_us) * cap.rps / 1e6)
        cap.updated_us = now_us
        if cap.rps and cap.tokens >= 1:
            cap.tokens -= 1
            return None
        return round((1 - cap.tokens) / cap.rps * 1e6) if cap.rps else cap.until_us - now_us
