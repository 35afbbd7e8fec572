"""Sessions of clients that hold one connection for many reqs: limits, fair turns, credit, resumption. `book` decides,
without I/O; `tokens` makes and checks what a client shows when it comes back."""

from lapiswing.sessions.book import Book, Limits, Session
from lapiswing.sessions.tokens import Tokens

__all__ = ["Book", "Limits", "Session", "Tokens"]
