"""Server-sent events of the chat API: splitting a byte stream into events, and assembling the whole answer."""

import orjson

DONE = b"data: [DONE]\n\n"


class EventTooLong(Exception):
    """An event above the size limit. Without a limit, a server that never ends a line would fill the memory."""


def encode_event(value):
    """Returns the bytes of an event with a JSON value."""
    return b"data: " + orjson.dumps(value) + b"\n\n"


def join_events(payloads):
    """Returns the bytes of events with these payloads."""
    return b"data: " + b"\n\ndata: ".join(payloads) + b"\n\n"


def without_usage(values, payloads):
    """Returns the payloads for a client that did not ask for usage, which the gateway always asks servers for."""
    if values[-1].get("choices"):
        return payloads
    return [payload for value, payload in zip(values, payloads) if value.get("choices")]


class EventParser:
    """Splits a byte stream into events. Comments and empty events are skipped. Line ends may be LF or CR LF (WHATWG HTML,
    section 9.2.6)."""

    def __init__(self, max_event_bytes):
        self.max_event_bytes, self.rest, self.ended_in_cr = max_event_bytes, bytearray(), False

    def feed(self, data):
        """Returns the payloads of the events that `data` completes. Raises EventTooLong."""
        if self.ended_in_cr:
            data = b"\r" + data
        self.ended_in_cr = data.endswith(b"\r")
        if self.ended_in_cr:
            data = data[:-1]
        # Only what is new is searched: an event may come in thousands of pieces.
        searched = max(0, len(self.rest) - 1)
        self.rest += data.replace(b"\r\n", b"\n")
        blocks = []
        if self.rest.find(b"\n\n", searched) >= 0:
            blocks = bytes(self.rest).split(b"\n\n")
            self.rest = bytearray(blocks.pop())
        if len(self.rest) > self.max_event_bytes:
            raise EventTooLong(f"an event of more than {self.max_event_bytes} bytes")
        found = []
        for block in blocks:
            if block[:6] == b"data: " and b"\n" not in block:
                found.append(block[6:])
                continue
            lines = [line[5:].lstrip(b" ") for line in block.split(b"\n") if line[:5] == b"data:"]
            if lines:
                found.append(b" ".join(lines))  # in JSON a line end between tokens is equivalent to a space
        return found


class Assembler:
    """Assembles `chat.completion.chunk` values into one `chat.completion`. `extra` has the fields of the message besides role
    and content."""

    def __init__(self):
        self.id = self.model = self.created = self.fingerprint = None
        self.role, self.parts, self.finish, self.usage = "assistant", [], None, None
        self.extra = {}

    @property
    def tokens(self):
        """The number of events with text: the number of tokens, for an engine that sends one event per step."""
        return len(self.parts)

    def add(self, value):
        """Adds a chunk."""
        choices = value.get("choices")
        if choices and self.id is not None:
            choice = choices[0]
            delta = choice.get("delta")
            if delta and len(delta) == 1 and "content" in delta and choice.get("finish_reason") is None:
                if delta["content"]:  # nearly all events have just content
                    self.parts.append(delta["content"])
                return
        self.add_general(value)

    def add_general(self, value):
        """Adds a chunk of any form."""
        if self.id is None:
            self.id, self.model, self.created = value.get("id"), value.get("model"), value.get("created")
            self.fingerprint = value.get("system_fingerprint")
        self.usage = value.get("usage") or self.usage
        for choice in value.get("choices") or ():
            delta = choice.get("delta") or {}
            if delta.get("content"):
                self.parts.append(delta["content"])
            self.role = delta.get("role") or self.role
            self.finish = choice.get("finish_reason") or self.finish
            for name, item in delta.items():
                if name not in ("content", "role") and item is not None:
                    if isinstance(item, str):
                        self.extra[name] = self.extra.get(name, "") + item
                    elif isinstance(item, list):
                        self.extra[name] = self.extra.get(name, []) + item

    def content(self):
        """Returns the text so far."""
        return "".join(self.parts)

    def completion(self):
        """Returns the `chat.completion` object."""
        return {
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "system_fingerprint": self.fingerprint,
            "choices": [
                {
                    "index": 0,
                    "finish_reason": self.finish,
                    "logprobs": None,
                    "message": {"role": self.role, "content": self.content(), **self.extra},
                }
            ],
            "usage": self.usage,
        }
