"""A chat call: checked where the gateway must understand it, otherwise kept as it came."""

from typing import Annotated, Any

import msgspec
import orjson

Count = Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]


class Part(msgspec.Struct):
    type: str
    text: str | None = None


class Message(msgspec.Struct):
    role: str
    content: str | list[Part] | None = None


class StreamOptions(msgspec.Struct):
    include_usage: bool = False


class Shape(msgspec.Struct):
    model: str
    messages: Annotated[list[Message], msgspec.Meta(min_length=1)]
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: Count | None = None
    max_completion_tokens: Count | None = None
    user: str | None = None
    n: int | None = None


class InvalidCall(Exception):
    """The caller's fault; `param` names the field."""

    def __init__(self, message, param=None):
        super().__init__(message)
        self.param = param


class Call:
    """`raw` is the whole body as a dict, with fields that this program does not know."""

    __slots__ = ("raw", "model", "stream", "include_usage", "max_tokens", "user", "texts")

    def __init__(self, raw, shape):
        self.raw, self.model, self.stream = raw, shape.model, bool(shape.stream)
        self.include_usage = bool(shape.stream_options and shape.stream_options.include_usage)
        self.max_tokens = shape.max_completion_tokens or shape.max_tokens
        self.user, self.texts = shape.user, [message_text(m) for m in shape.messages]


def message_text(message):
    if message.content is None:
        return message.role
    if isinstance(message.content, str):
        return f"{message.role}\n{message.content}"
    return message.role + "\n" + "\n".join(p.text or "" for p in message.content)


def parse_call(body: bytes) -> Call:
    """Raises InvalidCall with the field at fault."""
    try:
        raw: Any = orjson.loads(body)
    except orjson.JSONDecodeError as problem:
        raise InvalidCall(f"The body is not valid JSON: {problem}") from None
    return call_of(raw)


def call_of(raw) -> Call:
    """The same for a body that has been read from JSON."""
    if not isinstance(raw, dict):
        raise InvalidCall("The body must be a JSON object")
    try:
        shape = msgspec.convert(raw, Shape)
    except msgspec.ValidationError as problem:
        text, _, path = str(problem).partition(" - at `$.")
        param = path.rstrip("`") or (text.split("`")[1] if "`" in text and "required" in text else None)
        raise InvalidCall(text, param) from None
    if shape.n not in (None, 1):
        raise InvalidCall("Only one choice a call is served: `n` must be 1", "n")
    for i, m in enumerate(shape.messages):
        if isinstance(m.content, list) and any(p.type != "text" for p in m.content):
            raise InvalidCall("Only content parts of type `text` are served", f"messages[{i}].content")
    return Call(raw, shape)


def estimate_prompt_tokens(texts, bytes_per_token):
    """An estimate of the prompt's length in tokens: bytes over a measured ratio, and four for each message's frame.
    The seam where a tokenizer comes in."""
    return max(1, round(sum(len(t.encode()) for t in texts) / bytes_per_token) + 4 * len(texts))
