"""Configurations and ports that are not there for a moment."""

import errno
import json
import os
import socket

import pytest
from platform_door import Door, Quiet

from lapiswing.errors import CantListen
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.node import config as configs
from lapiswing.node import serve
from lapiswing.node.serve import Node

MS, S = 1000, 1_000_000


@pytest.mark.parametrize("how", ["half written", "empty", "no descriptor", "not there"])
def test_a_configuration_that_can_not_be_read_just_now_is_read_a_moment_later(tmp_path, monkeypatch, how):
    """The signal comes once. Seen in the reading: what it was for was lost, and changes told at the new address with it."""
    with Door(tmp_path, ("both", "both")) as door:
        whole = json.dumps({**door.config, "discovery": "127.0.0.1:9"})
        old = door.node.discovery.address

        def none(*_args):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        if how == "no descriptor":
            door.path.write_text(whole)
            monkeypatch.setattr(configs, "open", none, raising=False)
        elif how == "not there":
            door.path.unlink()
        else:
            door.path.write_text(whole[: len(whole) // 2] if how == "half written" else "")
        door.node.reload()
        door.loop.run_until(lambda: False, 300 * MS)
        assert door.node.discovery.address == old
        monkeypatch.undo()
        door.path.write_text(whole)
        door.until(lambda: door.node.discovery.address[1] == 9, S)
        assert sum("can't be read" in event for event, _ in door.log.lines) == 1


def test_a_configuration_that_stays_bad_leaves_the_last_one_and_is_not_tried_for_good(tmp_path, monkeypatch):
    monkeypatch.setattr(Node.reload, "__defaults__", (5,))
    monkeypatch.setattr(serve, "RELOADS", 5)
    with Door(tmp_path, ("both", "both")) as door:
        old = door.node.discovery.address
        door.path.write_text("{")
        door.node.reload()
        door.loop.run_until(lambda: False, S)
        assert door.node.discovery.address == old and door.node.reloading is None
        assert door.ask("a1").whole().status == 200


def configured(folder, door):
    path = folder / "own.json"
    (port,) = free_ports(1)
    path.write_text(json.dumps({**door.config, "listen": f"127.0.0.1:{port}"}))
    return path, port


def test_a_port_that_is_still_taken_is_waited_for(tmp_path):
    """A process that is being replaced may not have let go of it yet."""
    with Door(tmp_path, ("both", "both")) as door:
        path, port = configured(tmp_path, door)
        taken = socket.create_server(("127.0.0.1", port))
        log = Quiet()
        node = Node(str(path), log, door.loop)
        node.start()
        door.loop.run_until(lambda: False, 300 * MS)
        assert "listening" not in [event for event, _ in log.lines]
        taken.close()
        door.until(lambda: "listening" in [event for event, _ in log.lines], 2 * S)
        door.port = port
        assert door.ask("a1").whole().status == 200
        node.close()


def test_a_port_that_stays_taken_ends_the_start_with_the_reason(tmp_path, monkeypatch):
    monkeypatch.setattr(serve, "LISTEN_US", 400 * MS)
    with Door(tmp_path, ("both", "both")) as door:
        path, port = configured(tmp_path, door)
        taken = socket.create_server(("127.0.0.1", port))
        node = Node(str(path), Quiet(), Loop(Clock()))
        with pytest.raises(CantListen):
            node.start()
            node.run()
        taken.close()
        node.close()


def test_a_start_that_finds_its_configuration_half_written_reads_it_again(tmp_path, monkeypatch):
    """Found by the soak, seed 404: a file that was being replaced as a process started ended it with status 2."""
    with Door(tmp_path, ("both", "both")) as door:
        path, port = configured(tmp_path, door)
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
        node = Node.when_configured(str(path), Quiet())
        assert node.config.listen.endswith(str(port)) and len(reads) == 3
        node.close()


def test_a_start_whose_configuration_stays_bad_ends_with_its_reason(tmp_path, monkeypatch):
    monkeypatch.setattr(serve, "START_READS", 3)
    (tmp_path / "own.json").write_text("{")
    with pytest.raises(configs.ConfigError, match="not JSON"):
        Node.when_configured(str(tmp_path / "own.json"), Quiet())
