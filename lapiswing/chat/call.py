"""Parses chat calls. Only the fields that the gateway uses are checked; all others are kept as they came."""

from typing import Annotated, Any

import msgspec
import orjson

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]


class ContentPart(msgspec.Struct):
    """A part of a message whose content is a list."""

    type: str
    text: str | None = None


class Message(msgspec.Struct):
    """The checked fields of a chat message."""

    role: str
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct):
    """The checked fields of `stream_options`."""

    include_usage: bool = False


class CallSchema(msgspec.Struct):
    """The checked fields of a call."""

    model: str
    messages: Annotated[list[Message], msgspec.Meta(min_length=1)]
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    user: str | None = None
    n: int | None = None


class InvalidCall(Exception):
    """A call that the client has to correct; `param` names the field at fault."""

    def __init__(self, message, param=None):
        super().__init__(message)
        self.param = param


class Call:
    """A checked call. `raw` is the whole body as a dict, including fields that are unknown here; `texts` has the text of each
    message, `size` the bytes of the body."""

    __slots__ = ("raw", "model", "stream", "include_usage", "max_tokens", "user", "texts", "size")

    def __init__(self, raw, fields, size):
        self.size = size
        self.raw, self.model, self.stream = raw, fields.model, bool(fields.stream)
        self.include_usage = bool(fields.stream_options and fields.stream_options.include_usage)
        self.max_tokens = fields.max_completion_tokens or fields.max_tokens
        self.user, self.texts = fields.user, [message_text(message) for message in fields.messages]


def message_text(message):
    """Returns the role and the text of a message."""
    if message.content is None:
        return message.role
    if isinstance(message.content, str):
        return f"{message.role}\n{message.content}"
    return message.role + "\n" + "\n".join(part.text or "" for part in message.content)


def parse_call(body: bytes) -> Call:
    """Parses the body of a call. Raises InvalidCall with the field at fault."""
    try:
        raw: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidCall(f"The body is not valid JSON: {error}") from None
    return call_from_value(raw, len(body))


def call_from_value(raw, size) -> Call:
    """Does the same for a body of `size` bytes that is already parsed from JSON."""
    if not isinstance(raw, dict):
        raise InvalidCall("The body must be a JSON object")
    try:
        fields = msgspec.convert(raw, CallSchema)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$.")
        param = path.rstrip("`") or (text.split("`")[1] if "`" in text and "required" in text else None)
        raise InvalidCall(text, param) from None
    if fields.n not in (None, 1):
        raise InvalidCall("Only one choice a call is served: `n` must be 1", "n")
    for i, message in enumerate(fields.messages):
        if isinstance(message.content, list) and any(part.type != "text" for part in message.content):
            raise InvalidCall("Only content parts of type `text` are served", f"messages[{i}].content")
    return Call(raw, fields, size)


def estimate_prompt_tokens(texts, bytes_per_token):
    """Estimates a prompt's length in tokens: its bytes divided by `bytes_per_token`, plus four for the framing of each
    message. A tokenizer could take its place."""
    return max(1, round(sum(len(text.encode()) for text in texts) / bytes_per_token) + 4 * len(texts))
