"""Compares the HTTP parsers httptools and h11 on a chat request: python -m benchmarks.parsers

Needs h11, which lapiswing itself does not use."""

import time

import h11
import httptools

BODY = b'{"model": "q", "stream": true, "messages": [{"role": "user", "content": "soup?"}]}'
HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nAccept: application/json\r\n"
    b"Accept-Encoding: gzip, deflate\r\nConnection: keep-alive\r\nContent-Type: application/json\r\n"
    b"User-Agent: client/1.0\r\nAuthorization: Bearer demo\r\nx-session-id: 17\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
)


class Sink:
    """Ignores the parsed parts."""

    def on_header(self, name, value):
        pass

    def on_body(self, data):
        pass


def parse_with_httptools():
    httptools.HttpRequestParser(Sink()).feed_data(HEAD + BODY)


def parse_with_h11():
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(HEAD + BODY)
    while conn.next_event() not in (h11.NEED_DATA, h11.PAUSED) and conn.their_state is not h11.DONE:
        pass


if __name__ == "__main__":
    for name, parse in (("httptools", parse_with_httptools), ("h11", parse_with_h11)):
        best_s = 1e9
        for _ in range(7):
            start = time.perf_counter()
            for _ in range(2000):
                parse()
            best_s = min(best_s, (time.perf_counter() - start) / 2000)
        print(f"{name}: {best_s * 1e6:.1f} us per request")
