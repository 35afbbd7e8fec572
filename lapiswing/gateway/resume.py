"""Resumption of a broken stream at another server. No I/O.

For the router the rest of a stream is a new request, as if the client had called again, so it is read and written, or
rejected, like any other. This module only tells whether a stream may be resumed: it must be text of a replayable request
class, within the limit of the settings. A keyed call can't be resumed, as servers that drop its repeat would not write the
rest."""


def may_resume(request_class, allowed, resumes, max_resumes, assembler):
    """Whether a stream of `request_class` with the answer so far in `assembler` may be resumed."""
    return (
        allowed
        and request_class.effect == "replayable"
        and resumes < max_resumes
        and assembler.finish is None
        and not assembler.extra
        and bool(assembler.parts)
    )


def continuation_of(raw, text, tokens):
    """Returns the body of a call for the rest after `text`, which has `tokens` tokens: the partial answer is its last message,
    to be continued by the fields of vLLM's public chat API."""
    body = {
        **raw,
        "messages": [*raw["messages"], {"role": "assistant", "content": text}],
        "continue_final_message": True,
        "add_generation_prompt": False,
    }
    for name in ("max_tokens", "max_completion_tokens"):
        if body.get(name):
            body[name] = max(1, body[name] - tokens)
    return body


def as_continued(value, assembler, tokens):
    """Returns an event of the rest in the form of one of the first part: with the same id, and usage over both parts. None if
    nothing is left of it."""
    value = {**value, "id": assembler.id, "created": assembler.created, "model": assembler.model}
    usage = value.get("usage")
    if usage:
        value["usage"] = {
            **usage,
            "prompt_tokens": max(0, usage.get("prompt_tokens", 0) - tokens),
            "completion_tokens": usage.get("completion_tokens", 0) + tokens,
        }
    choices = []
    for choice in value.get("choices") or ():
        delta = {name: item for name, item in (choice.get("delta") or {}).items() if name != "role"}
        if delta.get("content") or choice.get("finish_reason"):
            choices.append({**choice, "delta": delta})
    if not choices and not usage:
        return None
    value["choices"] = choices
    return value
