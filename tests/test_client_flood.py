"""One client that sends at full speed on one connection costs the others neither their answers nor the process its memory."""

import gc
import itertools
import json
import multiprocessing
import socket
import weakref

import pytest
from gateway_process import GatewayProgram
from platform_harness import BODY, PlatformHarness, head

from lapiswing import policy
from lapiswing.routing.names import MAX_NAME_CHARACTERS, bounded_name

MS, S = 1000, 1_000_000  # in microseconds
FLOOD_US = 4 * S
USUAL_EVERY_US = 50 * MS
MAX_USUAL_US = 500 * MS
MAX_GROWTH_MB = 2.5  # in the second half of the flood
SMALL = json.dumps({"messages": []}).encode()
CHUNKED_BODY = b"".join(b"1\r\n%c\r\n" % byte for byte in SMALL) + b"0\r\n\r\n"


def ready(number):
    return b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" * 20


def new_names(number):
    name = f"n{number}-"
    return head(name, SMALL, Req_Key=name.ljust(250, "k"), Req_Extra=f"prefix={name.ljust(9000, 'p')},prompt_len=10") + SMALL


def small_chunks(number):
    return head(f"n{number}", Content_Length=None, Transfer_Encoding="chunked") + CHUNKED_BODY


def unsound_class(number):
    return head(f"n{number}", SMALL, Req_Kind="nope") + SMALL


def unsound_head(number):
    return b"GET / HTTP/1.1\r\n folded: 1\r\n\r\n"


def no_time_left(number):
    return head(f"n{number}", SMALL, Req_Deadline="0.001") + SMALL


FLOODS = [ready, new_names, small_chunks, unsound_class, unsound_head, no_time_left]


def flood(port, request):
    """Sends requests for ever, on a new connection where one is closed. Reads what comes only while sending is blocked."""
    numbers = itertools.count()
    while True:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.settimeout(0.02)
            data = memoryview(b"")
            try:
                while True:
                    data = data or memoryview(b"".join(request(next(numbers)) for _ in range(20)))
                    try:
                        data = data[sock.send(data) :]
                    except TimeoutError:
                        sock.recv(1 << 20)
            except OSError:
                pass


@pytest.mark.parametrize("request_of", FLOODS, ids=lambda request: request.__name__)
def test_usual_clients_are_served_and_memory_does_not_grow_under_a_flood(tmp_path, request_of):
    with PlatformHarness(tmp_path, ("both",) * 4) as harness, GatewayProgram(harness, tmp_path) as program:
        clock = harness.loop.clock
        flooding = multiprocessing.get_context("fork").Process(target=flood, args=(program.port, request_of), daemon=True)
        flooding.start()
        try:
            times_us, began_us, memory_mb = [], clock.now_us(), []
            while clock.now_us() < began_us + FLOOD_US:
                sent_us = clock.now_us()
                usual = harness.ask(f"usual{len(times_us)}").wait_answer()
                assert usual.status == 200
                times_us.append(clock.now_us() - sent_us)
                memory_mb.append(program.memory_mb("VmRSS"))
                usual.close()
                harness.loop.run_until(lambda: False, USUAL_EVERY_US)
        finally:
            flooding.kill()
            flooding.join()
        assert max(times_us) < MAX_USUAL_US
        assert memory_mb[-1] - memory_mb[len(memory_mb) // 2] < MAX_GROWTH_MB, memory_mb


def test_a_connection_cut_off_for_too_much_input_is_freed_without_the_garbage_collector(tmp_path):
    """A stored exception holds its frames, and through them the connection with a quarter of a megabyte."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].read_us = S
        gc.collect()
        gc.disable()
        try:
            client = harness.ask("a1")
            harness.until(lambda: harness.core.reqs)
            (connection,) = harness.node.server.connections
            reference = weakref.ref(connection)
            del connection
            client.send_in_turns(b"".join(small_chunks(number) for number in range(2000)))
            client.close()
            harness.until(lambda: not harness.node.server.connections and not harness.core.reqs)
            harness.loop.run_until(lambda: False, 50 * MS)
            assert reference() is None
        finally:
            gc.enable()


def test_names_of_clients_are_kept_short_and_only_so_many(tmp_path, monkeypatch):
    monkeypatch.setattr(policy, "MAX_CACHED_NAMES", 64)
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        client = harness.client()
        for number in range(60):
            client.got = b""
            name = f"{number}".ljust(200, "n")
            client.send(head(f"a{number}", Req_Key=name, Req_Extra=f"prefix={name * 40},prompt_len=100") + BODY)
            assert client.wait_answer().status == 200
        kept = [name for server in harness.core.router.servers.values() for name in server.cached_prefixes]
        assert len(kept) <= 64 + 2 * 2 and max(map(len, kept)) <= MAX_NAME_CHARACTERS


def test_long_names_stay_apart_and_short_ones_as_they_are():
    assert bounded_name("k1") == "k1" and bounded_name(None) is None
    long = ["a" * 65, "a" * 66, "a" * 64 + "b"]
    assert len({bounded_name(name) for name in long}) == 3
    assert bounded_name(long[0]) == bounded_name(long[0])
