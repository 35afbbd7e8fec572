"""Tokens by which a client resumes a session: Fernet (AES-CBC with HMAC-SHA256, github.com/fernet/spec), with key rotation.

A token names the session, its tenant and the gateway process that keeps the session. It proves that a gateway of this fleet
issued it. Its bearer must also have an API key of the same tenant."""

import orjson
from cryptography.fernet import Fernet, InvalidToken, MultiFernet


class Tokens:
    """Issues and checks tokens. The first of `keys` signs and all are accepted, so a new key is put in front, and the old one
    is removed after `lifetime_s`."""

    def __init__(self, keys, process_name, lifetime_s):
        self.fernet = MultiFernet([Fernet(k) for k in keys or [Fernet.generate_key()]])
        self.process_name, self.lifetime_s = process_name, lifetime_s

    def make(self, session, tenant, now_s):
        """Returns a token for the session with this number."""
        return self.fernet.encrypt_at_time(orjson.dumps([session, tenant, self.process_name]), now_s).decode()

    def read(self, token, tenant, now_s):
        """Returns (result, session): the result is 'good', 'forged' (which includes expired tokens and removed keys), 'other
        tenant' or 'other gateway'."""
        try:
            session, token_tenant, token_process = orjson.loads(
                self.fernet.decrypt_at_time(token.encode(), self.lifetime_s, now_s)
            )
        except (InvalidToken, ValueError, TypeError, UnicodeError):
            return "forged", None
        if token_tenant != tenant:
            return "other tenant", None
        if token_process != self.process_name:
            return "other gateway", None
        return "good", session
