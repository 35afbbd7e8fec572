"""HTTP/1.1 (RFC 9112) on the project's loop, over the `httptools` parser: a server side and a client side."""

from lapiswing.http1.client import SETTLE_US, ClientExchange, Pool
from lapiswing.http1.exchange import Exchange
from lapiswing.http1.limits import Limits
from lapiswing.http1.server import Server

__all__ = ["ClientExchange", "Exchange", "Limits", "Pool", "SETTLE_US", "Server"]
