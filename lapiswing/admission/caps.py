"""Caps that an operator puts on tenants for a while. No I/O.

What is over a cap is pushed back before it is taken, as with `limits.open_reqs`; the decisions never see it. Guards the others
against a tenant that takes all, until its quota in the settings is put right; could harm where a cap is forgotten, so each
one ends by itself."""


class Cap:
    __slots__ = ("rps", "until_us", "left", "at_us")

    def __init__(self, rps, until_us, now_us):
        self.rps, self.until_us, self.left, self.at_us = rps, until_us, max(1.0, rps), now_us


class Caps:
    def __init__(self):
        self.caps = {}

    def put(self, now_us, tenant, rps, for_us):
        """`rps`: reqs a second at this gateway; 0 lets nothing in."""
        self.caps[tenant] = Cap(rps, now_us + for_us, now_us)

    def lift(self, tenant):
        return self.caps.pop(tenant, None) is not None

    def retry_after_us(self, now_us, tenant):
        """-> None, or for how many us the tenant has to stay away."""
        cap = self.caps.get(tenant)
        if cap is None:
            return None
        if now_us >= cap.until_us:
            del self.caps[tenant]
            return None
        cap.left = min(max(1.0, cap.rps), cap.left + (now_us - cap.at_us) * cap.rps / 1e6)
        cap.at_us = now_us
        if cap.rps and cap.left >= 1:
            cap.left -= 1
            return None
        return round((1 - cap.left) / cap.rps * 1e6) if cap.rps else cap.until_us - now_us
