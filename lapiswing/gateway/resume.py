"""Whether, and how, a broken stream goes on elsewhere. No I/O.

To the decisions the rest of a stream is a new req (as if its client came again), so the ordinary path decides where, and
whether, it is read and written. This module only says what may go on at all: text of a replayable group, within the
settings' bound. A keyed call can't: boxes that drop its repeat would not write the rest."""


def may_go_on(group, allowed, resumes, most, assembler):
    return (
        allowed
        and group.effect == "replayable"
        and resumes < most
        and assembler.finish is None
        and not assembler.more
        and bool(assembler.parts)
    )


def rest_of(raw, text, tokens):
    """The call that asks for the rest after `text`, `tokens` of which have been written: the partial answer as a last
    message that is to be continued, as vLLM's public chat API names it."""
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


def joined(value, assembler, tokens):
    """An event of the rest, made to look like one of the first part: same id, usage over both parts."""
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
        delta = {n: v for n, v in (choice.get("delta") or {}).items() if n != "role"}
        if delta.get("content") or choice.get("finish_reason"):
            choices.append({**choice, "delta": delta})
    if not choices and not usage:
        return None
    value["choices"] = choices
    return value
