"""A limit on what is kept for all peers of one kind together. Each peer's own limit does not bound the sum."""


class ByteBudget:
    """`take` and `give_back` count the bytes that are kept. `refused` counts what did not fit."""

    def __init__(self, limit):
        self.limit, self.used, self.refused = limit, 0, 0

    def take(self, size):
        """-> whether `size` more bytes fit. If so they count until they are given back."""
        if self.used + size > self.limit:
            self.refused += 1
            return False
        self.used += size
        return True

    def give_back(self, size):
        """Ends the count of bytes that were taken."""
        self.used -= size
