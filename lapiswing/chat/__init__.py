"""The chat API as its public specification has it: calls, errors, streamed events. Pure: bytes and values only."""

from lapiswing.chat.call import Call, Wrong, parse_call, prompt_tokens
from lapiswing.chat.errors import ABORTED, PUSHED_BACK, error_body
from lapiswing.chat.events import DONE, Assembler, Events, TooLong, event, joined, without_usage

__all__ = [
    "ABORTED",
    "Assembler",
    "Call",
    "DONE",
    "Events",
    "PUSHED_BACK",
    "TooLong",
    "Wrong",
    "error_body",
    "event",
    "joined",
    "parse_call",
    "prompt_tokens",
    "without_usage",
]
