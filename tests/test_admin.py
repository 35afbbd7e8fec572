"""The admin sockets: reported counts match what servers and clients observed, access control, and followers of the feed that stop
reading."""

import json
import os
import socket
import time

import pytest
from gateway_site import GatewaySite, RawClient, ResponseCollector, chat, post, status

from lapiswing.admin.client import AdminError, ask, parse_address
from lapiswing.admin.feed import Feed
from lapiswing.admin.serve import listen_unix
from lapiswing.admission.caps import Caps
from lapiswing.http1 import Pool
from lapiswing.membership import Membership
from lapiswing.settings import SettingsError, load_text

S = 1_000_000
KEY, CONTROL = "k" * 16, "c" * 16


class AdminSite:
    """A gateway with stand-in servers and its admin sockets, and an HTTP client on the same loop."""

    def __init__(self, folder, more="", **options):
        self.read_path, self.control_path = str(folder / "look.sock"), str(folder / "act.sock")
        self.audit = folder / "audit.jsonl"
        self.site = GatewaySite(
            more=f'admin {{ path: "{self.read_path}" control_path: "{self.control_path}" audit_file: "{self.audit}" {more} }}',
            **options,
        )
        self.loop, self.admin = self.site.loop, self.site.gateway.admin
        self.pool = Pool(self.loop, 32)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.pool.close()
        self.site.__exit__()

    def ask(self, path, address=None, method=b"GET", value=None, key=None):
        responses = []
        fields = [(b"authorization", b"Bearer " + key.encode())] if key else []
        self.pool.request(
            address or self.read_path,
            method,
            path.encode(),
            fields,
            json.dumps(value).encode() if value else b"",
            ResponseCollector(responses.append),
        )
        assert self.loop.run_until(lambda: responses, 5 * S)
        code, body = responses[0]
        return code, json.loads(body) if body[:1] == b"{" else body

    def act(self, value, address=None, key=None):
        return self.ask("/v1/actions", address or self.control_path, b"POST", value, key)

    def start(self, model="question", text="hello there", **more):
        return RawClient(self.site, post(chat(model, text, **more)))

    def call(self, model="question", text="hello there", **more):
        client = self.start(model, text, **more)
        return status(client.until())


@pytest.fixture
def admin_site(tmp_path):
    with AdminSite(tmp_path) as admin_site:
        yield admin_site


def test_reported_counts_match_what_servers_and_clients_observed(admin_site):
    for i in range(12):
        assert admin_site.call(text=f"question {i}") == 200
    _, snap = admin_site.ask("/v1/snapshot")
    assert snap["v"] == 1 and snap["counts"]["done"] == 12 == snap["counts"]["taken"] and snap["now"]["open"] == 0
    rows_by_server = {b["box"]: b for b in snap["boxes"]}
    for name, spec in zip(admin_site.site.ids, admin_site.site.specs):
        observed = (
            len(admin_site.site.rows("ran", box=name)) if spec.role == "write" else len(admin_site.site.rows("state", box=name))
        )
        assert rows_by_server[name]["codes"].get("done" if spec.role == "write" else "read", 0) == observed, name
        assert rows_by_server[name]["out"] == 0 and rows_by_server[name]["mode"] == "ready"
    tenant = next(t for t in snap["tenants"] if t["tenant"] == "demo")
    assert (tenant["taken"], tenant["done"], tenant["open"]) == (12, 12, 0)
    assert sum(b.get("writes", 0) for b in snap["boxes"]) == pytest.approx(1, abs=0.01)
    text = admin_site.ask("/metrics")[1].decode()
    assert (
        'lapiswing_reqs_total{what="done"} 12.0' in text and 'lapiswing_tenant_reqs_total{end="done",tenant="demo"} 12.0' in text
    )


def test_open_request_is_shown_with_routing_reasons(admin_site):
    client = admin_site.start(text="a long answer", tokens=2000)
    client.until(lambda got: got.count(b"data:") > 5)
    _, snap = admin_site.ask("/v1/snapshot?parts=reqs")
    (row,) = snap["reqs"]
    assert row["stage"] == "stream" and row["box"] in admin_site.site.ids[1:] and row["tenant"] == "demo" and row["tokens"] > 3
    _, one = admin_site.ask(f"/v1/reqs/{row['req']}")
    assert len(one["reasons"]) == 2 and "share of reads 1.00" in one["reasons"][0]
    client.left()
    admin_site.loop.run_until(lambda: not admin_site.site.core.open, 5 * S)
    assert admin_site.ask(f"/v1/reqs/{row['req']}")[0] == 404 and admin_site.ask("/v1/reqs/x")[0] == 400


def test_read_access_does_not_allow_actions(admin_site):
    server = admin_site.site.ids[1]
    assert admin_site.act({"act": "drain", "what": server}, admin_site.read_path)[0] == 403
    assert admin_site.site.core.membership.operator_drains == set()
    code, answer = admin_site.act({"act": "drain", "what": server})
    assert code == 200 and answer["done"] == f"{server} drains"
    row = json.loads(admin_site.audit.read_text())
    assert row["ask"] == {"act": "drain", "what": server} and row["result"] == "done" and f"uid {os.getuid()}" in row["who"]
    assert os.stat(admin_site.control_path).st_mode & 0o77 == 0


def test_drained_server_gets_no_attempts_until_it_is_taken_back(admin_site):
    """Checked against what the stand-in servers received."""
    server = admin_site.site.ids[1]
    admin_site.act({"act": "drain", "what": server})
    for i in range(6):
        assert admin_site.call(text=f"q{i}") == 200
    assert not admin_site.site.rows("arrive", box=server)
    admin_site.act({"act": "drain", "what": admin_site.site.ids[2]})
    assert admin_site.call(text="none left") == 503
    admin_site.loop.run_until(lambda: admin_site.admin.diagnosis.open, 5 * S)
    _, head = admin_site.ask("/v1/verdict")
    assert head["verdict"]["level"] == 3 and head["findings"][0]["kind"] == "no box"
    admin_site.act({"act": "take-back", "what": server})
    for i in range(4):
        assert admin_site.call(text=f"r{i}") == 200
    assert len(admin_site.site.rows("arrive", box=server)) == 4
    assert admin_site.act({"act": "take-back", "what": server})[0] == 409


def test_cap_applies_to_one_tenant_only(admin_site):
    assert admin_site.act({"act": "cap", "what": "demo", "rps": 0, "minutes": 5})[0] == 200
    assert admin_site.call() == 429 or admin_site.site.core.counts["capped"] == 1
    assert admin_site.site.core.counts["taken"] == 0 and not admin_site.site.rows("arrive")
    client = RawClient(admin_site.site, post(chat("question")).replace(b"Bearer demo", b"Bearer other"))
    assert status(client.until()) == 200
    _, snap = admin_site.ask("/v1/snapshot?parts=tenants")
    assert next(t for t in snap["tenants"] if t["tenant"] == "demo")["cap"]["rps"] == 0
    assert admin_site.act({"act": "uncap", "what": "demo"})[0] == 200 and admin_site.call() == 200
    assert admin_site.act({"act": "uncap", "what": "demo"})[0] == 409


@pytest.mark.parametrize(
    "value,reason",
    [
        (None, "JSON"),
        ({"act": "dance"}, "one of"),
        ({"act": "drain", "what": "nowhere:1"}, "no box"),
        ({"act": "cap", "what": "demo"}, "rps"),
        ({"act": "cap", "what": "demo", "rps": -1}, "rps"),
        ({"act": "cap", "what": "nobody", "rps": 1}, "no tenant"),
        ({"act": "cap", "what": "demo", "rps": True}, "rps"),
        ({"act": "acknowledge", "kind": "x"}, "no finding"),
        ({"act": ["drain"]}, ""),
    ],
)
def test_invalid_actions_are_refused_and_change_nothing(admin_site, value, reason):
    code, answer = admin_site.act(value)
    assert code in (400, 409) and reason in answer["error"]
    assert not admin_site.site.core.caps.caps and not admin_site.site.core.membership.operator_drains


def test_gateway_drain_action_finishes_open_streams(admin_site):
    stopped = []
    admin_site.loop.stop = lambda: stopped.append(True)
    client = admin_site.start(tokens=100)
    client.until(lambda got: b"data:" in got)
    assert admin_site.act({"act": "drain-gateway"})[1]["done"] == "the gateway drains"
    client.until()
    assert client.got.rstrip().endswith(b"0") and b"[DONE]" in client.got
    assert admin_site.loop.run_until(lambda: stopped, 8 * S)


def test_unknown_paths_parts_and_methods(admin_site):
    assert admin_site.ask("/v1/nothing")[0] == 404 and admin_site.ask("/v1/snapshot?parts=all,soup")[0] == 400
    assert admin_site.ask("/v1/snapshot", method=b"POST", value={})[0] == 405 and admin_site.ask("/v1/feed?after=x")[0] == 400
    assert admin_site.ask("/v1/actions", address=admin_site.control_path)[0] == 405


class FeedFollower:
    """A follower of the feed on a bare socket. It reads only in `read`."""

    def __init__(self, admin_site, after="now"):
        self.admin_site, self.received = admin_site, b""
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(admin_site.read_path)
        self.sock.setblocking(False)
        self.sock.sendall(b"GET /v1/feed?after=%s HTTP/1.1\r\nHost: x\r\n\r\n" % str(after).encode())

    def read(self):
        try:
            while True:
                data = self.sock.recv(65536)
                if not data:
                    break
                self.received += data
        except BlockingIOError:
            pass
        return [json.loads(line) for line in self.received.split(b"\n") if line.startswith(b"{") and line.endswith(b"}")]


def test_feed_sends_changes_in_order_and_earlier_ones_on_request(admin_site):
    follower = FeedFollower(admin_site)
    admin_site.loop.run_until(lambda: admin_site.admin.follower_count, S)
    admin_site.act({"act": "drain", "what": admin_site.site.ids[1]})
    admin_site.loop.run_until(lambda: any(r["type"] == "action" for r in follower.read()), 5 * S)
    rows = follower.read()
    assert [r["type"] for r in rows if r["type"] != "tick"][:2] == ["box", "action"]
    assert [r["seq"] for r in rows] == sorted(r["seq"] for r in rows)
    late_follower = FeedFollower(admin_site, 0)
    admin_site.loop.run_until(lambda: late_follower.read(), 5 * S)
    assert late_follower.read()[0]["type"] == "gateway"
    follower.sock.close()
    late_follower.sock.close()
    assert admin_site.loop.run_until(lambda: admin_site.admin.follower_count == 0, 5 * S)


def test_follower_that_stops_reading_is_bounded_and_told_what_it_lost(admin_site):
    follower = FeedFollower(admin_site)
    admin_site.loop.run_until(lambda: admin_site.admin.follower_count, S)
    for i in range(20_000):
        admin_site.admin.record_change("mode", text=f"suspect {i} " + "x" * 200)
        if i % 500 == 0:
            admin_site.loop.turn(0)
    feed = admin_site.admin.feed
    assert feed.size_bytes <= feed.max_bytes and len(feed.lines) <= feed.max_lines
    stream = next(c.stream for s in admin_site.admin.servers for c in s.connections if c.current)
    assert stream.unsent_bytes < 300_000
    assert admin_site.call() == 200
    admin_site.loop.run_until(lambda: follower.read() and follower.read()[-1].get("seq") == feed.seq, 10 * S)
    lost = [r for r in follower.read() if r["type"] == "lost"]
    seqs = [r["seq"] for r in follower.read() if "seq" in r]
    assert lost and len(seqs) + sum(r["to"] - r["from"] + 1 for r in lost) == seqs[-1] - seqs[0] + 1
    follower.sock.close()


def test_too_many_followers_are_refused(admin_site):
    admin_site.admin.follower_count = 64
    assert admin_site.ask("/v1/feed")[0] == 503
    admin_site.admin.follower_count = 0


def test_concurrent_snapshots_share_one_build(admin_site):
    builds, build = [], admin_site.admin.build_snapshot
    admin_site.admin.build_snapshot = lambda wanted: (builds.append(wanted), build(wanted))[1]
    out = []
    for _ in range(20):
        admin_site.pool.request(
            admin_site.read_path, b"GET", b"/v1/snapshot", [], b"", ResponseCollector(lambda answer: out.append(answer[0]))
        )
    assert admin_site.loop.run_until(lambda: len(out) == 20, 5 * S) and out == [200] * 20 and len(builds) == 1


def test_large_snapshot_is_built_in_slices(admin_site):
    """With 5,000 open requests a snapshot must not hold up any turn of the loop for long."""
    core = admin_site.site.core
    from lapiswing.gateway.request import Req

    spec = None
    admin_site.call()
    client = admin_site.start(tokens=3000)
    client.until(lambda got: b"data:" in got)
    (open_req,) = core.reqs.values()
    spec = open_req.spec
    for i in range(5000):
        req = Req(10**6 + i, spec, core.loop.clock.now_us())
        req.attempt_history = ["read 127.0.0.1:1 read 7"]
        core.reqs[req.rid] = req
    durations_s, run_slices = [], admin_site.site.gateway.tasks.run_slices

    def run_slices_timed():
        start = time.perf_counter()
        run_slices()
        durations_s.append(time.perf_counter() - start)

    admin_site.loop.after[admin_site.loop.after.index(run_slices)] = run_slices_timed
    _, snap = admin_site.ask("/v1/snapshot")
    assert (
        len(snap["reqs"]) == 5001
        and len([duration for duration in durations_s if duration > 0.0001]) >= 10
        and "snapshot" in [row["name"] for row in admin_site.site.gateway.tasks.finished]
    )
    assert sorted(durations_s)[-3] < 0.05
    for i in range(5000):
        del core.reqs[10**6 + i]
    client.left()


def test_keys_over_tcp_separate_read_and_control_access(tmp_path):
    from lapiswing.loop import free_ports

    (port,) = free_ports(1)
    with AdminSite(tmp_path, more=f'port: {port} key: "{KEY}" control_key: "{CONTROL}"') as admin_site:
        address = ("127.0.0.1", port)
        assert admin_site.ask("/v1/verdict", address)[0] == 401 and admin_site.ask("/v1/verdict", address, key="x" * 16)[0] == 401
        assert admin_site.ask("/v1/verdict", address, key=KEY)[0] == 200
        assert admin_site.act({"act": "cap", "what": "demo", "rps": 1}, address, KEY)[0] == 403
        assert admin_site.act({"act": "cap", "what": "demo", "rps": 1}, address, CONTROL)[0] == 200
        assert "127.0.0.1:" in json.loads(admin_site.audit.read_text())["who"]


@pytest.mark.parametrize(
    "text,field",
    [
        ("port: 9999", "admin.key"),
        ('port: 9999 key: "short"', "admin.key[0]"),
        ('path: "a" control_path: "a"', "admin.control_path"),
        ("port: 99999", "admin.port"),
    ],
)
def test_invalid_admin_settings(text, field):
    with pytest.raises(SettingsError) as error:
        load_text(
            f'group {{ name: "g" effect: REPLAYABLE }} kind {{ name: "k" role: BOTH memory_tokens: 1 }} '
            f'box {{ id: "a:1" kind: "k" }} admin {{ {text} }}'
        )
    assert field in [f.field for f in error.value.faults]


def test_stale_socket_file_is_replaced_but_not_one_in_use(tmp_path):
    path = str(tmp_path / "s")
    listening = listen_unix(path, 0o600)
    with pytest.raises(OSError, match="another process"):
        listen_unix(path, 0o600)
    listening.close()
    listen_unix(path, 0o600).close()
    (tmp_path / "file").write_text("mine")
    with pytest.raises(OSError):
        listen_unix(str(tmp_path / "file"), 0o600)
    assert (tmp_path / "file").read_text() == "mine"


def test_client_errors_and_addresses(tmp_path):
    with pytest.raises(AdminError, match="No such file"):
        ask(str(tmp_path / "none"), "GET", "/v1/verdict")
    assert parse_address("a:1") == ("a", 1) and parse_address("/run/a:1") == "/run/a:1" and parse_address("x.sock") == "x.sock"


# ---- the feed, caps and drains without a gateway


def test_feed_is_bounded_and_reports_dropped_lines():
    feed = Feed(max_lines=10, max_bytes=100_000)
    for i in range(25):
        feed.publish(i, "x", n=i)
    data, seq = feed.lines_after(3)
    rows = [json.loads(line) for line in data.splitlines()]
    assert rows[0] == {"type": "lost", "from": 4, "to": 15} and [r["seq"] for r in rows[1:]] == list(range(16, 26)) and seq == 25
    assert feed.lines_after(25) == (b"", 25)
    assert json.loads(feed.lines_after(99)[0].splitlines()[0])["type"] == "lost"  # a number of a previous process
    data, seq = feed.lines_after(15, max_bytes=1)
    assert seq == 16 and data.count(b"\n") == 1


def test_caps_limit_a_tenant_until_they_expire():
    caps = Caps()
    assert caps.retry_after_us(0, "a") is None
    caps.put(0, "a", 2, 10 * S)
    assert [caps.retry_after_us(0, "a") for _ in range(3)] == [None, None, 500_000]
    assert caps.retry_after_us(500_000, "a") is None and caps.retry_after_us(500_000, "b") is None
    caps.put(S, "b", 0, 2 * S)
    assert caps.retry_after_us(2 * S, "b") == S and caps.retry_after_us(3 * S, "b") is None and "b" not in caps.caps
    assert caps.lift("a") and not caps.lift("a")


def test_operator_drain_is_independent_of_the_list_and_the_server():
    from lapiswing.interface import Server

    rows = [Server(n, 0, 0, 0, 1.0, 0, "ready") for n in ("a", "b")]
    members = Membership()
    members.update_list(rows)
    assert [r.mode for r in members.set_operator_draining("a", True)[2]] == ["draining"] and members.reason_of("a") == "operator"
    assert (
        members.set_reported_draining("a", True) is None and members.set_reported_draining("a", False) is None
    )  # no change: the operator's drain stays in force
    assert members.update_list(rows) is None and members.reason_of("a") == "operator"
    assert [r.mode for r in members.set_operator_draining("a", False)[2]] == ["ready"]
    members.set_operator_draining("b", True)
    members.update_list(rows[:1])
    members.update_list(rows)
    assert members.published["b"].mode == "ready"  # the list had dropped it, which ends the operator's drain
    with pytest.raises(KeyError):
        members.set_operator_draining("c", True)
