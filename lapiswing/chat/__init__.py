"""The chat API as its public specification has it: calls, errors, streamed events. Pure: bytes and values only."""

from lapiswing.chat.call import Call, InvalidCall, estimate_prompt_tokens, parse_call
from lapiswing.chat.errors import ABORTED, PUSHED_BACK, error_body
from lapiswing.chat.events import DONE, Assembler, EventParser, EventTooLong, encode_event, joined, without_usage

__all__ = [
    "ABORTED",
    "Assembler",
    "Call",
    "DONE",
    "EventParser",
    "PUSHED_BACK",
    "EventTooLong",
    "InvalidCall",
    "error_body",
    "encode_event",
    "joined",
    "parse_call",
    "estimate_prompt_tokens",
    "without_usage",
]
