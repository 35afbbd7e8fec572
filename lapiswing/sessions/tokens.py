"""Tokens by which a session is resumed: Fernet (AES-CBC with HMAC-SHA256, github.com/fernet/spec), with rotation.

A token holds the session, its tenant and the life of the gateway that keeps it. It proves that this fleet made it; who
shows it must also hold an API key of the same tenant."""

import orjson
from cryptography.fernet import Fernet, InvalidToken, MultiFernet


class Tokens:
    """`keys`: the first signs, all are accepted, so a new one goes in front and the old one out after `lasts_s`."""

    def __init__(self, keys, life, lasts_s):
        self.fernet = MultiFernet([Fernet(k) for k in keys or [Fernet.generate_key()]])
        self.life, self.lasts_s = life, lasts_s

    def make(self, session, tenant, now_s):
        return self.fernet.encrypt_at_time(orjson.dumps([session, tenant, self.life]), now_s).decode()

    def read(self, token, tenant, now_s):
        """-> (why, session): why is 'good', 'forged' (or expired, or of a withdrawn key), 'other tenant' or 'other
        gateway'."""
        try:
            session, owner, life = orjson.loads(self.fernet.decrypt_at_time(token.encode(), self.lasts_s, now_s))
        except (InvalidToken, ValueError, TypeError, UnicodeError):
            return "forged", None
        if owner != tenant:
            return "other tenant", None
        if life != self.life:
            return "other gateway", None
        return "good", session
