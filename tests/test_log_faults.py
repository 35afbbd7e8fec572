"""A log that can't be written stops nothing."""

import errno
import os
import threading

import pytest
from platform_harness import PlatformHarness

from lapiswing.observe import start_logs

S = 1_000_000


class Full:
    """A log on a disk that is full."""

    def __init__(self):
        self.tries = 0

    def write(self, text):
        self.tries += 1
        raise OSError(errno.ENOSPC, "No space left on device")

    def flush(self):
        pass


def test_a_log_that_can_not_be_written_stops_nothing(tmp_path):
    """Seen in the reading: the first line of a stop raised, and the port was never closed."""
    sink = Full()
    with PlatformHarness(tmp_path, ("both", "both"), log=start_logs("info", sink=sink)) as harness:
        assert harness.ask("a0").wait_answer().status == 200
        harness.loop.running = True
        harness.node.stop()
        harness.until(lambda: not harness.loop.running, 5 * S)
        assert sink.tries and harness.node.listener.closed


def test_a_log_that_nobody_reads_holds_nothing_up():
    """A pipe that is full would block the loop, and all requests with it."""
    far, near = os.pipe()
    os.set_blocking(near, False)
    try:
        while True:
            os.write(near, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(near, True)
    writer = os.fdopen(near, "w")
    log = start_logs("info", sink=writer)
    thread = threading.Thread(target=log.info, args=("a line",), daemon=True)
    thread.start()
    thread.join(2)
    blocked = thread.is_alive()
    os.read(far, 1 << 20)
    thread.join(2)
    log.info("another")
    os.set_blocking(far, False)
    assert not blocked
    assert b"another" in os.read(far, 1 << 20)
    writer.close()
    os.close(far)


@pytest.fixture(autouse=True)
def usual_logs():
    yield
    start_logs("info")
