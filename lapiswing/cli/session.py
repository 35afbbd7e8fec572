"""`lapiswing session`: a small interactive client of WebSocket sessions, on the event loop of lapiswing.loop."""

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
    """The session could not be opened, or ended and can't be resumed."""

    advice = "See that the gateway runs at that address, that the key is one of its tenants' and that it serves the model."


class SessionClient:
    """One session. Reconnects and resumes it with its token where the connection is lost; runs one call at a time."""

    def __init__(self, loop, url, key, model, raw, show=click.echo):
        parts = urlsplit(url)
        if parts.scheme != "ws" or not parts.hostname:
            raise SessionError(url, "not a ws:// address")
        self.loop, self.parts, self.key, self.model, self.raw, self.show = loop, parts, key, model, raw, show
        self.token, self.seen, self.running, self.call_count, self.messages = None, {}, None, 0, []
        self.problem, self.stream, self.is_quitting, self.failed_connects = None, None, False, 0
        self.is_open, self.queued_lines = False, []
        self.open()

    def open(self):
        """Connects to the gateway."""
        connect(self.loop, (self.parts.hostname, self.parts.port or 80), 3_000_000, self.connected)

    def connected(self, stream, why):
        if stream is None:
            self.failed_connects += 1
            if self.token is None or self.failed_connects > 5:
                return self.fail(f"{self.parts.netloc}: {why}")
            return self.loop.call_later(500_000, self.open)
        self.failed_connects, self.stream, stream.owner, self.text_parts = 0, stream, self, []
        self.websocket = WSConnection(ConnectionType.CLIENT)
        stream.write(
            self.websocket.send(
                Request(
                    host=self.parts.netloc,
                    target=self.parts.path or "/",
                    subprotocols=["lapiswing.chat.v1"],
                    extra_headers=[(b"authorization", b"Bearer " + self.key.encode())],
                )
            )
        )

    def fail(self, why):
        """Ends the client; run_session reports the reason."""
        self.problem = why
        self.loop.stop()

    def send_message(self, **fields):
        """Sends a message of the session protocol; drops it while there is no connection."""
        if self.stream is not None and not self.stream.closed:
            self.stream.write(self.websocket.send(TextMessage(orjson.dumps(fields).decode())))

    def on_data(self, data):
        try:
            self.websocket.receive_data(data)
            for event in self.websocket.events():
                self.handle_event(event)
        except RemoteProtocolError as problem:
            self.fail(f"the other side does not follow the WebSocket protocol: {problem}")

    def handle_event(self, event):
        """Handles an event of the WebSocket connection."""
        if isinstance(event, AcceptConnection):
            if self.token:
                self.send_message(type="resume", token=self.token, seen=self.seen)
        elif isinstance(event, RejectConnection):
            self.status = event.status_code
            if not event.has_body:
                self.fail(f"refused with status {event.status_code}")
        elif isinstance(event, RejectData):
            self.fail(f"refused with status {self.status}: {event.data.decode(errors='replace')}")
        elif isinstance(event, TextMessage):
            self.text_parts.append(event.data)
            if event.message_finished:
                text, self.text_parts = "".join(self.text_parts), []
                self.handle_message(orjson.loads(text), text)
        elif isinstance(event, Ping):
            self.stream.write(self.websocket.send(event.response()))
        elif isinstance(event, CloseConnection):
            if not self.is_quitting:
                self.fail(f"closed by the gateway: {event.code} {event.reason or ''}")
            else:
                self.loop.stop()

    def handle_message(self, message, text):
        """Handles a message of the session protocol; `text` is its JSON."""
        if self.raw:
            self.show(text)
        kind = message["type"]
        if kind == "session":
            self.show("[session is resumed]" if self.token else "[session is open; type a question, /quit to leave]")
            self.token, self.is_open = message["token"], True
            queued, self.queued_lines = self.queued_lines, []
            for line in queued:
                self.handle_line(line)
        elif kind == "events":
            self.seen[message["id"]] = message["seq"] + len(message["chunks"]) - 1
            if not self.raw:
                for chunk in message["chunks"]:
                    for choice in chunk.get("choices") or ():
                        self.show((choice.get("delta") or {}).get("content") or "", nl=False)
        elif kind == "final":
            self.send_message(type="seen", id=message["id"], seq=message["seq"])
            self.seen.pop(message["id"], None)
            self.running = None
            details = "" if message["how"] == "done" else f": {message['error']['message']}"
            if "retry_after_ms" in message:
                details += f" Retry after {message['retry_after_ms']} ms."
            self.show(f"\n[{message['how'].replace('_', ' ')}{details}]")
        elif kind in ("error", "not_resumed", "going_away"):
            self.show(f"\n[{text}]")

    def handle_line(self, line):
        """Runs the command in a typed line, or sends the line as a call."""
        if not self.is_open and line != "/quit":
            self.queued_lines.append(line)  # sent once the session is open
        elif line == "/quit":
            self.is_quitting = True
            if self.stream is None or self.stream.closed:
                return self.loop.stop()
            self.stream.write(self.websocket.send(CloseConnection(1000)))
        elif line == "/drop":
            self.stream.abort()
        elif line == "/cancel":
            if self.running:
                self.send_message(type="cancel", id=self.running)
        elif self.running:
            self.show("[only one call at a time; /cancel ends the running one]")
        elif line.strip():
            self.call_count += 1
            self.running = f"c{self.call_count}"
            self.messages = [*self.messages, {"role": "user", "content": line}][-20:]
            self.send_message(type="call", id=self.running, body={"model": self.model, "stream": True, "messages": self.messages})

    def on_closed(self, why):
        self.is_open = False
        if self.is_quitting:
            self.loop.stop()
        elif self.problem is None:
            self.loop.call_later(200_000, self.open)

    def on_eof(self):
        self.stream.abort()

    def on_drained(self):
        pass


def run_session(url, key, model, raw):
    """Runs a session on standard input and output until it is closed. Raises SessionError."""
    loop = Loop(Clock())
    client = SessionClient(loop, url, key, model, raw)
    decode, partial_line = codecs.getincrementaldecoder("utf-8")("replace").decode, [""]

    def read_input(_mask):
        data = os.read(sys.stdin.fileno(), 65536)
        partial_line[0] += decode(data)
        *lines, partial_line[0] = partial_line[0].split("\n")
        for line in lines:
            client.handle_line(line)
        if not data:
            loop.watch(sys.stdin, 0, None)
            loop.call_later(100_000, quit_when_done)

    def quit_when_done():
        client.handle_line("/quit") if not client.running and not client.queued_lines else loop.call_later(
            100_000, quit_when_done
        )

    try:
        loop.watch(sys.stdin, selectors.EVENT_READ, read_input)
    except PermissionError:  # a regular file can't be watched; it is read after a short delay
        loop.call_later(300_000, read_input, 0)
    loop.run()
    if client.problem:
        raise SessionError(url, client.problem)
