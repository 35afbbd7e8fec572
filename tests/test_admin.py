"""The admin socket: what it tells equals what boxes and clients saw, who may act, and readers that do not read."""

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


class Desk:
    """A place with its admin sockets, and a reader on the same loop."""

    def __init__(self, folder, more="", **place):
        self.look, self.act_at = str(folder / "look.sock"), str(folder / "act.sock")
        self.audit = folder / "audit.jsonl"
        self.place = GatewaySite(
            more=f'admin {{ path: "{self.look}" control_path: "{self.act_at}" audit_file: "{self.audit}" {more} }}', **place
        )
        self.loop, self.admin = self.place.loop, self.place.gateway.admin
        self.pool = Pool(self.loop, 32)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.pool.close()
        self.place.__exit__()

    def ask(self, path, where=None, method=b"GET", value=None, key=None):
        out = []
        fields = [(b"authorization", b"Bearer " + key.encode())] if key else []
        self.pool.request(
            where or self.look,
            method,
            path.encode(),
            fields,
            json.dumps(value).encode() if value else b"",
            ResponseCollector(out.append),
        )
        assert self.loop.run_until(lambda: out, 5 * S)
        status, body = out[0]
        return status, json.loads(body) if body[:1] == b"{" else body

    def act(self, value, where=None, key=None):
        return self.ask("/v1/actions", where or self.act_at, b"POST", value, key)

    def start(self, model="question", text="hello there", **more):
        return RawClient(self.place, post(chat(model, text, **more)))

    def call(self, model="question", text="hello there", **more):
        raw = self.start(model, text, **more)
        return status(raw.until())


@pytest.fixture
def desk(tmp_path):
    with Desk(tmp_path) as desk:
        yield desk


def test_what_is_told_equals_what_boxes_and_clients_saw(desk):
    for i in range(12):
        assert desk.call(text=f"question {i}") == 200
    _, snap = desk.ask("/v1/snapshot")
    assert snap["v"] == 1 and snap["counts"]["done"] == 12 == snap["counts"]["taken"] and snap["now"]["open"] == 0
    boxes = {b["box"]: b for b in snap["boxes"]}
    for name, spec in zip(desk.place.ids, desk.place.specs):
        ran = len(desk.place.rows("ran", box=name)) if spec.role == "write" else len(desk.place.rows("state", box=name))
        assert boxes[name]["codes"].get("done" if spec.role == "write" else "read", 0) == ran, name
        assert boxes[name]["out"] == 0 and boxes[name]["mode"] == "ready"
    tenant = next(t for t in snap["tenants"] if t["tenant"] == "demo")
    assert (tenant["taken"], tenant["done"], tenant["open"]) == (12, 12, 0)
    assert sum(b.get("writes", 0) for b in snap["boxes"]) == pytest.approx(1, abs=0.01)
    text = desk.ask("/metrics")[1].decode()
    assert (
        'lapiswing_reqs_total{what="done"} 12.0' in text and 'lapiswing_tenant_reqs_total{end="done",tenant="demo"} 12.0' in text
    )


def test_a_req_in_flight_with_its_reasons(desk):
    raw = desk.start(text="a long answer", tokens=2000)
    raw.until(lambda got: got.count(b"data:") > 5)
    _, snap = desk.ask("/v1/snapshot?parts=reqs")
    (row,) = snap["reqs"]
    assert row["stage"] == "stream" and row["box"] in desk.place.ids[1:] and row["tenant"] == "demo" and row["tokens"] > 3
    _, one = desk.ask(f"/v1/reqs/{row['req']}")
    assert len(one["reasons"]) == 2 and "share of reads 1.00" in one["reasons"][0]
    raw.left()
    desk.loop.run_until(lambda: not desk.place.core.open, 5 * S)
    assert desk.ask(f"/v1/reqs/{row['req']}")[0] == 404 and desk.ask("/v1/reqs/x")[0] == 400


def test_looking_is_one_right_and_acting_another(desk):
    box = desk.place.ids[1]
    assert desk.act({"act": "drain", "what": box}, desk.look)[0] == 403
    assert desk.place.core.membership.operator_drains == set()
    status_, answer = desk.act({"act": "drain", "what": box})
    assert status_ == 200 and answer["done"] == f"{box} drains"
    row = json.loads(desk.audit.read_text())
    assert row["ask"] == {"act": "drain", "what": box} and row["result"] == "done" and f"uid {os.getuid()}" in row["who"]
    assert os.stat(desk.act_at).st_mode & 0o77 == 0


def test_a_drained_box_gets_nothing_new_and_comes_back(desk):
    """Judged from what the boxes saw."""
    box = desk.place.ids[1]
    desk.act({"act": "drain", "what": box})
    for i in range(6):
        assert desk.call(text=f"q{i}") == 200
    assert not desk.place.rows("arrive", box=box)
    desk.act({"act": "drain", "what": desk.place.ids[2]})
    assert desk.call(text="none left") == 503
    desk.loop.run_until(lambda: desk.admin.diagnosis.open, 5 * S)
    _, head = desk.ask("/v1/verdict")
    assert head["verdict"]["level"] == 3 and head["findings"][0]["kind"] == "no box"
    desk.act({"act": "take-back", "what": box})
    for i in range(4):
        assert desk.call(text=f"r{i}") == 200
    assert len(desk.place.rows("arrive", box=box)) == 4
    assert desk.act({"act": "take-back", "what": box})[0] == 409


def test_a_tenant_is_capped_and_others_are_not(desk):
    assert desk.act({"act": "cap", "what": "demo", "rps": 0, "minutes": 5})[0] == 200
    assert desk.call() == 429 or desk.place.core.counts["capped"] == 1
    assert desk.place.core.counts["taken"] == 0 and not desk.place.rows("arrive")
    raw = RawClient(desk.place, post(chat("question")).replace(b"Bearer demo", b"Bearer other"))
    assert status(raw.until()) == 200
    _, snap = desk.ask("/v1/snapshot?parts=tenants")
    assert next(t for t in snap["tenants"] if t["tenant"] == "demo")["cap"]["rps"] == 0
    assert desk.act({"act": "uncap", "what": "demo"})[0] == 200 and desk.call() == 200
    assert desk.act({"act": "uncap", "what": "demo"})[0] == 409


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
def test_acts_that_can_not_be(desk, value, reason):
    status_, answer = desk.act(value)
    assert status_ in (400, 409) and reason in answer["error"]
    assert not desk.place.core.caps.caps and not desk.place.core.membership.operator_drains


def test_the_gateway_is_drained_by_an_act(desk):
    stopped = []
    desk.loop.stop = lambda: stopped.append(True)
    raw = desk.start(tokens=100)
    raw.until(lambda got: b"data:" in got)
    assert desk.act({"act": "drain-gateway"})[1]["done"] == "the gateway drains"
    raw.until()
    assert raw.got.rstrip().endswith(b"0") and b"[DONE]" in raw.got
    assert desk.loop.run_until(lambda: stopped, 8 * S)


def test_paths_and_parts_that_are_none(desk):
    assert desk.ask("/v1/nothing")[0] == 404 and desk.ask("/v1/snapshot?parts=all,soup")[0] == 400
    assert desk.ask("/v1/snapshot", method=b"POST", value={})[0] == 405 and desk.ask("/v1/feed?after=x")[0] == 400
    assert desk.ask("/v1/actions", where=desk.act_at)[0] == 405


class Reader:
    """A follower of the feed on a bare socket; it reads only when told to."""

    def __init__(self, desk, after="now"):
        self.desk, self.got = desk, b""
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(desk.look)
        self.sock.setblocking(False)
        self.sock.sendall(b"GET /v1/feed?after=%s HTTP/1.1\r\nHost: x\r\n\r\n" % str(after).encode())

    def read(self):
        try:
            while True:
                part = self.sock.recv(65536)
                if not part:
                    break
                self.got += part
        except BlockingIOError:
            pass
        return [json.loads(line) for line in self.got.split(b"\n") if line.startswith(b"{") and line.endswith(b"}")]


def test_the_feed_tells_changes_in_order_and_what_was_missed(desk):
    reader = Reader(desk)
    desk.loop.run_until(lambda: desk.admin.follower_count, S)
    desk.act({"act": "drain", "what": desk.place.ids[1]})
    desk.loop.run_until(lambda: any(r["type"] == "action" for r in reader.read()), 5 * S)
    rows = reader.read()
    assert [r["type"] for r in rows if r["type"] != "tick"][:2] == ["box", "action"]
    assert [r["seq"] for r in rows] == sorted(r["seq"] for r in rows)
    late = Reader(desk, 0)
    desk.loop.run_until(lambda: late.read(), 5 * S)
    assert late.read()[0]["type"] == "gateway"
    reader.sock.close()
    late.sock.close()
    assert desk.loop.run_until(lambda: desk.admin.follower_count == 0, 5 * S)


def test_a_reader_that_does_not_read_costs_nothing_and_is_told_what_it_lost(desk):
    reader = Reader(desk)
    desk.loop.run_until(lambda: desk.admin.follower_count, S)
    for i in range(20_000):
        desk.admin.record_change("mode", text=f"suspect {i} " + "x" * 200)
        if i % 500 == 0:
            desk.loop.turn(0)
    feed = desk.admin.feed
    assert feed.size_bytes <= feed.max_bytes and len(feed.lines) <= feed.max_lines
    stream = next(c.stream for s in desk.admin.servers for c in s.connections if c.current)
    assert stream.unsent_bytes < 300_000
    assert desk.call() == 200
    desk.loop.run_until(lambda: reader.read() and reader.read()[-1].get("seq") == feed.seq, 10 * S)
    lost = [r for r in reader.read() if r["type"] == "lost"]
    seqs = [r["seq"] for r in reader.read() if "seq" in r]
    assert lost and len(seqs) + sum(r["to"] - r["from"] + 1 for r in lost) == seqs[-1] - seqs[0] + 1
    reader.sock.close()


def test_too_many_readers_are_told_so(desk):
    desk.admin.follower_count = 64
    assert desk.ask("/v1/feed")[0] == 503
    desk.admin.follower_count = 0


def test_many_snapshots_at_once_are_one_build(desk):
    builds, real = [], desk.admin.build_snapshot
    desk.admin.build_snapshot = lambda wanted: (builds.append(wanted), real(wanted))[1]
    out = []
    for _ in range(20):
        desk.pool.request(desk.look, b"GET", b"/v1/snapshot", [], b"", ResponseCollector(lambda answer: out.append(answer[0])))
    assert desk.loop.run_until(lambda: len(out) == 20, 5 * S) and out == [200] * 20 and len(builds) == 1


def test_a_big_snapshot_is_built_in_slices(desk):
    """5,000 open reqs: no turn of the loop is held up for long by it."""
    core = desk.place.core
    from lapiswing.gateway.core import Req

    spec = None
    desk.call()
    raw = desk.start(tokens=3000)
    raw.until(lambda got: b"data:" in got)
    (real,) = core.reqs.values()
    spec = real.spec
    for i in range(5000):
        req = Req(10**6 + i, spec, core.loop.clock.now_us())
        req.attempt_history = ["read 127.0.0.1:1 read 7"]
        core.reqs[req.rid] = req
    turns, hook = [], desk.place.gateway.tasks.run_slices

    def timed():
        start = time.perf_counter()
        hook()
        turns.append(time.perf_counter() - start)

    desk.loop.after[desk.loop.after.index(hook)] = timed
    _, snap = desk.ask("/v1/snapshot")
    assert (
        len(snap["reqs"]) == 5001
        and len([t for t in turns if t > 0.0001]) >= 10
        and "snapshot" in [row["name"] for row in desk.place.gateway.tasks.finished]
    )
    assert sorted(turns)[-3] < 0.05
    for i in range(5000):
        del core.reqs[10**6 + i]
    raw.left()


def test_over_tcp_keys_tell_who_may_look_and_who_may_act(tmp_path):
    from lapiswing.loop import free_ports

    (port,) = free_ports(1)
    with Desk(tmp_path, more=f'port: {port} key: "{KEY}" control_key: "{CONTROL}"') as desk:
        where = ("127.0.0.1", port)
        assert desk.ask("/v1/verdict", where)[0] == 401 and desk.ask("/v1/verdict", where, key="x" * 16)[0] == 401
        assert desk.ask("/v1/verdict", where, key=KEY)[0] == 200
        assert desk.act({"act": "cap", "what": "demo", "rps": 1}, where, KEY)[0] == 403
        assert desk.act({"act": "cap", "what": "demo", "rps": 1}, where, CONTROL)[0] == 200
        assert "127.0.0.1:" in json.loads(desk.audit.read_text())["who"]


@pytest.mark.parametrize(
    "text,field",
    [
        ("port: 9999", "admin.key"),
        ('port: 9999 key: "short"', "admin.key[0]"),
        ('path: "a" control_path: "a"', "admin.control_path"),
        ("port: 99999", "admin.port"),
    ],
)
def test_bad_admin_settings(text, field):
    with pytest.raises(SettingsError) as problem:
        load_text(
            f'group {{ name: "g" effect: REPLAYABLE }} kind {{ name: "k" role: BOTH memory_tokens: 1 }} '
            f'box {{ id: "a:1" kind: "k" }} admin {{ {text} }}'
        )
    assert field in [f.field for f in problem.value.faults]


def test_a_dead_socket_is_replaced_and_a_living_one_is_not(tmp_path):
    path = str(tmp_path / "s")
    one = listen_unix(path, 0o600)
    with pytest.raises(OSError, match="another process"):
        listen_unix(path, 0o600)
    one.close()
    listen_unix(path, 0o600).close()
    (tmp_path / "file").write_text("mine")
    with pytest.raises(OSError):
        listen_unix(str(tmp_path / "file"), 0o600)
    assert (tmp_path / "file").read_text() == "mine"


def test_the_client_says_what_is_wrong(tmp_path):
    with pytest.raises(AdminError, match="No such file"):
        ask(str(tmp_path / "none"), "GET", "/v1/verdict")
    assert parse_address("a:1") == ("a", 1) and parse_address("/run/a:1") == "/run/a:1" and parse_address("x.sock") == "x.sock"


# ---- what decides


def test_the_feed_is_bounded_and_numbers_never_lie():
    feed = Feed(max_lines=10, max_bytes=100_000)
    for i in range(25):
        feed.publish(i, "x", n=i)
    data, seq = feed.lines_after(3)
    rows = [json.loads(line) for line in data.splitlines()]
    assert rows[0] == {"type": "lost", "from": 4, "to": 15} and [r["seq"] for r in rows[1:]] == list(range(16, 26)) and seq == 25
    assert feed.lines_after(25) == (b"", 25)
    assert json.loads(feed.lines_after(99)[0].splitlines()[0])["type"] == "lost"  # a number of an earlier life
    small, at = feed.lines_after(15, max_bytes=1)
    assert at == 16 and small.count(b"\n") == 1


def test_caps():
    caps = Caps()
    assert caps.retry_after_us(0, "a") is None
    caps.put(0, "a", 2, 10 * S)
    assert [caps.retry_after_us(0, "a") for _ in range(3)] == [None, None, 500_000]
    assert caps.retry_after_us(500_000, "a") is None and caps.retry_after_us(500_000, "b") is None
    caps.put(S, "b", 0, 2 * S)
    assert caps.retry_after_us(2 * S, "b") == S and caps.retry_after_us(3 * S, "b") is None and "b" not in caps.caps
    assert caps.lift("a") and not caps.lift("a")


def test_an_operators_drain_stands_beside_the_lists_and_the_boxs():
    from lapiswing.interface import Server

    rows = [Server(n, 0, 0, 0, 1.0, 0, "ready") for n in ("a", "b")]
    members = Membership()
    members.update_list(rows)
    assert [r.mode for r in members.set_operator_draining("a", True)[2]] == ["draining"] and members.reason_of("a") == "operator"
    assert (
        members.set_reported_draining("a", True) is None and members.set_reported_draining("a", False) is None
    )  # no change: it drains in any case
    assert members.update_list(rows) is None and members.reason_of("a") == "operator"
    assert [r.mode for r in members.set_operator_draining("a", False)[2]] == ["ready"]
    members.set_operator_draining("b", True)
    members.update_list(rows[:1])
    members.update_list(rows)
    assert members.published["b"].mode == "ready"  # the list had dropped it: the order has ended
    with pytest.raises(KeyError):
        members.set_operator_draining("c", True)
