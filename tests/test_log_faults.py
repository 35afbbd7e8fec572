"""A log that can't be written does not affect the gateway."""

import errno
import os
import threading

import pytest
from platform_harness import PlatformHarness

from lapiswing.observe import start_logs

S = 1_000_000


class FullDisk:
    """A log file on a full disk."""

    def __init__(self):
        self.attempts = 0

    def write(self, text):
        self.attempts += 1
        raise OSError(errno.ENOSPC, "No space left on device")

    def flush(self):
        pass


def test_a_log_that_can_not_be_written_does_not_prevent_the_stop(tmp_path):
    """An exception from the first log line of a stop would leave the port open for good."""
    sink = FullDisk()
    with PlatformHarness(tmp_path, ("both", "both"), log=start_logs("info", sink=sink)) as harness:
        assert harness.ask("a0").wait_answer().status == 200
        harness.loop.running = True
        harness.node.stop()
        harness.until(lambda: not harness.loop.running, 5 * S)
        assert sink.attempts and harness.node.listener.closed


def test_a_log_that_nobody_reads_does_not_block():
    """Writing to a full pipe would block the loop and with it all requests."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    try:
        while True:
            os.write(write_end, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(write_end, True)
    writer = os.fdopen(write_end, "w")
    log = start_logs("info", sink=writer)
    thread = threading.Thread(target=log.info, args=("a line",), daemon=True)
    thread.start()
    thread.join(2)
    blocked = thread.is_alive()
    os.read(read_end, 1 << 20)
    thread.join(2)
    log.info("another")
    os.set_blocking(read_end, False)
    assert not blocked
    assert b"another" in os.read(read_end, 1 << 20)
    writer.close()
    os.close(read_end)


@pytest.fixture(autouse=True)
def usual_logs():
    yield
    start_logs("info")
