"""Settings and server rows as a gateway of the target's fleet is given them."""

from lapiswing.interface import RequestClass, Server

MS, S = 1000, 1_000_000
SERVERS_A_RACK = 6
KINDS = ("read", "write")  # roles by number of kind
PREFILL, DECODE = range(2)


def router_settings(gateways, tenants=0, requests=0.0, cold_from=0.25):
    """What `Router` is given. Each tenant's share is an equal one of `requests` a second."""
    group = RequestClass("chat", "replayable", "all", 5 * S, 1200 * MS, 40 * MS, 46 * MS, 1.0, 0.3)
    return {
        "balancers": gateways,
        "az": 0,
        "me": 0,
        "resolution_us": 4 * MS,
        "groups": [group],
        "tenants": [{"name": f"t{i}", "quota_rps": requests / tenants} for i in range(tenants)],
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
    """Racks of `SERVERS_A_RACK`, each in one zone, prefill servers spread evenly over them."""
    rows, prefill = [], 0
    for i in range(servers):
        is_prefill = round((i + 1) * prefill_part) > prefill
        prefill += is_prefill
        rack = i // SERVERS_A_RACK
        rows.append(Server(f"{'rw'[not is_prefill]}{i}", rack % zones, rack, PREFILL if is_prefill else DECODE, 1.0, 0, "ready"))
    return rows
