"""Fields of a client's request head: the idempotency key is passed to the servers, the owner to the router."""

import pytest
from platform_harness import SETTINGS, PlatformHarness

TENANTS = [{"Name": "line-1", "QuotaRps": 4.0}, {"Name": "line-2", "QuotaRps": 2.0}]


@pytest.mark.parametrize("key", ["730d63e7", None])
@pytest.mark.parametrize("effect", ["dedup", "retryable"])
def test_idempotency_key_is_passed_unchanged_to_every_server(tmp_path, monkeypatch, key, effect):
    """Guards against a lost key: servers then don't recognise repeats, and refuse each attempt of a key-idempotent request."""
    monkeypatch.setitem(SETTINGS, "Classes", [{**SETTINGS["Classes"][0], "Effect": effect}])
    with PlatformHarness(tmp_path) as harness:
        seen = []

        def record(exchange):
            if exchange.method == b"POST":
                seen.append(exchange.header(b"idempotency-key"))
                if len(seen) == 1:  # causes a further attempt, which must have the key too
                    exchange.respond(503, b"", more=[(b"srv-declined", b"1")])
                    return True

        for server in harness.platform.servers.values():
            server.fault = record
        harness.platform.add("read").fault = record
        harness.platform.discovery.tell(*(server.row() for server in harness.platform.servers.values()))
        harness.until(lambda: len(harness.core.router.table.rows.index_of) == 2)
        client = harness.ask("r1", **({} if key is None else {"Idempotency_Key": key}))
        assert not client.wait_answer().truncated
        assert client.status == 200 and len(seen) == 3
        assert set(seen) == {key.encode() if key else None}


@pytest.mark.parametrize("owner, tenant", [("line-1", 0), ("line-2", 1), ("somebody", 2), (None, 2)])
def test_owner_is_the_tenant_and_an_unknown_one_uses_no_quota(tmp_path, monkeypatch, owner, tenant):
    monkeypatch.setitem(SETTINGS, "Tenants", TENANTS)
    with PlatformHarness(tmp_path) as harness:
        before = [harness.core.router.remaining_quota(i) for i in range(2)]
        client = harness.ask("r1", Req_Owner=owner)
        harness.until(lambda: client.status)
        used = [old - new for old, new in zip(before, [harness.core.router.remaining_quota(i) for i in range(2)])]
        assert used == [float(i == tenant) for i in range(2)]


def test_repeated_owner_or_key_field_is_refused(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        for name in ("Req-Owner", "Idempotency-Key"):
            client = harness.ask("r1", **{"Req-Kind": f"chat\r\n{name}: a\r\n{name}: b"})
            harness.until(lambda: client.status)  # noqa: B023
            assert client.status == 400
