"""Names that clients choose, such as those of conversations and prefixes, bounded in length. No I/O."""

from hashlib import blake2b

MAX_NAME_CHARACTERS = 64
DIGEST_BYTES = 16


def bounded_name(name):
    """-> the name, or a digest in place of a long one: the same for all gateways. Names are kept for as long as a prompt may
    be cached, so their length is memory."""
    if name is None or len(name) <= MAX_NAME_CHARACTERS:
        return name
    return blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()
