"""What the log of a gateway on the platform says of requests that were not served, and its limits."""

from platform_harness import PlatformHarness, RecordingLog

from lapiswing.loop import ManualClock
from lapiswing.node.rate_limited_log import BURST_LINES, BURST_LINES_OF_EVENT, RateLimitedLog


def test_a_stream_that_breaks_is_logged_with_its_request_server_and_reason(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        (server,) = harness.platform.servers.values()

        def fault(exchange):
            exchange.begin(200, [])
            exchange.send(server.event(0))
            harness.loop.call_later(20_000, exchange.send, b"noise\n\n")
            return True

        server.fault = fault
        harness.ask("a1").wait_answer()
        (fields,) = [fields for event, fields in harness.log.lines if event == "stream broken"]
        expected = {"req": "a1", "server": "s-1", "code": "reset", "why": "what came is no event", "events": 1}
        assert expected.items() <= fields.items()


def test_a_request_that_fails_is_logged_with_all_its_attempts(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].fault = lambda exchange: exchange.respond(500) or True
        harness.ask("a1").wait_answer()
        (fields,) = [fields for event, fields in harness.log.lines if event == "not served"]
        assert fields["req"] == "a1" and "direct s-1 error" in fields["trail"]


def test_a_frequent_event_leaves_lines_to_the_others():
    log = RecordingLog()
    limited = RateLimitedLog(log, ManualClock())
    for _ in range(2 * BURST_LINES):
        limited.info("not served")
    limited.error("guard")
    assert [event for event, _ in log.lines] == ["not served"] * BURST_LINES_OF_EVENT + ["guard"]
