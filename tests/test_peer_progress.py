"""The clocks of peers that take or bring something: each is set back only by what it waits for."""

import socket
import time

from gateway_site import GatewaySite
from test_websocket import frame, opened

from lapiswing.http1 import Limits, Server
from lapiswing.loop import Clock, Listener, Loop, listen_socket

S = 1_000_000  # in microseconds


def keep_sending(sock, run_loop, data, limit_s):
    """Sends `data` again and again. -> whether the connection ended within the limit."""
    began = time.monotonic()
    while time.monotonic() - began < limit_s:
        try:
            sock.send(data)
        except OSError:
            return True
        run_loop()
    return False


def test_a_client_that_sends_and_never_reads_its_answer_is_ended():
    """What it sends behind its request would otherwise keep its answer, and its server, for good."""
    loop = Loop(Clock())
    server = Server(loop, lambda exchange: exchange.respond(200, b"x" * (16 << 20)), Limits(stall_us=S))
    server.listener = Listener(loop, listen_socket("127.0.0.1", 0), server.accept)
    sock = socket.create_connection(server.listener.address)
    try:
        sock.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert keep_sending(sock, lambda: loop.run_until(lambda: False, S // 5), b"x", 6)
    finally:
        sock.close()
        server.close()
        server.listener.close()
        loop.close()


def test_a_closing_websocket_is_ended_though_its_client_goes_on_sending():
    with GatewaySite() as site:
        raw = opened(site)
        (conn,) = site.gateway.sessions.connections
        conn.close(1001, "going away", await_reply=True)
        assert keep_sending(raw.sock, lambda: site.turn_for(200), frame(9, b"x"), 8)
