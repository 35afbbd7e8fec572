"""Clients of a day, on one loop: they speak the chat API, keep their own time, and record what they saw."""

import orjson

from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, CloseConnection, Ping, RejectConnection, Request, TextMessage
from wsproto.utilities import LocalProtocolError, RemoteProtocolError

from lapiswing.chat import EventParser
from lapiswing.chat.call import Message, message_text
from lapiswing.http1.wire import get
from lapiswing.loop import connect
from lapiswing.standin.box import answer_to

MS = 1000


class Client:
    """Plays one CallPlan: tries, waits as told, comes again, gives up."""

    def __init__(self, crowd, plan):
        self.crowd, self.plan, self.tries, self.gateway = crowd, plan, 0, plan.gateway
        self.born_us = crowd.loop.clock.now_us()
        self.over = False
        self.group = crowd.groups[plan.model]
        self.key = plan.id if self.group.effect == "KEYED" else None
        self.refused = 0
        crowd.record.put(
            "call",
            call=plan.id,
            model=plan.model,
            target_ms=plan.target_ms,
            importance=plan.importance,
            late=plan.late_importance,
            deadline_ms=plan.deadline_ms,
        )
        self.go()

    def left_us(self):
        return self.born_us + self.plan.deadline_ms * MS - self.crowd.loop.clock.now_us()

    def go(self):
        # A try needs time for an answer; with less left the client has given up on the whole call.
        if self.over or self.left_us() < 150 * MS:
            return self.end("out of time")
        self.tries += 1
        if self.plan.session is None:
            HttpTry(self)
        else:
            SessionTry(self, self.crowd.session(self.plan.session))

    def end(self, how):
        if not self.over:
            self.over = True
            self.crowd.record.put("over", call=self.plan.id, how=how)
            self.crowd.running -= 1

    def after(self, how, come_back_us):
        """A try has ended."""
        plan = self.plan
        if how == "done":
            return self.end("done")
        harmless = how == "pushed back" or self.group.effect == "REPLAYABLE" or self.key is not None
        if how == "left" and plan.again and harmless and self.tries <= plan.retries:
            return self.go()
        if how in ("left", "gave up"):
            return self.end(how)
        if how == "refused":  # no connection: nothing was taken
            self.refused += 1
            self.gateway = (self.gateway + 1) % self.crowd.gateways
            if self.refused > 2 * self.crowd.gateways:
                return self.end(how)
            return self.crowd.loop.call_later(50 * MS, self.go)
        if not harmless or self.tries - self.refused > plan.retries:
            return self.end(how)
        wait = come_back_us if how == "pushed back" and plan.honour else 100 * MS
        self.crowd.loop.call_later(wait, self.go)


class Try:
    """One try, however it is carried. Subclasses send it and call `content`, `finish`."""

    def __init__(self, client):
        self.client, self.crowd, self.plan = client, client.crowd, client.plan
        plan = self.plan
        self.n, self.over, self.begun, self.status = client.tries, False, False, None
        self.lab = plan.id if client.key else f"{plan.id}.{self.n}"
        self.text, self.ends, self.come_back_us = [], [], 0
        self.deadline_ms = min(client.left_us() // MS, client.group.deadline_ms)
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
        self.put(
            "try",
            gateway=gateway,
            lab=self.lab,
            deadline_ms=self.deadline_ms,
            key=self.client.key,
            model=self.plan.model,
            front=front,
        )
        self.timer = self.crowd.loop.call_later(self.deadline_ms * MS, self.give_up)
        if self.plan.leave_ms is not None and self.n == 1:
            self.crowd.loop.call_later(round(self.plan.leave_ms * MS), self.leave)

    def put(self, ev, **fields):
        self.crowd.record.put(ev, call=self.plan.id, n=self.n, **fields)

    def give_up(self):
        if not self.begun and not self.over:
            self.cancel()
            self.finish("gave up")

    def leave(self):
        if not self.over:
            self.cancel()
            self.finish("left")

    def chunk(self, value):
        for choice in value.get("choices") or ():
            content = (choice.get("delta") or {}).get("content")
            if content:
                if not self.begun:
                    self.begin()
                if self.ends:
                    self.ends.append("more")
                self.text.append(content)

    def begin(self):
        self.begun = True
        self.timer.cancel()
        self.put("first", ms=(self.crowd.loop.clock.now_us() - self.client.born_us) // MS)

    def finish(self, how):
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
            come_back_us=self.come_back_us,
            begun=self.begun,
            tokens=len(self.text),
        )
        self.client.after(how, self.come_back_us)


class HttpTry(Try):
    def __init__(self, client):
        super().__init__(client)
        self.events, self.parts = EventParser(1 << 20), []
        fields = [
            (b"authorization", b"Bearer " + self.plan.tenant.encode()),
            (b"content-type", b"application/json"),
            *((k.encode(), v.encode()) for k, v in self.headers.items()),
        ]
        self.sent(client.gateway, "http")
        self.exchange = self.crowd.pool.request(
            ("127.0.0.1", self.crowd.ports[client.gateway]),
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
        self.come_back_us = int(ms) * MS if ms else 0
        self.no_retry = get(fields, b"x-should-retry") == b"false"

    def on_body(self, data):
        if self.status != 200 or not self.plan.stream:
            self.parts.append(data)
            return
        if self.plan.slow:
            self.exchange.pause()
            self.crowd.loop.call_later(30 * MS, self.exchange.resume)
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
    """Over a WebSocket session, under an id of its own."""

    def __init__(self, client, session):
        super().__init__(client)
        self.session, self.id, self.last = session, f"{self.plan.id}.{self.n}", 0
        session.call(self)

    def cancel(self):
        self.session.cancel(self)

    def give_up(self):
        # While its link is down a client hears nothing; what was answered meanwhile comes when it is back.
        if not self.begun and not self.over and not self.session.heard_lately():
            self.timer = self.crowd.loop.call_later(200 * MS, self.give_up)
            return
        super().give_up()

    def on_message(self, message):
        if self.over:
            return
        if message["seq"] != self.last + 1:
            self.ends.append("gap")
        if message["type"] == "events":
            self.last = message["seq"] + len(message["chunks"]) - 1
            for value in message["chunks"]:
                self.chunk(value)
            return
        self.last, self.status = message["seq"], message["status"]
        self.come_back_us = message.get("retry_after_ms", 0) * MS
        if message["how"] == "done" and "completion" in message:
            self.begin()
            self.text = [message["completion"]["choices"][0]["message"]["content"]]
        how = {"pushed_back": "pushed back", "wrong": "aborted"}.get(message["how"], message["how"])
        self.finish("two ends" if self.ends else how)


class LabSession:
    """A client's session: connects, drops as scripted, comes back, and carries many tries."""

    def __init__(self, crowd, number, gateway):
        self.crowd, self.number, self.gateway = crowd, number, gateway
        self.tries, self.line, self.token, self.up_us = {}, [], None, None
        self.stream = None
        self.connect()

    def connect(self):
        connect(self.crowd.loop, ("127.0.0.1", self.crowd.ports[self.gateway]), 500 * MS, self.connected)

    def connected(self, stream, why):
        if stream is None:
            self.gateway = (self.gateway + 1) % self.crowd.gateways  # another one, as by a front layer
            self.crowd.loop.call_later(60 * MS, self.connect)
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

    def say(self, **fields):
        self.stream.write(self.frames.send(TextMessage(orjson.dumps(fields).decode())))

    def heard_lately(self):
        return self.up_us is not None and self.crowd.loop.clock.now_us() - self.up_us > 500 * MS

    def call(self, one):
        if self.up_us is None:
            self.line.append(one)
            return
        self.tries[one.id] = one
        one.sent(self.gateway, "session")
        self.say(type="call", id=one.id, body=one.body, headers=one.headers)

    def cancel(self, one):
        self.tries.pop(one.id, None)
        if one in self.line:
            self.line.remove(one)
        elif self.up_us is not None:
            self.say(type="cancel", id=one.id)

    def on_data(self, data):
        try:
            self.frames.receive_data(data)
            for event in self.frames.events():
                if isinstance(event, AcceptConnection):
                    if self.token:
                        self.say(type="resume", token=self.token, seen={i: t.last for i, t in self.tries.items()})
                elif isinstance(event, TextMessage):
                    self.parts.append(event.data)
                    if event.message_finished:
                        text, self.parts = "".join(self.parts), []
                        self.message(orjson.loads(text))
                elif isinstance(event, Ping):
                    self.stream.write(self.frames.send(event.response()))
                elif isinstance(event, (CloseConnection, RejectConnection)):
                    return self.stream.close()
        except (RemoteProtocolError, LocalProtocolError):
            self.stream.abort()

    def message(self, message):
        kind = message["type"]
        if kind == "session":
            self.token, self.up_us = message["token"], self.crowd.loop.clock.now_us()
            for rid, one in list(self.tries.items()):
                if rid not in message["next"] and one.timer:  # sent, and never heard of there: it was not taken
                    self.tries.pop(rid)
                    one.finish("cut")
            line, self.line = self.line, []
            for one in line:
                if not one.over:
                    self.call(one)
        elif kind == "not_resumed":
            tries, self.tries = self.tries, {}
            for one in tries.values():
                one.finish("cut")
        elif kind in ("events", "final") and message["id"] in self.tries:
            one = self.tries[message["id"]]
            one.on_message(message)
            if kind == "final":
                self.tries.pop(message["id"], None)
                self.say(type="seen", id=message["id"], seq=message["seq"])

    def drop(self, away_ms):
        """The radio link goes, without a word."""
        if self.stream is not None and not self.stream.closed and self.up_us is not None:
            self.crowd.record.put("cut", session=self.number)
            self.away_ms = away_ms
            self.stream.abort()

    away_ms = 60

    def on_closed(self, why):
        self.up_us = None
        self.crowd.loop.call_later(round(self.away_ms * MS), self.connect)
        self.away_ms = 60

    def on_eof(self):
        self.stream.abort()

    def on_drained(self):
        pass


class Crowd:
    """All clients of a day."""

    def __init__(self, loop, pool, record, day, ports):
        self.loop, self.pool, self.record, self.ports = loop, pool, record, ports
        self.groups = {g.name: g for g in day.groups}
        self.gateways, self.running, self.sessions = day.gateways, len(day.calls), {}

    def session(self, number):
        if number not in self.sessions:
            self.sessions[number] = LabSession(self, number, number % self.gateways)
        return self.sessions[number]

    def cut(self, number, away_ms):
        if number in self.sessions:
            self.sessions[number].drop(away_ms)

    def play(self, calls, t0_us):
        for plan in calls:
            self.loop.call_at(t0_us + round(plan.at_ms * MS), Client, self, plan)
