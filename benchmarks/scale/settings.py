"""Router settings and server rows as a gateway of the target fleet receives them."""

from lapiswing.interface import RequestClass, Server

MS, S = 1000, 1_000_000
SERVERS_PER_RACK = 6
KINDS = ("read", "write")  # roles (prefill, decode) by kind of server
PREFILL, DECODE = range(2)


def router_settings(gateways, tenants=0, requests=0.0, cold_from=0.25):
    """-> the settings of a `Router`. The tenants have equal shares of `requests` per second."""
    request_class = RequestClass("chat", "replayable", "all", 5 * S, 1200 * MS, 40 * MS, 46 * MS, 1.0, 0.3)
    return {
        "balancers": gateways,
        "az": 0,
        "me": 0,
        "resolution_us": 4 * MS,
        "groups": [request_class],
        "tenants": [{"name": f"t{number}", "quota_rps": requests / tenants} for number in range(tenants)],
        "membership_mode": "automatic",
        "penalties": {"cross_zone": 0.02},
        "kinds": list(KINDS),
        "limits": {"max_attempts": 6, "retry_after": True, "max_retry_after_us": S, "cancel": True},
        "rules": {"cold_from": cold_from, "ramp_time_us": 12 * S, "fall_multiple": 2.5, "overload_for_us": S},
        "family_info": {
            "duty_by_kind": list(KINDS),
            "kind_memory_tokens": [270_000, 160_000],
            "far_price": 0.04,
            "let_go_by_us": 500 * MS,
        },
    }


def server_rows(servers, prefill_part, zones):
    """-> rows in racks of `SERVERS_PER_RACK`, each rack in one zone, with prefill servers spread evenly over the racks."""
    rows, prefill = [], 0
    for number in range(servers):
        is_prefill = round((number + 1) * prefill_part) > prefill
        prefill += is_prefill
        rack = number // SERVERS_PER_RACK
        rows.append(
            Server(f"{'rw'[not is_prefill]}{number}", rack % zones, rack, PREFILL if is_prefill else DECODE, 1.0, 0, "ready")
        )
    return rows
