"""Server-sent events of the chat API: splitting a byte stream into events, and putting an answer together."""

import orjson

DONE = b"data: [DONE]\n\n"


class EventTooLong(Exception):
    """An event that passes the bound: a box that never ends a line must not fill the memory."""


def encode_event(value):
    return b"data: " + orjson.dumps(value) + b"\n\n"


def joined(payloads):
    """Payloads of events -> the events' bytes."""
    return b"data: " + b"\n\ndata: ".join(payloads) + b"\n\n"


def without_usage(values, payloads):
    """The payloads for a client that asked for no usage: the gateway always asks boxes for it."""
    if values[-1].get("choices"):
        return payloads
    return [p for v, p in zip(values, payloads) if v.get("choices")]


class EventParser:
    """`feed(bytes)` -> the payloads of the events that are whole now; comments and empty events are passed over. Line
    ends may be LF or CR LF (WHATWG HTML, section 9.2.6). Raises EventTooLong."""

    def __init__(self, most):
        self.most, self.rest = most, b""

    def feed(self, data):
        if self.rest:
            data = self.rest + data
        if b"\r" in data:
            held = data.endswith(b"\r")
            data = (data[:-1] if held else data).replace(b"\r\n", b"\n") + (b"\r" if held else b"")
        blocks = data.split(b"\n\n")
        self.rest = blocks.pop()
        if len(self.rest) > self.most:
            raise EventTooLong(f"an event of more than {self.most} bytes")
        out = []
        for block in blocks:
            if block[:6] == b"data: " and b"\n" not in block:
                out.append(block[6:])
                continue
            lines = [line[5:].lstrip(b" ") for line in block.split(b"\n") if line[:5] == b"data:"]
            if lines:
                out.append(b" ".join(lines))  # JSON: a line end between tokens is as good as a blank
        return out


class Assembler:
    """Collects `chat.completion.chunk` values into what one `chat.completion` says. `tokens` counts the events with
    text, which for an engine that sends one a step are its tokens."""

    def __init__(self):
        self.id = self.model = self.created = self.fingerprint = None
        self.role, self.parts, self.finish, self.usage = "assistant", [], None, None
        self.more = {}

    @property
    def tokens(self):
        return len(self.parts)

    def add(self, value):
        choices = value.get("choices")
        if choices and self.id is not None:
            choice = choices[0]
            delta = choice.get("delta")
            if delta and len(delta) == 1 and "content" in delta and choice.get("finish_reason") is None:
                if delta["content"]:  # what nearly all events are
                    self.parts.append(delta["content"])
                return
        self.add_rare(value)

    def add_rare(self, value):
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
                        self.more[name] = self.more.get(name, "") + item
                    elif isinstance(item, list):
                        self.more[name] = self.more.get(name, []) + item

    def content(self):
        return "".join(self.parts)

    def completion(self):
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
                    "message": {"role": self.role, "content": self.content(), **self.more},
                }
            ],
            "usage": self.usage,
        }
