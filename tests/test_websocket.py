"""End-to-end tests of WebSocket sessions, with the client library `websocket-client`. Tests of protocol violations send plain
bytes."""

import base64
import json
import os
import socket
import struct
import threading

import pytest
import websocket
from gateway_site import GatewaySite, RawClient, chat, post, status, words

from lapiswing.standin.box import answer_to

PATH = "/v1/chat/sessions"


class ScriptThread(threading.Thread):
    """Runs a client's script in a thread while the loop runs. Keeps its `result`, and raises its exception again."""

    def __init__(self, site, script, *args, most_s=20):
        super().__init__(daemon=True)
        self.script, self.args, self.result, self.error = script, args, None, None
        self.start()
        site.until(lambda: not self.is_alive(), most_s)
        if self.error:
            raise self.error

    def run(self):
        try:
            self.result = self.script(*self.args)
        except BaseException as error:
            self.error = error


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

    def send(self, **fields):
        self.ws.send(json.dumps(fields))

    def call(self, rid, body=None, headers=None, **more):
        self.send(type="call", id=rid, body=body or chat(), headers=headers or {}, **more)

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
        return "".join((chunk["choices"][0]["delta"].get("content") or "") for chunk in self.chunks.get(rid, []))

    def drop(self):
        """Resets the connection without a closing handshake."""
        sock = self.ws.sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def reconnect(self, port, key="demo"):
        """Returns the same client on a new connection, which resumes the session."""
        new = Session(port, key)
        new.chunks, new.finals, new.seen = self.chunks, self.finals, self.seen
        new.send(type="resume", token=self.token, seen=self.seen)
        return new


def reference(site, **fields):
    return words(RawClient(site, post(chat(**fields))).until())


def test_several_requests_in_one_session():
    with GatewaySite() as site:
        want = reference(site, tokens=30)

        def script(port):
            session = Session(port)
            for i in range(5):
                session.call(f"c{i}", chat(tokens=30))
            session.call("whole", chat(tokens=4, stream=False))
            session.call("usage", chat(tokens=4, stream_options={"include_usage": True}))
            session.call("wrong", {"model": "question"})
            session.call("nope", chat("nope"))
            session.send(type="ping", data="x")
            session.until(lambda session: len(session.finals) == 9)
            session.ws.close()
            return session

        session = ScriptThread(site, script, site.port).result
        assert {session.text(f"c{i}") for i in range(5)} == {want}
        assert session.finals["whole"]["completion"]["usage"]["completion_tokens"] == 4
        assert session.chunks["usage"][-1]["usage"]["completion_tokens"] == 4
        assert session.finals["wrong"]["error"]["param"] == "messages" and session.finals["nope"]["how"] == "wrong"
        site.until(lambda: not site.gateway.sessions.book.sessions)  # a normal closure ends the session


@pytest.mark.parametrize(
    "headers,code",
    [([], 401), (["Authorization: Bearer nope"], 401), (["Authorization: Bearer demo", "Sec-WebSocket-Protocol: other"], 400)],
)
def test_refused_handshakes(headers, code):
    with GatewaySite() as site:

        def script(port):
            with pytest.raises(websocket.WebSocketBadStatusException) as caught:
                websocket.create_connection(f"ws://127.0.0.1:{port}{PATH}", header=headers, timeout=5)
            return caught.value.status_code

        assert ScriptThread(site, script, site.port).result == code


def test_plain_get_and_unsupported_version():
    with GatewaySite() as site:
        get = f"GET {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo\r\nConnection: close\r\n".encode()
        assert status(RawClient(site, get + b"\r\n").until()) == 426
        old = get.replace(b"Connection: close", b"Connection: Upgrade") + (
            b"Upgrade: websocket\r\nSec-WebSocket-Key: aaaaaaaaaaaaaaaaaaaaaa==\r\nSec-WebSocket-Version: 8\r\n\r\n"
        )
        raw = RawClient(site, old)
        assert status(raw.until(lambda got: b"\r\n\r\n" in got)) == 400


def test_stream_is_complete_after_dropped_connections():
    with GatewaySite() as site:
        want = reference(site, tokens=80)

        def script(port):
            session = Session(port)
            session.call("a", chat(tokens=80))
            for cut in (5, 20, 50):
                session.until(lambda session: session.seen.get("a", 0) > cut)
                session.drop()
                session = session.reconnect(port)
            return session.until(lambda session: session.finals)

        session = ScriptThread(site, script, site.port).result
        assert session.text("a") == want and session.finals["a"]["how"] == "done" and len(site.rows("ran")) == 2


def test_connection_dropped_during_the_first_attempt_of_a_keyed_request():
    with GatewaySite(read_per_s=400.0) as site:

        def script(port):
            session = Session(port)
            session.until(lambda session: session.token)
            session.call("a", chat("order", text="y" * 200, tokens=10), {"Idempotency-Key": "k"})
            session.call("b", chat("order", text="y", tokens=2), {"Idempotency-Key": "k2"})
            while not site.rows("arrive"):
                pass
            session.drop()
            while len(site.rows("end", how="done")) < 2:  # both end before the client reconnects
                pass
            return session.reconnect(port).until(lambda session: len(session.finals) == 2)

        session = ScriptThread(site, script, site.port).result
        assert len(session.text("a").split()) == 10 and len(site.rows("ran")) == 2
        assert {final["how"] for final in session.finals.values()} == {"done"}


def test_two_connections_resume_the_same_session():
    with GatewaySite(step_ms=10.0) as site:

        def script(port):
            session = Session(port)
            session.call("a", chat(tokens=60))
            session.until(lambda session: session.seen.get("a", 0) > 3)
            session.drop()
            one = session.reconnect(port)
            one.until(lambda session: session.next)
            two = session.reconnect(port)
            two.until(lambda session: session.finals)
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

        two, code = ScriptThread(site, script, site.port).result
        assert code == 4001 and len(two.text("a").split()) == 60


def test_refused_tokens():
    with GatewaySite() as site, GatewaySite() as elsewhere:
        # Both gateways have the same signing key, as those of one site do.
        elsewhere.gateway.sessions.tokens.fernet = site.gateway.sessions.tokens.fernet

        def script(port):
            session = Session(port)
            session.until(lambda session: session.token)
            replies = []
            for token, key in ((session.token[:-3] + "AAA", "demo"), (session.token, "other"), ("", "demo")):
                new = Session(port, key)
                new.send(type="resume", token=token)
                replies.append(new.read()["code"])
                replies.append(new.read()["type"])  # a new session is opened instead
            return replies, session.token

        replies, token = ScriptThread(site, script, site.port).result
        assert replies == ["bad_token", "session"] * 3

        def other(port):
            new = Session(port)
            new.send(type="resume", token=token)
            return new.read()

        reply = ScriptThread(elsewhere, other, elsewhere.port).result
        assert reply["code"] == "other_gateway" and "don't" in reply["advice"]["pay"]
        assert set(reply["advice"]) == {"question", "order", "pay"}


def test_removed_api_key_can_not_resume():
    with GatewaySite() as site:

        def script(port):
            session = Session(port)
            session.until(lambda session: session.token)
            session.drop()
            site.gateway.front.mapper.tenants.pop(b"demo")
            with pytest.raises(websocket.WebSocketBadStatusException) as caught:
                session.reconnect(port)
            return caught.value.status_code

        assert ScriptThread(site, script, site.port).result == 401


def test_session_that_is_not_resumed_counts_as_left():
    with GatewaySite(more="sessions { resume_ms: 400 }", step_ms=20.0) as site:

        def script(port):
            session = Session(port)
            session.call("a", chat("pay", tokens=500))
            session.until(lambda session: session.seen.get("a", 0) > 2)
            session.drop()
            return session

        old = ScriptThread(site, script, site.port).result
        site.until(lambda: site.rows("end", how="left") and not site.core.reqs)
        assert not any(server.running or server.states for server in site.fleet.boxes.values())
        reply = ScriptThread(site, lambda port: old.reconnect(port).read(), site.port).result
        assert reply["code"] == "session_over"


def test_limits_are_answered_at_once():
    with GatewaySite(more="sessions { per_tenant: 1 reqs: 2 }", step_ms=20.0) as site:

        def script(port):
            session = Session(port)
            for i in range(3):
                session.call(f"c{i}", chat(tokens=20))
            session.until(lambda session: "c2" in session.finals)
            extra = Session(port)
            message = extra.read()
            with pytest.raises(websocket.WebSocketException):
                extra.read()
            other = Session(port, "other").until(lambda session: session.token)
            return session.finals["c2"], message, other

        final, message, other = ScriptThread(site, script, site.port).result
        assert final["how"] == "pushed_back" and final["retry_after_ms"] == 1000
        assert message["code"] == "too_many_sessions" and other.token


def test_missing_credit_stops_one_stream_only():
    with GatewaySite(more="sessions { stall_ms: 1500 }") as site:

        def script(port):
            session = Session(port)
            session.call("slow", chat(tokens=60), credit=5)
            session.call("dead", chat(tokens=60), credit=2)
            session.call("free", chat(tokens=60))
            session.until(lambda session: "free" in session.finals)
            assert session.seen["slow"] == 5
            session.send(type="credit", id="slow", events=1000)
            return session.until(lambda session: len(session.finals) == 3)

        session = ScriptThread(site, script, site.port).result
        assert session.text("slow") == session.text("free") and session.finals["slow"]["how"] == "done"
        assert session.finals["dead"]["how"] == "aborted"  # it got no credit in time
        site.until(lambda: not site.core.reqs)


def test_cancel():
    with GatewaySite(step_ms=20.0) as site:

        def script(port):
            session = Session(port)
            session.call("a", chat(tokens=400))
            session.until(lambda session: session.seen.get("a", 0) > 2)
            session.send(type="cancel", id="a")
            return session.until(lambda session: session.finals)

        assert ScriptThread(site, script, site.port).result.finals["a"]["how"] == "aborted"
        site.until(lambda: site.rows("end", how="left") and not site.core.reqs)


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


def opened(site):
    raw = RawClient(
        site,
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
    start = got.rfind(b"\x88")
    return struct.unpack(">H", got[start + 2 : start + 4])[0]


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
    with GatewaySite(more="sessions { message_bytes: 65536 }") as site:
        raw = opened(site)
        raw.sock.sendall(data)
        assert close_code(raw.until()) == code
        assert reference(site, tokens=1)


def test_fragments_with_control_frames_between():
    with GatewaySite() as site:
        raw = opened(site)
        text = json.dumps({"type": "call", "id": "ü", "body": chat(text="größe", tokens=2)}, ensure_ascii=False).encode()
        for i, byte in enumerate(text):  # splits characters too
            raw.sock.sendall(frame(1 if i == 0 else 0, bytes([byte]), fin=i == len(text) - 1))
            if i % 50 == 0:
                raw.sock.sendall(frame(9, b"hi"))
                site.loop.turn(0)
        raw.until(lambda got: b'"how":"done"' in got)
        assert raw.got.count(b"\x8a\x02hi") == len(range(0, len(text), 50))


def test_invalid_messages_are_answered_with_errors():
    with GatewaySite() as site:

        def script(port):
            session = Session(port)
            session.until(lambda session: session.token)
            replies = []
            for text in (
                "{",
                "[]",
                '{"type":"dance"}',
                '{"type":"call"}',
                '{"type":"call","id":7}',
                '{"type":"credit","id":"x"}',
                '{"type":"resume","token":"x"}',
            ):
                session.ws.send(text)
                replies.append(session.read()["code"])
            session.call("a", chat(tokens=2))
            session.call("a", chat(tokens=2))
            session.until(lambda session: session.finals and session.last["type"] != "events")
            return replies

        assert ScriptThread(site, script, site.port).result == [
            "bad_message",
            "bad_message",
            "unknown_type",
            "bad_message",
            "bad_message",
            "bad_message",
            "too_late",
        ]


def test_memory_is_bounded_for_a_client_that_pings_and_never_reads():
    with GatewaySite(more="sessions { stall_ms: 1000 }") as site:
        raw = opened(site)
        ping = frame(9, b"x" * 125) * 200
        sent = 0
        for _ in range(400):
            try:
                sent += raw.sock.send(ping)
            except BlockingIOError:
                pass
            except OSError:
                break
            site.loop.turn(0)
            waiting = max([conn.stream.unsent_bytes for conn in site.gateway.sessions.connections] + [0])
            assert waiting < 600_000
        assert sent > 1_000_000
        site.until(lambda: not site.gateway.sessions.connections)  # the client has read nothing for `stall_ms`


def test_draining_closes_sessions_spread_over_time():
    with GatewaySite(more="sessions { spread_ms: 1000 }") as site:
        site.gateway.settings.gateway.drain_limit_ms = 2500
        raws = [opened(site) for _ in range(12)]
        for raw in raws:
            raw.until(lambda got: b'"session"' in got)
        raws[0].sock.sendall(frame(1, json.dumps({"type": "call", "id": "a", "body": chat(tokens=60)}).encode()))
        site.until(lambda: site.rows("first"))
        stopped, times = [], {}
        site.gateway.loop.stop = lambda: stopped.append(True)
        start = site.loop.clock.now_us()
        site.gateway.drain()

        def all_gone():
            for i, raw in enumerate(raws):
                if b"\x03\xf4going away" in raw.read() and i not in times:
                    times[i] = site.loop.clock.now_us() - start
                    raw.sock.sendall(frame(8, struct.pack(">H", 1012)))
            return len(times) == len(raws)

        site.until(all_gone)
        assert all(close_code(raw.got) == 1012 and b'"going_away"' in raw.got for raw in raws)
        assert b'"how":"done"' in raws[0].got
        buckets = {time_us // 250_000 for time_us in times.values()}
        assert len(buckets) >= 3 and max(times.values()) < 2_500_000
        site.until(lambda: stopped)


def test_session_can_be_resumed_while_the_gateway_drains():
    """The port stays open as long as a disconnected session has an unfinished answer."""
    with GatewaySite(step_ms=10.0) as site:

        def script(port):
            session = Session(port)
            session.call("a", chat(tokens=60))
            session.until(lambda session: session.seen.get("a", 0) > 3)
            session.drop()
            while site.gateway.sessions.connections:
                pass
            site.loop.soon(site.gateway.drain)
            while not site.core.draining:
                pass
            fresh = Session(port)
            fresh.send(type="ping")
            refused = [fresh.read(), fresh.read()]
            session = session.reconnect(port).until(lambda session: session.finals)
            session.call("b")
            return session.until(lambda session: len(session.finals) == 2), refused

        stopped = []
        site.gateway.loop.stop = lambda: stopped.append(True)
        session, refused = ScriptThread(site, script, site.port).result
        assert len(session.text("a").split()) == 60 and session.finals["b"]["how"] == "pushed_back"
        assert {reply.get("code") or reply["type"] for reply in refused} == {"pong", "draining"}
        site.until(lambda: stopped)
        with pytest.raises(OSError):
            RawClient(site)


def test_thousand_sessions_reconnect_together_while_two_servers_are_down():
    """All clients get the rest of their answers exactly once."""
    import resource

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    roles = ["read"] * 3 + ["write"] * 5
    try:
        with GatewaySite(roles, step_ms=60.0, per_stream_ms=0.0, slots=400, queue=400, read_queue=1200, memory=10**7) as site:
            site.core.limits.max_come_back_ms = 1000
            raws = []
            for i in range(1000):
                raws.append(opened(site))
                raws[-1].sock.sendall(
                    frame(1, json.dumps({"type": "call", "id": "a", "body": chat(text=f"q{i}", tokens=30)}).encode())
                )
                if i % 8 == 0:
                    site.loop.turn(0)
            site.until(
                lambda: (
                    all(b'"session"' in raw.read() for raw in raws)
                    and sum(b'"events"' in raw.got or b'"final"' in raw.got for raw in raws) > 900
                ),
                30,
            )
            for i in (0, 3):
                site.box(i).die()
            sessions = []
            for raw in raws:
                raw.left()
                messages = list(server_messages(raw.got))
                token = next(message["token"] for message in messages if message["type"] == "session")
                sessions.append((token, messages))
            site.until(lambda: len(site.gateway.sessions.connections) == 0)
            resumed = []
            for token, messages in sessions:
                last = max(
                    [message["seq"] + len(message.get("chunks", [0])) - 1 for message in messages if "seq" in message] + [0]
                )
                resumed.append(opened(site))
                resumed[-1].sock.sendall(frame(1, json.dumps({"type": "resume", "token": token, "seen": {"a": last}}).encode()))
                if len(resumed) % 8 == 0:
                    site.loop.turn(0)
            ended = [any(message["type"] == "final" for message in messages) for _, messages in sessions]
            site.until(lambda: all(done or b'"final"' in raw.read() for done, raw in zip(ended, resumed)), 30)
            done = 0
            for i, ((_, before), raw) in enumerate(zip(sessions, resumed)):
                received = [
                    message for message in before + list(server_messages(raw.read())) if message["type"] in ("events", "final")
                ]
                finals = [message for message in received if message["type"] == "final"]
                assert len(finals) == 1 and finals[0] is received[-1]
                chunks = [chunk for message in received if message["type"] == "events" for chunk in message["chunks"]]
                next_seq = 1
                for message in received:
                    assert message["seq"] == next_seq
                    next_seq += len(message.get("chunks", [0]))
                if finals[0]["how"] == "done":
                    done += 1
                    text = "".join(chunk["choices"][0]["delta"].get("content") or "" for chunk in chunks)
                    assert text == answer_to([f"user\nq{i}"], 30)
            assert done >= 900, done
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def server_messages(got):
    """Yields the complete text messages after the handshake."""
    data = got.split(b"\r\n\r\n", 1)[1]
    while len(data) >= 2:
        size, start = data[1] & 0x7F, 2
        if size == 126:
            size, start = struct.unpack(">H", data[2:4])[0], 4
        elif size == 127:
            size, start = struct.unpack(">Q", data[2:10])[0], 10
        if len(data) < start + size:
            return
        if data[0] & 0xF == 1:
            yield json.loads(data[start : start + size])
        data = data[start + size :]
