"""`lapiswing session`: a small client of WebSocket sessions, on the project's loop."""

import codecs
import os
import selectors
import sys
from urllib.parse import urlsplit

import click
import orjson
from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, CloseConnection, Ping, RejectConnection, RejectData, Request, TextMessage
from wsproto.utilities import RemoteProtocolError

from lapiswing.errors import OperatorError
from lapiswing.loop import Clock, Loop, connect


class SessionError(OperatorError):
    """The session could not be opened or went away for good."""

    advice = "See that the gateway runs at that address, that the key is one of its tenants' and that it serves the model."


class Talk:
    def __init__(self, loop, url, key, model, raw, out=click.echo):
        parts = urlsplit(url)
        if parts.scheme != "ws" or not parts.hostname:
            raise SessionError(url, "not a ws:// address")
        self.loop, self.parts, self.key, self.model, self.raw, self.out = loop, parts, key, model, raw, out
        self.token, self.seen, self.running, self.count, self.messages = None, {}, None, 0, []
        self.problem, self.stream, self.quit, self.tries = None, None, False, 0
        self.up, self.waiting = False, []
        self.open()

    def open(self):
        connect(self.loop, (self.parts.hostname, self.parts.port or 80), 3_000_000, self.connected)

    def connected(self, stream, why):
        if stream is None:
            self.tries += 1
            if self.token is None or self.tries > 5:
                return self.fail(f"{self.parts.netloc}: {why}")
            return self.loop.call_later(500_000, self.open)
        self.tries, self.stream, stream.owner, self.text = 0, stream, self, []
        self.frames = WSConnection(ConnectionType.CLIENT)
        stream.write(
            self.frames.send(
                Request(
                    host=self.parts.netloc,
                    target=self.parts.path or "/",
                    subprotocols=["lapiswing.chat.v1"],
                    extra_headers=[(b"authorization", b"Bearer " + self.key.encode())],
                )
            )
        )

    def fail(self, why):
        self.problem = why
        self.loop.stop()

    def say(self, **fields):
        if self.stream is not None and not self.stream.closed:
            self.stream.write(self.frames.send(TextMessage(orjson.dumps(fields).decode())))

    def on_data(self, data):
        try:
            self.frames.receive_data(data)
            for event in self.frames.events():
                self.take(event)
        except RemoteProtocolError as problem:
            self.fail(f"the other side does not speak this protocol: {problem}")

    def take(self, event):
        if isinstance(event, AcceptConnection):
            if self.token:
                self.say(type="resume", token=self.token, seen=self.seen)
        elif isinstance(event, RejectConnection):
            self.status = event.status_code
            if not event.has_body:
                self.fail(f"refused with status {event.status_code}")
        elif isinstance(event, RejectData):
            self.fail(f"refused with status {self.status}: {event.data.decode(errors='replace')}")
        elif isinstance(event, TextMessage):
            self.text.append(event.data)
            if event.message_finished:
                text, self.text = "".join(self.text), []
                self.message(orjson.loads(text), text)
        elif isinstance(event, Ping):
            self.stream.write(self.frames.send(event.response()))
        elif isinstance(event, CloseConnection):
            if not self.quit:
                self.fail(f"closed by the gateway: {event.code} {event.reason or ''}")
            else:
                self.loop.stop()

    def message(self, message, text):
        if self.raw:
            self.out(text)
        kind = message["type"]
        if kind == "session":
            self.out("[session is back]" if self.token else "[session is open; type a question, /quit to leave]")
            self.token, self.up = message["token"], True
            waiting, self.waiting = self.waiting, []
            for line in waiting:
                self.line(line)
        elif kind == "events":
            self.seen[message["id"]] = message["seq"] + len(message["chunks"]) - 1
            if not self.raw:
                for chunk in message["chunks"]:
                    for choice in chunk.get("choices") or ():
                        self.out((choice.get("delta") or {}).get("content") or "", nl=False)
        elif kind == "final":
            self.say(type="seen", id=message["id"], seq=message["seq"])
            self.seen.pop(message["id"], None)
            self.running = None
            more = "" if message["how"] == "done" else f": {message['error']['message']}"
            if "retry_after_ms" in message:
                more += f" Come back in {message['retry_after_ms']} ms."
            self.out(f"\n[{message['how'].replace('_', ' ')}{more}]")
        elif kind in ("error", "not_resumed", "going_away"):
            self.out(f"\n[{text}]")

    def line(self, line):
        if not self.up and line != "/quit":
            self.waiting.append(line)  # typed while there is no connection
        elif line == "/quit":
            self.quit = True
            if self.stream is None or self.stream.closed:
                return self.loop.stop()
            self.stream.write(self.frames.send(CloseConnection(1000)))
        elif line == "/drop":
            self.stream.abort()
        elif line == "/cancel":
            if self.running:
                self.say(type="cancel", id=self.running)
        elif self.running:
            self.out("[one call at a time here; /cancel ends the running one]")
        elif line.strip():
            self.count += 1
            self.running = f"c{self.count}"
            self.messages = [*self.messages, {"role": "user", "content": line}][-20:]
            self.say(type="call", id=self.running, body={"model": self.model, "stream": True, "messages": self.messages})

    def on_closed(self, why):
        self.up = False
        if self.quit:
            self.loop.stop()
        elif self.problem is None:
            self.loop.call_later(200_000, self.open)

    def on_eof(self):
        self.stream.abort()

    def on_drained(self):
        pass


def run_session(url, key, model, raw):
    """Raises SessionError."""
    loop = Loop(Clock())
    talk = Talk(loop, url, key, model, raw)
    decode, rest = codecs.getincrementaldecoder("utf-8")("replace").decode, [""]

    def typed(_mask):
        data = os.read(sys.stdin.fileno(), 65536)
        rest[0] += decode(data)
        *lines, rest[0] = rest[0].split("\n")
        for line in lines:
            talk.line(line)
        if not data:
            loop.watch(sys.stdin, 0, None)
            loop.call_later(100_000, until_done)

    def until_done():
        talk.line("/quit") if not talk.running and not talk.waiting else loop.call_later(100_000, until_done)

    try:
        loop.watch(sys.stdin, selectors.EVENT_READ, typed)
    except PermissionError:  # a plain file can't be waited for; it is read at once
        loop.call_later(300_000, typed, 0)
    loop.run()
    if talk.problem:
        raise SessionError(url, talk.problem)
