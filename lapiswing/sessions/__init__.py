"""Sessions of clients that use one connection for many requests: limits, fair scheduling, credit and resumption. `book`
decides without I/O; `tokens` issues and checks the tokens by which a client resumes its session."""

from lapiswing.sessions.book import Book, Limits, Session
from lapiswing.sessions.tokens import Tokens

__all__ = ["Book", "Limits", "Session", "Tokens"]
