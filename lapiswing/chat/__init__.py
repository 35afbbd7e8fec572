"""The chat API by its public specification: calls, errors and streamed events. Works on bytes and values, without I/O."""

from lapiswing.chat.call import Call, InvalidCall, estimate_prompt_tokens, parse_call
from lapiswing.chat.errors import FAILED, REJECTED, error_body
from lapiswing.chat.events import DONE, Assembler, EventParser, EventTooLong, encode_event, join_events, without_usage

__all__ = [
    "FAILED",
    "Assembler",
    "Call",
    "DONE",
    "EventParser",
    "REJECTED",
    "EventTooLong",
    "InvalidCall",
    "error_body",
    "encode_event",
    "join_events",
    "parse_call",
    "estimate_prompt_tokens",
    "without_usage",
]
