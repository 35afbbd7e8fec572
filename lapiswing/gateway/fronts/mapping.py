"""How a call becomes a req: endpoint group, tenant, session, shared beginning, length, deadline, key. By settings."""

import hashlib

from lapiswing.chat import InvalidCall, estimate_prompt_tokens
from lapiswing.gateway.core import Spec

MS = 1000
MOST_DEADLINE_MS = 3_600_000
KEY_BYTES = 255


class UnknownApiKey(Exception):
    """No such API key."""


def digest(texts):
    return hashlib.blake2b("\0".join(texts).encode("utf-8", "surrogatepass"), digest_size=8).hexdigest()


class Mapper:
    def __init__(self, settings):
        m = settings.mapping
        self.settings, self.bytes_per_token, self.prefix_messages = settings, m.bytes_per_token, m.prefix_messages
        self.group_header, self.session_header, self.deadline_header = (
            h.lower().encode() for h in (m.group_header, m.session_header, m.deadline_header)
        )
        self.default_max = m.default_max_tokens
        self.tenants = {key.encode(): i for i, t in enumerate(settings.tenant) for key in t.api_key}
        self.by_header = {g.header_value.encode(): i for i, g in enumerate(settings.group) if g.header_value}
        self.by_model = {m: i for i, g in reversed(list(enumerate(settings.group))) for m in g.model}
        self.rest = next((i for i, g in enumerate(settings.group) if not g.model), None)

    def models(self):
        return sorted({m for g in self.settings.group for m in g.model}) or ["default"]

    def tenant(self, authorization):
        """-> tenant number. Raises UnknownApiKey. A gateway without tenants asks for no key."""
        if not self.tenants:
            return 0
        scheme, _, key = (authorization or b"").partition(b" ")
        tenant = self.tenants.get(key.strip()) if scheme.lower() == b"bearer" else None
        if tenant is None:
            raise UnknownApiKey
        return tenant

    def group(self, call, header):
        named = header(self.group_header)
        if named is not None:
            if named not in self.by_header:
                raise InvalidCall(f"No endpoint group `{named.decode('latin-1')}`", None)
            return self.by_header[named]
        group = self.by_model.get(call.model, self.rest)
        if group is None:
            raise InvalidCall(f"The model `{call.model}` does not exist", "model")
        return group

    def spec(self, call, tenant, header, now_us):
        """`header(name)` -> bytes or None. Raises InvalidCall."""
        group = self.group(call, header)
        g = self.settings.group[group]
        deadline_ms = g.deadline_ms
        asked = header(self.deadline_header)
        if asked is not None:
            if not asked.isdigit() or not 0 < int(asked) <= MOST_DEADLINE_MS:
                raise InvalidCall(f"{self.deadline_header.decode()} must be whole milliseconds", None)
            deadline_ms = min(deadline_ms, int(asked))
        key = header(b"idempotency-key")
        if key is not None:
            if not key or len(key) > KEY_BYTES:
                raise InvalidCall(f"Idempotency-Key must have 1 to {KEY_BYTES} characters", None)
            key = f"{tenant}/{group}/{key.decode('latin-1')}"
        lead = call.texts[: self.prefix_messages] if len(call.texts) > self.prefix_messages else []
        session = header(self.session_header)
        if session:
            session = f"{tenant}/{session.decode('latin-1')}"
        else:
            # A chat's next call brings all that went before: its beginning, up to the first words of its user, tells
            # which chat it is.
            session = digest([str(tenant), call.user or "", *call.texts[: self.prefix_messages + 1]])
        # Asked-for streaming is not part of what is asked: a retry may want the same answer in the other form.
        asked_for = {n: v for n, v in call.raw.items() if n not in ("stream", "stream_options")}
        return Spec(
            group,
            tenant,
            call,
            estimate_prompt_tokens(call.texts, self.bytes_per_token),
            now_us + deadline_ms * MS,
            session,
            digest(lead) if lead else None,
            estimate_prompt_tokens(lead, self.bytes_per_token) if lead else 0,
            call.max_tokens or self.default_max,
            key,
            hashlib.blake2b(repr(sorted(asked_for.items())).encode("utf-8", "surrogatepass"), digest_size=16).digest()
            if key
            else b"",
        )
