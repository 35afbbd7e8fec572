"""Maps a call to a request by the settings: request class, tenant, conversation, shared prefix, length, deadline and
idempotency key."""

import hashlib
import re

from lapiswing.chat import InvalidCall, estimate_prompt_tokens
from lapiswing.gateway.request import Spec
from lapiswing.routing.names import bounded_name

MS = 1000
MAX_DEADLINE_MS = 3_600_000
MILLISECONDS = re.compile(rb"[0-9]{1,10}")
MAX_KEY_BYTES = 255


class UnknownApiKey(Exception):
    """The API key is missing or unknown."""


def digest(texts):
    """Returns a short hash of a list of texts."""
    return hashlib.blake2b("\0".join(texts).encode("utf-8", "surrogatepass"), digest_size=8).hexdigest()


class Mapper:
    """Holds the lookup tables of the mapping. A request class is a `group` of the settings."""

    def __init__(self, settings):
        mapping = settings.mapping
        self.settings, self.bytes_per_token, self.prefix_messages = settings, mapping.bytes_per_token, mapping.prefix_messages
        self.group_header, self.session_header, self.deadline_header = (
            header.lower().encode() for header in (mapping.group_header, mapping.session_header, mapping.deadline_header)
        )
        self.default_max_tokens = mapping.default_max_tokens
        self.tenants = {key.encode(): i for i, tenant in enumerate(settings.tenant) for key in tenant.api_key}
        self.by_header = {group.header_value.encode(): i for i, group in enumerate(settings.group) if group.header_value}
        self.by_model = {model: i for i, group in reversed(list(enumerate(settings.group))) for model in group.model}
        self.default_group = next((i for i, group in enumerate(settings.group) if not group.model), None)

    def models(self):
        """Returns the names of the models that are served."""
        return sorted({model for group in self.settings.group for model in group.model}) or ["default"]

    def tenant(self, authorization):
        """Returns the number of the tenant. Raises UnknownApiKey. A gateway without tenants needs no API key."""
        if not self.tenants:
            return 0
        scheme, _, key = (authorization or b"").partition(b" ")
        tenant = self.tenants.get(key.strip()) if scheme.lower() == b"bearer" else None
        if tenant is None:
            raise UnknownApiKey
        return tenant

    def group(self, call, header):
        """Returns the number of the request class, by header or else by model. Raises InvalidCall."""
        header_value = header(self.group_header)
        if header_value is not None:
            if header_value not in self.by_header:
                raise InvalidCall(f"No endpoint group `{header_value.decode('latin-1')}`", None)
            return self.by_header[header_value]
        group = self.by_model.get(call.model, self.default_group)
        if group is None:
            raise InvalidCall(f"The model `{call.model}` does not exist", "model")
        return group

    def spec(self, call, tenant, header, now_us):
        """Returns the Spec of a call. `header(name)` gives bytes or None. Raises InvalidCall."""
        group = self.group(call, header)
        group_settings = self.settings.group[group]
        deadline_ms = group_settings.deadline_ms
        requested_ms = header(self.deadline_header)
        if requested_ms is not None:
            if not MILLISECONDS.fullmatch(requested_ms) or not 0 < int(requested_ms) <= MAX_DEADLINE_MS:
                raise InvalidCall(f"{self.deadline_header.decode()} must be whole milliseconds", None)
            deadline_ms = min(deadline_ms, int(requested_ms))
        key = header(b"idempotency-key")
        if key is not None:
            if not key or len(key) > MAX_KEY_BYTES:
                raise InvalidCall(f"Idempotency-Key must have 1 to {MAX_KEY_BYTES} characters", None)
            key = f"{tenant}/{group}/{key.decode('latin-1')}"
        prefix_texts = call.texts[: self.prefix_messages] if len(call.texts) > self.prefix_messages else []
        session = header(self.session_header)
        if session:
            session = bounded_name(f"{tenant}/{session.decode('latin-1')}")
        else:
            # Each call of a conversation repeats all earlier messages, so its beginning, up to the first message of the
            # user, identifies the conversation.
            session = digest([str(tenant), call.user or "", *call.texts[: self.prefix_messages + 1]])
        # Streaming is no part of the content: a retry may ask for the same answer in the other form.
        content_fields = {name: value for name, value in call.raw.items() if name not in ("stream", "stream_options")}
        return Spec(
            group,
            tenant,
            call,
            estimate_prompt_tokens(call.texts, self.bytes_per_token),
            now_us + deadline_ms * MS,
            session,
            digest(prefix_texts) if prefix_texts else None,
            estimate_prompt_tokens(prefix_texts, self.bytes_per_token) if prefix_texts else 0,
            call.max_tokens or self.default_max_tokens,
            key,
            hashlib.blake2b(repr(sorted(content_fields.items())).encode("utf-8", "surrogatepass"), digest_size=16).digest()
            if key
            else b"",
            size=call.size,
        )
