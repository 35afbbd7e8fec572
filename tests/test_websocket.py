"""Sessions over sockets, with the client library `websocket-client`; bare bytes where the library would not misbehave."""

import base64
import json
import os
import socket
import struct
import threading

import pytest
import websocket
from lapiswing.standin.box import answer_to
from gateway_site import GatewaySite, RawClient, chat, post, status, words

PATH = "/v1/chat/sessions"


class Work(threading.Thread):
    """A client's script beside the loop; what it returns is `result`, what it raises is raised again."""

    def __init__(self, place, script, *args, most_s=20):
        super().__init__(daemon=True)
        self.script, self.args, self.result, self.problem = script, args, None, None
        self.start()
        place.until(lambda: not self.is_alive(), most_s)
        if self.problem:
            raise self.problem

    def run(self):
        try:
            self.result = self.script(*self.args)
        except BaseException as problem:
            self.problem = problem


class Session:
    def __init__(self, port, key="demo", **more):
        self.ws = websocket.create_connection(
            f"ws://127.0.0.1:{port}{PATH}",
            header=[f"Authorization: Bearer {key}"],
            subprotocols=["lapiswing.chat.v1"],
            timeout=8,
            **more,
        )
        self.chunks, self.finals, self.seen, self.token, self.next = {}, {}, {}, None, {}

    def say(self, **fields):
        self.ws.send(json.dumps(fields))

    def call(self, rid, body=None, headers=None, **more):
        self.say(type="call", id=rid, body=body or chat(), headers=headers or {}, **more)

    def read(self):
        text = self.ws.recv()
        if not text:
            raise websocket.WebSocketConnectionClosedException(f"closed {self.ws}")
        message = json.loads(text)
        if message["type"] == "session":
            self.token, self.next = message["token"], message["next"]
        elif message["type"] == "events":
            rid = message["id"]
            assert message["seq"] == self.seen.get(rid, 0) + 1, "a gap or a repeat"
            self.seen[rid] = message["seq"] + len(message["chunks"]) - 1
            self.chunks.setdefault(rid, []).extend(message["chunks"])
        elif message["type"] == "final":
            assert message["id"] not in self.finals, "two final answers"
            self.finals[message["id"]] = message
            self.seen[message["id"]] = message["seq"]
        return message

    def until(self, done):
        while not done(self):
            self.last = self.read()
        return self

    def text(self, rid):
        return "".join((c["choices"][0]["delta"].get("content") or "") for c in self.chunks.get(rid, []))

    def cut(self):
        """The radio link drops: no close, no end."""
        sock = self.ws.sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def back(self, port, key="demo"):
        """The same client on a new connection."""
        new = Session(port, key)
        new.chunks, new.finals, new.seen = self.chunks, self.finals, self.seen
        new.say(type="resume", token=self.token, seen=self.seen)
        return new


def reference(place, **fields):
    return words(RawClient(place, post(chat(**fields))).until())


def test_several_reqs_on_one_session():
    with GatewaySite() as place:
        want = reference(place, tokens=30)

        def script(port):
            s = Session(port)
            for i in range(5):
                s.call(f"c{i}", chat(tokens=30))
            s.call("whole", chat(tokens=4, stream=False))
            s.call("usage", chat(tokens=4, stream_options={"include_usage": True}))
            s.call("wrong", {"model": "question"})
            s.call("nope", chat("nope"))
            s.say(type="ping", data="x")
            s.until(lambda s: len(s.finals) == 9)
            s.ws.close()
            return s

        s = Work(place, script, place.port).result
        assert {s.text(f"c{i}") for i in range(5)} == {want}
        assert s.finals["whole"]["completion"]["usage"]["completion_tokens"] == 4
        assert s.chunks["usage"][-1]["usage"]["completion_tokens"] == 4
        assert s.finals["wrong"]["error"]["param"] == "messages" and s.finals["nope"]["how"] == "wrong"
        place.until(lambda: not place.gateway.sessions.book.sessions)  # an orderly close ends it


@pytest.mark.parametrize(
    "headers,code",
    [([], 401), (["Authorization: Bearer nope"], 401), (["Authorization: Bearer demo", "Sec-WebSocket-Protocol: other"], 400)],
)
def test_refused_handshakes(headers, code):
    with GatewaySite() as place:

        def script(port):
            with pytest.raises(websocket.WebSocketBadStatusException) as caught:
                websocket.create_connection(f"ws://127.0.0.1:{port}{PATH}", header=headers, timeout=5)
            return caught.value.status_code

        assert Work(place, script, place.port).result == code


def test_a_plain_get_and_an_old_version():
    with GatewaySite() as place:
        get = f"GET {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo\r\nConnection: close\r\n".encode()
        assert status(RawClient(place, get + b"\r\n").until()) == 426
        old = get.replace(b"Connection: close", b"Connection: Upgrade") + (
            b"Upgrade: websocket\r\nSec-WebSocket-Key: aaaaaaaaaaaaaaaaaaaaaa==\r\nSec-WebSocket-Version: 8\r\n\r\n"
        )
        raw = RawClient(place, old)
        assert status(raw.until(lambda got: b"\r\n\r\n" in got)) == 400


def test_a_drop_in_mid_stream_and_the_rest_exactly_once():
    with GatewaySite() as place:
        want = reference(place, tokens=80)

        def script(port):
            s = Session(port)
            s.call("a", chat(tokens=80))
            for cut in (5, 20, 50):
                s.until(lambda s: s.seen.get("a", 0) > cut)
                s.cut()
                s = s.back(port)
            return s.until(lambda s: s.finals)

        s = Work(place, script, place.port).result
        assert s.text("a") == want and s.finals["a"]["how"] == "done" and len(place.rows("ran")) == 2


def test_a_drop_while_a_keyed_req_is_at_its_first_forward_and_after_its_final_answer():
    with GatewaySite(read_per_s=400.0) as place:

        def script(port):
            s = Session(port)
            s.until(lambda s: s.token)
            s.call("a", chat("order", text="y" * 200, tokens=10), {"Idempotency-Key": "k"})
            s.call("b", chat("order", text="y", tokens=2), {"Idempotency-Key": "k2"})
            while not place.rows("arrive"):
                pass
            s.cut()
            while len(place.rows("end", how="done")) < 2:  # both are over before it comes back
                pass
            return s.back(port).until(lambda s: len(s.finals) == 2)

        s = Work(place, script, place.port).result
        assert len(s.text("a").split()) == 10 and len(place.rows("ran")) == 2
        assert {f["how"] for f in s.finals.values()} == {"done"}


def test_two_connections_resume_the_same_session():
    with GatewaySite(step_ms=10.0) as place:

        def script(port):
            s = Session(port)
            s.call("a", chat(tokens=60))
            s.until(lambda s: s.seen.get("a", 0) > 3)
            s.cut()
            one = s.back(port)
            one.until(lambda s: s.next)
            two = s.back(port)
            two.until(lambda s: s.finals)
            code = 0
            try:
                while True:
                    op, data = one.ws.recv_data()
                    if op == 8:
                        code = struct.unpack(">H", data[:2])[0]
                        break
            except (OSError, websocket.WebSocketException):
                pass
            return two, code

        two, code = Work(place, script, place.port).result
        assert code == 4001 and len(two.text("a").split()) == 60


def test_tokens_that_are_refused():
    with GatewaySite() as place, GatewaySite() as elsewhere:
        # Both have the same signing key, as gateways of one site do.
        elsewhere.gateway.sessions.tokens.fernet = place.gateway.sessions.tokens.fernet

        def script(port):
            s = Session(port)
            s.until(lambda s: s.token)
            out = []
            for token, key in ((s.token[:-3] + "AAA", "demo"), (s.token, "other"), ("", "demo")):
                n = Session(port, key)
                n.say(type="resume", token=token)
                out.append(n.read()["code"])
                out.append(n.read()["type"])  # and it goes on as a new session
            return out, s.token

        out, token = Work(place, script, place.port).result
        assert out == ["bad_token", "session"] * 3

        def other(port):
            n = Session(port)
            n.say(type="resume", token=token)
            return n.read()

        said = Work(elsewhere, other, elsewhere.port).result
        assert said["code"] == "other_gateway" and "don't" in said["advice"]["pay"]
        assert set(said["advice"]) == {"question", "order", "pay"}


def test_a_withdrawn_key_can_not_come_back():
    with GatewaySite() as place:

        def script(port):
            s = Session(port)
            s.until(lambda s: s.token)
            s.cut()
            place.gateway.front.mapper.tenants.pop(b"demo")
            with pytest.raises(websocket.WebSocketBadStatusException) as caught:
                s.back(port)
            return caught.value.status_code

        assert Work(place, script, place.port).result == 401


def test_a_session_that_never_comes_back_counts_as_left():
    with GatewaySite(more="sessions { resume_ms: 400 }", step_ms=20.0) as place:

        def script(port):
            s = Session(port)
            s.call("a", chat("pay", tokens=500))
            s.until(lambda s: s.seen.get("a", 0) > 2)
            s.cut()
            return s

        old = Work(place, script, place.port).result
        place.until(lambda: place.rows("end", how="left") and not place.core.reqs)
        assert not any(b.running or b.states for b in place.fleet.boxes.values())
        said = Work(place, lambda port: old.back(port).read(), place.port).result
        assert said["code"] == "session_over"


def test_limits_are_answered_at_once():
    with GatewaySite(more="sessions { per_tenant: 1 reqs: 2 }", step_ms=20.0) as place:

        def script(port):
            s = Session(port)
            for i in range(3):
                s.call(f"c{i}", chat(tokens=20))
            s.until(lambda s: "c2" in s.finals)
            extra = Session(port)
            message = extra.read()
            with pytest.raises(websocket.WebSocketException):
                extra.read()
            other = Session(port, "other").until(lambda s: s.token)
            return s.finals["c2"], message, other

        final, message, other = Work(place, script, place.port).result
        assert final["how"] == "pushed_back" and final["retry_after_ms"] == 1000
        assert message["code"] == "too_many_sessions" and other.token


def test_credit_stops_a_stream_and_not_its_session():
    with GatewaySite(more="sessions { stall_ms: 1500 }") as place:

        def script(port):
            s = Session(port)
            s.call("slow", chat(tokens=60), credit=5)
            s.call("dead", chat(tokens=60), credit=2)
            s.call("free", chat(tokens=60))
            s.until(lambda s: "free" in s.finals)
            assert s.seen["slow"] == 5
            s.say(type="credit", id="slow", events=1000)
            return s.until(lambda s: len(s.finals) == 3)

        s = Work(place, script, place.port).result
        assert s.text("slow") == s.text("free") and s.finals["slow"]["how"] == "done"
        assert s.finals["dead"]["how"] == "aborted"  # nobody granted it anything
        place.until(lambda: not place.core.reqs)


def test_cancel():
    with GatewaySite(step_ms=20.0) as place:

        def script(port):
            s = Session(port)
            s.call("a", chat(tokens=400))
            s.until(lambda s: s.seen.get("a", 0) > 2)
            s.say(type="cancel", id="a")
            return s.until(lambda s: s.finals)

        assert Work(place, script, place.port).result.finals["a"]["how"] == "aborted"
        place.until(lambda: place.rows("end", how="left") and not place.core.reqs)


def frame(op, data, fin=True, mask=b"\1\2\3\4", rsv=0):
    head = bytes([(0x80 if fin else 0) | rsv | op])
    size = len(data)
    bit = 0x80 if mask else 0
    head += (
        bytes([bit | size])
        if size < 126
        else bytes([bit | 126]) + struct.pack(">H", size)
        if size < 65536
        else (bytes([bit | 127]) + struct.pack(">Q", size))
    )
    return head + (mask + bytes(b ^ mask[i % 4] for i, b in enumerate(data)) if mask else data)


def opened(place):
    raw = RawClient(
        place,
        (
            f"GET {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo\r\nUpgrade: websocket\r\n"
            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: "
            f"{base64.b64encode(os.urandom(16)).decode()}\r\n\r\n"
        ).encode(),
    )
    raw.until(lambda got: b"\r\n\r\n" in got)
    assert status(raw.got) == 101
    return raw


def close_code(got):
    at = got.rfind(b"\x88")
    return struct.unpack(">H", got[at + 2 : at + 4])[0]


@pytest.mark.parametrize(
    "data,code",
    [
        (frame(1, b"\xff\xfe"), 1007),
        (frame(1, b"{}", mask=b""), 1002),
        (frame(2, b"x"), 1003),
        (frame(1, b"x" * 70000), 1009),
        (frame(0, b"x"), 1002),
        (frame(9, b"x" * 126), 1002),
        (frame(9, b"x", fin=False), 1002),
        (frame(1, b"{}", rsv=0x40), 1002),
        (frame(3, b""), 1002),
        (frame(1, b"\xe2\x82", fin=False) + frame(0, b"\xff"), 1007),
    ],
)
def test_frames_that_end_the_connection(data, code):
    with GatewaySite(more="sessions { message_bytes: 65536 }") as place:
        raw = opened(place)
        raw.sock.sendall(data)
        assert close_code(raw.until()) == code
        assert reference(place, tokens=1)


def test_fragments_with_control_frames_between():
    with GatewaySite() as place:
        raw = opened(place)
        text = json.dumps({"type": "call", "id": "ü", "body": chat(text="größe", tokens=2)}, ensure_ascii=False).encode()
        for i, byte in enumerate(text):  # cut also within characters
            raw.sock.sendall(frame(1 if i == 0 else 0, bytes([byte]), fin=i == len(text) - 1))
            if i % 50 == 0:
                raw.sock.sendall(frame(9, b"hi"))
                place.loop.turn(0)
        raw.until(lambda got: b'"how":"done"' in got)
        assert raw.got.count(b"\x8a\x02hi") == len(range(0, len(text), 50))


def test_what_is_no_message_is_told_and_harms_nobody():
    with GatewaySite() as place:

        def script(port):
            s = Session(port)
            s.until(lambda s: s.token)
            out = []
            for text in (
                "{",
                "[]",
                '{"type":"dance"}',
                '{"type":"call"}',
                '{"type":"call","id":7}',
                '{"type":"credit","id":"x"}',
                '{"type":"resume","token":"x"}',
            ):
                s.ws.send(text)
                out.append(s.read()["code"])
            s.call("a", chat(tokens=2))
            s.call("a", chat(tokens=2))
            s.until(lambda s: s.finals and s.last["type"] != "events")
            return out

        assert Work(place, script, place.port).result == [
            "bad_message",
            "bad_message",
            "unknown_type",
            "bad_message",
            "bad_message",
            "bad_message",
            "too_late",
        ]


def test_a_client_that_pings_and_never_reads_is_bounded():
    with GatewaySite(more="sessions { stall_ms: 1000 }") as place:
        raw = opened(place)
        ping = frame(9, b"x" * 125) * 200
        sent = 0
        for _ in range(400):
            try:
                sent += raw.sock.send(ping)
            except BlockingIOError:
                pass
            except OSError:
                break
            place.loop.turn(0)
            waiting = max([c.stream.unsent_bytes for c in place.gateway.sessions.connections] + [0])
            assert waiting < 600_000
        assert sent > 1_000_000
        place.until(lambda: not place.gateway.sessions.connections)  # it took nothing for `stall_ms`


def test_sessions_are_sent_elsewhere_in_a_spread_when_the_gateway_drains():
    with GatewaySite(more="sessions { spread_ms: 1000 }") as place:
        place.gateway.settings.gateway.drain_limit_ms = 2500
        raws = [opened(place) for _ in range(12)]
        for raw in raws:
            raw.until(lambda got: b'"session"' in got)
        raws[0].sock.sendall(frame(1, json.dumps({"type": "call", "id": "a", "body": chat(tokens=60)}).encode()))
        place.until(lambda: place.rows("first"))
        stopped, times = [], {}
        place.gateway.loop.stop = lambda: stopped.append(True)
        start = place.loop.clock.now_us()
        place.gateway.drain()

        def all_gone():
            for i, raw in enumerate(raws):
                if b"\x03\xf4going away" in raw.read() and i not in times:
                    times[i] = place.loop.clock.now_us() - start
                    raw.sock.sendall(frame(8, struct.pack(">H", 1012)))
            return len(times) == len(raws)

        place.until(all_gone)
        assert all(close_code(r.got) == 1012 and b'"going_away"' in r.got for r in raws)
        assert b'"how":"done"' in raws[0].got
        buckets = {t // 250_000 for t in times.values()}
        assert len(buckets) >= 3 and max(times.values()) < 2_500_000
        place.until(lambda: stopped)


def test_a_session_may_come_back_while_the_gateway_drains():
    """The port stays open for as long as a dropped session has something to come back for."""
    with GatewaySite(step_ms=10.0) as place:

        def script(port):
            s = Session(port)
            s.call("a", chat(tokens=60))
            s.until(lambda s: s.seen.get("a", 0) > 3)
            s.cut()
            while place.gateway.sessions.connections:
                pass
            place.loop.soon(place.gateway.drain)
            while not place.core.draining:
                pass
            fresh = Session(port)
            fresh.say(type="ping")
            refused = [fresh.read(), fresh.read()]
            s = s.back(port).until(lambda s: s.finals)
            s.call("b")
            return s.until(lambda s: len(s.finals) == 2), refused

        stopped = []
        place.gateway.loop.stop = lambda: stopped.append(True)
        s, refused = Work(place, script, place.port).result
        assert len(s.text("a").split()) == 60 and s.finals["b"]["how"] == "pushed_back"
        assert {r.get("code") or r["type"] for r in refused} == {"pong", "draining"}
        place.until(lambda: stopped)
        with pytest.raises(OSError):
            RawClient(place)


def test_a_thousand_sessions_drop_together_and_return_together_while_two_boxes_are_down():
    """All of them get the rest of their answers, each once."""
    import resource

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    boxes = ["read"] * 3 + ["write"] * 5
    try:
        with GatewaySite(boxes, step_ms=60.0, per_stream_ms=0.0, slots=400, queue=400, read_queue=1200, memory=10**7) as place:
            place.core.limits.max_come_back_ms = 1000
            raws = []
            for i in range(1000):
                raws.append(opened(place))
                raws[-1].sock.sendall(
                    frame(1, json.dumps({"type": "call", "id": "a", "body": chat(text=f"q{i}", tokens=30)}).encode())
                )
                if i % 8 == 0:
                    place.loop.turn(0)
            place.until(
                lambda: (
                    all(b'"session"' in r.read() for r in raws)
                    and sum(b'"events"' in r.got or b'"final"' in r.got for r in raws) > 900
                ),
                30,
            )
            for i in (0, 3):
                place.box(i).die()
            texts = []
            for raw in raws:
                raw.left()
                messages = list(server_messages(raw.got))
                token = next(m["token"] for m in messages if m["type"] == "session")
                texts.append((token, messages))
            place.until(lambda: len(place.gateway.sessions.connections) == 0)
            back = []
            for token, messages in texts:
                last = max([m["seq"] + len(m.get("chunks", [0])) - 1 for m in messages if "seq" in m] + [0])
                back.append(opened(place))
                back[-1].sock.sendall(frame(1, json.dumps({"type": "resume", "token": token, "seen": {"a": last}}).encode()))
                if len(back) % 8 == 0:
                    place.loop.turn(0)
            ended = [any(m["type"] == "final" for m in messages) for _, messages in texts]
            place.until(lambda: all(done or b'"final"' in raw.read() for done, raw in zip(ended, back)), 30)
            done = 0
            for i, ((_, before), raw) in enumerate(zip(texts, back)):
                row = [m for m in before + list(server_messages(raw.read())) if m["type"] in ("events", "final")]
                finals = [m for m in row if m["type"] == "final"]
                assert len(finals) == 1 and finals[0] is row[-1]
                chunks = [c for m in row if m["type"] == "events" for c in m["chunks"]]
                at = 1
                for m in row:
                    assert m["seq"] == at
                    at += len(m.get("chunks", [0]))
                if finals[0]["how"] == "done":
                    done += 1
                    said = "".join(c["choices"][0]["delta"].get("content") or "" for c in chunks)
                    assert said == answer_to([f"user\nq{i}"], 30)
            assert done >= 900, done
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def server_messages(got):
    """The text messages behind a handshake, as far as they are whole."""
    data = got.split(b"\r\n\r\n", 1)[1]
    while len(data) >= 2:
        size, at = data[1] & 0x7F, 2
        if size == 126:
            size, at = struct.unpack(">H", data[2:4])[0], 4
        elif size == 127:
            size, at = struct.unpack(">Q", data[2:10])[0], 10
        if len(data) < at + size:
            return
        if data[0] & 0xF == 1:
            yield json.loads(data[at : at + size])
        data = data[at + size :]
