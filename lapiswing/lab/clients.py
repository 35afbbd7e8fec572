"""The clients of a day, all on one loop. They use the chat API over HTTP or WebSocket sessions, enforce their own time limits
and record what they observe."""

import orjson
from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, CloseConnection, Ping, RejectConnection, Request, TextMessage
from wsproto.utilities import LocalProtocolError, RemoteProtocolError

from lapiswing.chat import EventParser
from lapiswing.chat.call import Message, message_text
from lapiswing.http1.wire import get
from lapiswing.loop import connect
from lapiswing.standin.box import answer_to

MS = 1000  # in microseconds


class Client:
    """Performs one CallPlan: sends tries, waits for the given retry-after before the next one, and gives up."""

    def __init__(self, workload, plan):
        self.workload, self.plan, self.tries, self.gateway = workload, plan, 0, plan.gateway
        self.started_us = workload.loop.clock.now_us()
        self.over = False
        self.request_class = workload.classes[plan.model]
        self.key = plan.id if self.request_class.effect == "KEYED" else None  # idempotency key
        self.refused = 0
        workload.record.put(
            "call",
            call=plan.id,
            model=plan.model,
            target_ms=plan.target_ms,
            importance=plan.importance,
            late=plan.late_importance,
            deadline_ms=plan.deadline_ms,
        )
        self.send_try()

    def left_us(self):
        """Time left until the deadline of the whole call."""
        return self.started_us + self.plan.deadline_ms * MS - self.workload.loop.clock.now_us()

    def send_try(self):
        # With less than 150 ms left there is no time for an answer.
        if self.over or self.left_us() < 150 * MS:
            return self.end("out of time")
        self.tries += 1
        if self.plan.session is None:
            HttpTry(self)
        else:
            SessionTry(self, self.workload.session(self.plan.session))

    def end(self, how):
        """Ends the call for good."""
        if not self.over:
            self.over = True
            self.workload.record.put("over", call=self.plan.id, how=how)
            self.workload.running -= 1

    def on_try_end(self, how, retry_after_us):
        """A try has ended: ends the call or schedules the next try."""
        plan = self.plan
        if how == "done":
            return self.end("done")
        repeatable = how == "pushed back" or self.request_class.effect == "REPLAYABLE" or self.key is not None
        if how == "left" and plan.again and repeatable and self.tries <= plan.retries:
            return self.send_try()
        if how in ("left", "gave up"):
            return self.end(how)
        if how == "refused":  # no connection, so the gateway received nothing
            self.refused += 1
            self.gateway = (self.gateway + 1) % self.workload.gateways
            if self.refused > 2 * self.workload.gateways:
                return self.end(how)
            return self.workload.loop.call_later(50 * MS, self.send_try)
        if not repeatable or self.tries - self.refused > plan.retries:
            return self.end(how)
        wait_us = retry_after_us if how == "pushed back" and plan.honour else 100 * MS
        self.workload.loop.call_later(wait_us, self.send_try)


class Try:
    """One try of a call. Subclasses send it over their transport and call `chunk` and `finish`."""

    def __init__(self, client):
        self.client, self.workload, self.plan = client, client.workload, client.plan
        plan = self.plan
        self.n, self.over, self.begun, self.status = client.tries, False, False, None  # begun: the first token has arrived
        self.lab = plan.id if client.key else f"{plan.id}.{self.n}"
        self.text, self.ends, self.retry_after_us = [], [], 0  # ends: events that end the stream, or break it
        self.deadline_ms = min(client.left_us() // MS, client.request_class.deadline_ms)
        self.body = {
            "model": plan.model,
            "messages": [{"role": r, "content": c} for r, c in plan.texts],
            "stream": plan.stream,
            "max_tokens": plan.tokens,
            "metadata": {"lab": self.lab, "answer_tokens": str(plan.tokens)},
        }
        self.headers = {"x-request-timeout-ms": str(self.deadline_ms)}
        if client.key:
            self.headers["idempotency-key"] = client.key
        self.timer = None

    def sent(self, gateway, front):
        """The try is being sent: records it and starts the client's timers."""
        self.put(
            "try",
            gateway=gateway,
            lab=self.lab,
            deadline_ms=self.deadline_ms,
            key=self.client.key,
            model=self.plan.model,
            front=front,
        )
        self.timer = self.workload.loop.call_later(self.deadline_ms * MS, self.give_up)
        if self.plan.leave_ms is not None and self.n == 1:
            self.workload.loop.call_later(round(self.plan.leave_ms * MS), self.leave)

    def put(self, ev, **fields):
        """Records a row of this try."""
        self.workload.record.put(ev, call=self.plan.id, n=self.n, **fields)

    def give_up(self):
        """No first token before the client's deadline."""
        if not self.begun and not self.over:
            self.cancel()
            self.finish("gave up")

    def leave(self):
        """The client disconnects, as its plan says."""
        if not self.over:
            self.cancel()
            self.finish("left")

    def chunk(self, value):
        """A chunk of the answer has arrived."""
        for choice in value.get("choices") or ():
            content = (choice.get("delta") or {}).get("content")
            if content:
                if not self.begun:
                    self.begin()
                if self.ends:
                    self.ends.append("more")
                self.text.append(content)

    def begin(self):
        """The first token has arrived."""
        self.begun = True
        self.timer.cancel()
        self.put("first", ms=(self.workload.loop.clock.now_us() - self.client.started_us) // MS)

    def finish(self, how):
        """The try has ended: records how, and whether the text is the expected one."""
        if self.over:
            return
        self.over = True
        if self.timer:
            self.timer.cancel()
        fits = None
        if how == "done":
            texts = [message_text(Message(role=r, content=c)) for r, c in self.plan.texts]
            fits = "".join(self.text) == answer_to(texts, self.plan.tokens)
        self.put(
            "final",
            how=how,
            status=self.status,
            fits=fits,
            come_back_us=self.retry_after_us,
            begun=self.begun,
            tokens=len(self.text),
        )
        self.client.on_try_end(how, self.retry_after_us)


class HttpTry(Try):
    """A try over its own HTTP connection."""

    def __init__(self, client):
        super().__init__(client)
        self.events, self.parts = EventParser(1 << 20), []
        fields = [
            (b"authorization", b"Bearer " + self.plan.tenant.encode()),
            (b"content-type", b"application/json"),
            *((k.encode(), v.encode()) for k, v in self.headers.items()),
        ]
        self.sent(client.gateway, "http")
        self.exchange = self.workload.pool.request(
            ("127.0.0.1", self.workload.ports[client.gateway]),
            b"POST",
            b"/v1/chat/completions",
            fields,
            orjson.dumps(self.body),
            self,
            fresh=True,
        )

    def cancel(self):
        self.exchange.cancel()

    def on_head(self, status, fields):
        self.status = status
        ms = get(fields, b"retry-after-ms")
        self.retry_after_us = int(ms) * MS if ms else 0
        self.no_retry = get(fields, b"x-should-retry") == b"false"

    def on_body(self, data):
        if self.status != 200 or not self.plan.stream:
            self.parts.append(data)
            return
        if self.plan.slow:
            self.exchange.pause()
            self.workload.loop.call_later(30 * MS, self.exchange.resume)
        for payload in self.events.feed(data):
            if payload == b"[DONE]":
                self.ends.append("done")
                continue
            value = orjson.loads(payload)
            if "error" in value:
                self.ends.append("aborted")
            else:
                self.chunk(value)

    def on_end(self):
        if self.over:
            return
        if self.status == 200 and self.plan.stream:
            how = self.ends[0] if len(self.ends) == 1 else "cut" if not self.ends else "two ends"
        elif self.status == 200:
            self.begin()
            try:
                self.text = [orjson.loads(b"".join(self.parts))["choices"][0]["message"]["content"]]
                how = "done"
            except (ValueError, KeyError, IndexError, TypeError):
                how = "cut"
        else:
            how = "pushed back" if not self.no_retry and self.status in (429, 503) else "aborted"
        self.finish(how)

    def on_fail(self, stage, why):
        if not self.over:
            self.finish("refused" if stage in ("connect", "unsent") else "cut")


class SessionTry(Try):
    """A try over a WebSocket session, under its own id."""

    def __init__(self, client, session):
        super().__init__(client)
        self.session, self.id, self.last_seq = session, f"{self.plan.id}.{self.n}", 0
        session.call(self)

    def cancel(self):
        self.session.cancel(self)

    def give_up(self):
        # Answers sent while the session was disconnected arrive only after it has resumed.
        if not self.begun and not self.over and not self.session.is_settled():
            self.timer = self.workload.loop.call_later(200 * MS, self.give_up)
            return
        super().give_up()

    def on_message(self, message):
        if self.over:
            return
        if message["seq"] != self.last_seq + 1:
            self.ends.append("gap")
        if message["type"] == "events":
            self.last_seq = message["seq"] + len(message["chunks"]) - 1
            for value in message["chunks"]:
                self.chunk(value)
            return
        self.last_seq, self.status = message["seq"], message["status"]
        self.retry_after_us = message.get("retry_after_ms", 0) * MS
        if message["how"] == "done" and "completion" in message:
            self.begin()
            self.text = [message["completion"]["choices"][0]["message"]["content"]]
        how = {"pushed_back": "pushed back", "wrong": "aborted"}.get(message["how"], message["how"])
        self.finish("two ends" if self.ends else how)


class LabSession:
    """A client's WebSocket session. Carries many tries, disconnects as scripted and resumes."""

    def __init__(self, workload, number, gateway):
        self.workload, self.number, self.gateway = workload, number, gateway
        self.tries, self.waiting, self.token, self.up_us = {}, [], None, None  # up_us: when the session was accepted
        self.stream = None
        self.connect()

    def connect(self):
        connect(self.workload.loop, ("127.0.0.1", self.workload.ports[self.gateway]), 500 * MS, self.connected)

    def connected(self, stream, why):
        if stream is None:
            self.gateway = (self.gateway + 1) % self.workload.gateways  # another one, as a load balancer would choose
            self.workload.loop.call_later(60 * MS, self.connect)
            return
        self.stream, stream.owner, self.parts = stream, self, []
        self.frames = WSConnection(ConnectionType.CLIENT)
        stream.write(
            self.frames.send(
                Request(
                    host="lab",
                    target="/v1/chat/sessions",
                    subprotocols=["lapiswing.chat.v1"],
                    extra_headers=[(b"authorization", b"Bearer demo")],
                )
            )
        )

    def send_message(self, **fields):
        self.stream.write(self.frames.send(TextMessage(orjson.dumps(fields).decode())))

    def is_settled(self):
        """Whether it has been connected long enough for pending answers to have arrived."""
        return self.up_us is not None and self.workload.loop.clock.now_us() - self.up_us > 500 * MS

    def call(self, session_try):
        """Sends a try, or keeps it until the session is connected."""
        if self.up_us is None:
            self.waiting.append(session_try)
            return
        self.tries[session_try.id] = session_try
        session_try.sent(self.gateway, "session")
        self.send_message(type="call", id=session_try.id, body=session_try.body, headers=session_try.headers)

    def cancel(self, session_try):
        """Cancels a try."""
        self.tries.pop(session_try.id, None)
        if session_try in self.waiting:
            self.waiting.remove(session_try)
        elif self.up_us is not None:
            self.send_message(type="cancel", id=session_try.id)

    def on_data(self, data):
        """Parses WebSocket frames."""
        try:
            self.frames.receive_data(data)
            for event in self.frames.events():
                if isinstance(event, AcceptConnection):
                    if self.token:
                        self.send_message(type="resume", token=self.token, seen={i: t.last_seq for i, t in self.tries.items()})
                elif isinstance(event, TextMessage):
                    self.parts.append(event.data)
                    if event.message_finished:
                        text, self.parts = "".join(self.parts), []
                        self.handle_message(orjson.loads(text))
                elif isinstance(event, Ping):
                    self.stream.write(self.frames.send(event.response()))
                elif isinstance(event, (CloseConnection, RejectConnection)):
                    return self.stream.close()
        except (RemoteProtocolError, LocalProtocolError):
            self.stream.abort()

    def handle_message(self, message):
        """Handles one message of the session protocol."""
        kind = message["type"]
        if kind == "session":
            self.token, self.up_us = message["token"], self.workload.loop.clock.now_us()
            for rid, session_try in list(self.tries.items()):
                if rid not in message["next"] and session_try.timer:  # sent, but unknown to the gateway: not accepted
                    self.tries.pop(rid)
                    session_try.finish("cut")
            waiting, self.waiting = self.waiting, []
            for session_try in waiting:
                if not session_try.over:
                    self.call(session_try)
        elif kind == "not_resumed":
            tries, self.tries = self.tries, {}
            for session_try in tries.values():
                session_try.finish("cut")
        elif kind in ("events", "final") and message["id"] in self.tries:
            session_try = self.tries[message["id"]]
            session_try.on_message(message)
            if kind == "final":
                self.tries.pop(message["id"], None)
                self.send_message(type="seen", id=message["id"], seq=message["seq"])

    def drop(self, away_ms):
        """Breaks the connection and reconnects after `away_ms`."""
        if self.stream is not None and not self.stream.closed and self.up_us is not None:
            self.workload.record.put("cut", session=self.number)
            self.away_ms = away_ms
            self.stream.abort()

    away_ms = 60

    def on_closed(self, why):
        self.up_us = None
        self.workload.loop.call_later(round(self.away_ms * MS), self.connect)
        self.away_ms = 60

    def on_eof(self):
        self.stream.abort()

    def on_drained(self):
        pass


class Workload:
    """All clients of a day."""

    def __init__(self, loop, pool, record, day, ports):
        self.loop, self.pool, self.record, self.ports = loop, pool, record, ports
        self.classes = {c.name: c for c in day.classes}
        self.gateways, self.running, self.sessions = day.gateways, len(day.calls), {}

    def session(self, number):
        """The session with this number, opened on first use."""
        if number not in self.sessions:
            self.sessions[number] = LabSession(self, number, number % self.gateways)
        return self.sessions[number]

    def drop_session(self, number, away_ms):
        """Breaks the connection of a session for `away_ms`."""
        if number in self.sessions:
            self.sessions[number].drop(away_ms)

    def play(self, calls, t0_us):
        """Schedules all calls."""
        for plan in calls:
            self.loop.call_at(t0_us + round(plan.at_ms * MS), Client, self, plan)
