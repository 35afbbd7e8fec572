"""What a client's head says goes where it belongs: the idempotency key to the servers, the owner to the decisions."""

import pytest
from platform_harness import SETTINGS, PlatformHarness

TENANTS = [{"Name": "line-1", "QuotaRps": 4.0}, {"Name": "line-2", "QuotaRps": 2.0}]


@pytest.mark.parametrize("key", ["730d63e7", None])
@pytest.mark.parametrize("effect", ["dedup", "retryable"])
def test_the_idempotency_key_goes_to_every_server_as_it_came(tmp_path, monkeypatch, key, effect):
    """Without it no server knows a repeat: each attempt of a key-idempotent request was refused as another one's."""
    monkeypatch.setitem(SETTINGS, "Classes", [{**SETTINGS["Classes"][0], "Effect": effect}])
    with PlatformHarness(tmp_path) as harness:
        seen = []

        def record(exchange):
            if exchange.method == b"POST":
                seen.append(exchange.header(b"idempotency-key"))
                if len(seen) == 1:  # a further attempt has it too
                    exchange.respond(503, b"", more=[(b"srv-declined", b"1")])
                    return True

        for server in harness.platform.servers.values():
            server.fault = record
        harness.platform.add("read").fault = record
        harness.platform.discovery.tell(*(s.row() for s in harness.platform.servers.values()))
        harness.until(lambda: len(harness.core.router.table.rows.index_of) == 2)
        client = harness.ask("r1", **({} if key is None else {"Idempotency_Key": key}))
        assert not client.wait_answer().truncated
        assert client.status == 200 and len(seen) == 3
        assert set(seen) == {key.encode() if key else None}


@pytest.mark.parametrize("owner, tenant", [("line-1", 0), ("line-2", 1), ("somebody", 2), (None, 2)])
def test_the_owner_is_the_tenant_and_an_unknown_one_uses_nobodys_share(tmp_path, monkeypatch, owner, tenant):
    monkeypatch.setitem(SETTINGS, "Tenants", TENANTS)
    with PlatformHarness(tmp_path) as harness:
        before = [harness.core.router.remaining_quota(i) for i in range(2)]
        client = harness.ask("r1", Req_Owner=owner)
        harness.until(lambda: client.status)
        used = [a - b for a, b in zip(before, [harness.core.router.remaining_quota(i) for i in range(2)])]
        assert used == [float(i == tenant) for i in range(2)]


def test_an_owner_or_a_key_that_is_given_twice_is_refused(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        for name in ("Req-Owner", "Idempotency-Key"):
            client = harness.ask("r1", **{"Req-Kind": f"chat\r\n{name}: a\r\n{name}: b"})
            harness.until(lambda: client.status)  # noqa: B023
            assert client.status == 400
