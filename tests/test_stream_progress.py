"""The judgement whether a stream still brings events."""

from platform_harness import PlatformHarness
from test_stream_ends import DONE, EVENT, LAST_CHUNK, OPENING, chunk

from lapiswing.routing.stream_progress import PLATFORM_MAX_SILENCE_MS, StreamProgress

MS = 1000


def test_only_a_new_event_ends_the_silence():
    progress = StreamProgress(0)
    progress.record_events(1, 10)
    progress.record_events(1, 50)
    assert progress.silent_us(60) == 50
    progress.record_events(2, 70)
    assert progress.silent_us(75) == 5


def test_a_pause_of_the_client_neither_counts_as_silence_nor_ends_it():
    """A slow reader in front of a server that hangs would put off the end with each of its pauses."""
    progress = StreamProgress(0)
    for start in range(40, 1000, 100):
        progress.pause(start)
        progress.resume(start + 60)
    assert progress.silent_us(1000) == 40 * 10
    progress.pause(1000)
    assert progress.silent_us(9000) == 40 * 10


def test_a_stream_whose_client_pauses_in_the_middle_of_a_chunk_is_not_cut(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server, opened = harness.platform.servers["s-1"], []

        def fault(exchange):
            exchange.write(OPENING + b"%x\r\n" % len(EVENT))
            opened.append(exchange)
            return True

        server.fault = fault
        client = harness.ask("a1")
        harness.until(lambda: EVENT in client.receive())
        (request,) = harness.core.reqs.values()
        (listener,) = request.listeners
        type(listener).full, full = property(lambda _: True), type(listener).full  # as if the client read nothing more
        try:
            harness.core.update_flow(request)
            harness.loop.run_until(lambda: False, (PLATFORM_MAX_SILENCE_MS + 300) * MS)
        finally:
            type(listener).full = full
        harness.core.listener_ready(request)
        opened[0].write(EVENT + b"\r\n" + chunk(DONE) + LAST_CHUNK)
        assert not client.wait_answer().truncated


def test_an_event_that_has_arrived_is_read_before_a_stream_is_given_up(tmp_path):
    """The loop may be held up while the time runs out; then the timer comes before the socket."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server, opened = harness.platform.servers["s-1"], []
        server.fault = lambda exchange: (exchange.write(OPENING), opened.append(exchange))
        client = harness.ask("a1")
        harness.until(lambda: EVENT in client.receive())
        (request,) = harness.core.reqs.values()
        opened[0].conn.stream.write(chunk(EVENT))
        opened[0].conn.stream.flush()
        harness.core.class_settings[0] = harness.core.class_settings[0]._replace(stream_idle_ms=1000)
        request.attempts[0].progress.last_event_us -= 2000 * MS
        harness.core.check_idle(request, "a1", 0)
        assert request.attempts and request.attempts[0].progress.events == 2
