"""Configuration files and ports that are temporarily unavailable."""

import errno
import json
import os
import socket

import pytest
from platform_harness import PlatformHarness, RecordingLog

from lapiswing.errors import CantListen
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.node import config as configs
from lapiswing.node import serve
from lapiswing.node.serve import Node

MS, S = 1000, 1_000_000


@pytest.mark.parametrize("how", ["half written", "empty", "no descriptor", "missing"])
def test_a_configuration_that_is_temporarily_unreadable_is_read_again(tmp_path, monkeypatch, how):
    """The signal comes only once: without a retry the new address would be lost, and with it all changes announced there."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        whole = json.dumps({**harness.config, "discovery": "127.0.0.1:9"})
        old = harness.node.discovery.address

        def none(*_args):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        if how == "no descriptor":
            harness.path.write_text(whole)
            monkeypatch.setattr(configs, "open", none, raising=False)
        elif how == "missing":
            harness.path.unlink()
        else:
            harness.path.write_text(whole[: len(whole) // 2] if how == "half written" else "")
        harness.node.reload()
        harness.loop.run_until(lambda: False, 300 * MS)
        assert harness.node.discovery.address == old
        monkeypatch.undo()
        harness.path.write_text(whole)
        harness.until(lambda: harness.node.discovery.address[1] == 9, S)
        assert sum("can't be read" in event for event, _ in harness.log.lines) == 1


def test_a_configuration_that_stays_invalid_is_ignored_after_some_attempts(tmp_path, monkeypatch):
    monkeypatch.setattr(Node.reload, "__defaults__", (5,))
    monkeypatch.setattr(serve, "RELOAD_ATTEMPTS", 5)
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        old = harness.node.discovery.address
        harness.path.write_text("{")
        harness.node.reload()
        harness.loop.run_until(lambda: False, S)
        assert harness.node.discovery.address == old and harness.node.reload_timer is None
        assert harness.ask("a1").wait_answer().status == 200


def write_config(folder, harness):
    path = folder / "own.json"
    (port,) = free_ports(1)
    path.write_text(json.dumps({**harness.config, "listen": f"127.0.0.1:{port}"}))
    return path, port


def test_a_port_in_use_is_waited_for(tmp_path):
    """A process that is being replaced may not have released it yet."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        path, port = write_config(tmp_path, harness)
        occupied = socket.create_server(("127.0.0.1", port))
        log = RecordingLog()
        node = Node(str(path), log, harness.loop)
        node.start()
        harness.loop.run_until(lambda: False, 300 * MS)
        assert "listening" not in [event for event, _ in log.lines]
        occupied.close()
        harness.until(lambda: "listening" in [event for event, _ in log.lines], 2 * S)
        harness.port = port
        assert harness.ask("a1").wait_answer().status == 200
        node.close()


def test_a_port_that_stays_in_use_ends_the_start_with_the_reason(tmp_path, monkeypatch):
    monkeypatch.setattr(serve, "LISTEN_TIMEOUT_US", 400 * MS)
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        path, port = write_config(tmp_path, harness)
        occupied = socket.create_server(("127.0.0.1", port))
        node = Node(str(path), RecordingLog(), Loop(Clock()))
        with pytest.raises(CantListen):
            node.start()
            node.run()
        occupied.close()
        node.close()


def test_a_start_that_finds_its_configuration_half_written_reads_it_again(tmp_path, monkeypatch):
    """Otherwise a file that is replaced while a process starts would end it with status 2."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        path, port = write_config(tmp_path, harness)
        whole = path.read_text()
        path.write_text(whole[: len(whole) // 3])
        reads = []

        def read(file):
            reads.append(file)
            if len(reads) == 3:
                path.write_text(whole)
            return real(file)

        real = configs.load
        monkeypatch.setattr(configs, "load", read)
        node = Node.load_with_retries(str(path), RecordingLog())
        assert node.config.listen.endswith(str(port)) and len(reads) == 3
        node.close()


def test_a_start_whose_configuration_stays_invalid_ends_with_the_reason(tmp_path, monkeypatch):
    monkeypatch.setattr(serve, "START_READ_ATTEMPTS", 3)
    (tmp_path / "own.json").write_text("{")
    with pytest.raises(configs.ConfigError, match="not JSON"):
        Node.load_with_retries(str(tmp_path / "own.json"), RecordingLog())
