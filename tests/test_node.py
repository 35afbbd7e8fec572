"""The platform's door, against stand-ins of its servers and discovery."""
import gc
import weakref

import pytest
from platform_door import BODY, Door, head

from lapiswing.gateway import core as core_module
from lapiswing.node import servers as node_servers

S = 1_000_000


def test_a_req_is_read_and_written_and_its_stream_passed_on_unchanged(tmp_path):
    with Door(tmp_path) as door:
        for server in door.platform.servers.values():
            server.load = b"TEXT inflight=1, queue=0, x0=0.2, x1=0.1"
        client = door.ask("a1").whole()
        assert client.status == 200 and not client.cut
        assert client.body == door.platform.servers["s-2"].whole()
        sent = door.platform.seen(b"POST")
        assert [row[0] for row in sent][0] == "s-1" and len(sent) == 2
        assert {row[1:] for row in sent} == {(b"POST", b"/v1/chat/completions", "a1", BODY)}
        door.settled()


def test_a_req_leaves_nothing_behind_without_a_collection(tmp_path):
    """Seen: memory grew by 0.13 of G on a day of churn, as bodies hung on cycles of ended reqs."""
    with Door(tmp_path, ("read", "write", "both")) as door:
        seen = []
        for module, name in ((core_module, "Req"), (node_servers, "Forward")):
            made = getattr(module, name)
            made_init = made.__init__

            def init(self, *args, made_init=made_init):
                made_init(self, *args)
                seen.append(weakref.ref(self))
            made.__init__ = init
            door.loop.soon(lambda: None)
            try:
                gc.collect()
                gc.disable()
                for i in range(6):
                    client = door.ask(f"r{name}{i}").whole()
                    client.close()
                door.settled()
                door.until(lambda: not door.node.server.connections)
                door.loop.run_until(lambda: False, 30_000)
            finally:
                made.__init__ = made_init
                gc.enable()
        assert len(seen) >= 12
        # One may still be held by the timers of its own that have not come due.
        assert sum(ref() is not None for ref in seen) == 0, [type(ref()) for ref in seen if ref() is not None]


def spoilt(answer, after=0):
    """A fault: one answer of these bytes in place of a whole one; the connection stays open."""
    left = [1]

    def fault(exchange):
        if exchange.path != b"/v1/chat/completions" or not left:
            return False
        left.pop()
        exchange.conn.server.loop.call_later(after, exchange.write, answer)
        return True
    return fault


def test_a_release_does_not_reach_the_state_of_the_next_read(tmp_path):
    """Seen: of 30 writes spoilt before their first event, all but a few were pushed back. The next writer had no state to
    fetch, the module read again, and the release of the first state dropped the second."""
    with Door(tmp_path, ("read", "write", "write", "write")) as door:
        reader, *writers = door.platform.servers.values()
        reader.read_us = 60_000
        first = []

        def fault(exchange):
            if exchange.path != b"/v1/chat/completions" or first:
                return False
            first.append(exchange)
            reader.states.clear()  # this one has fetched it
            exchange.write(b"\x00\x01 noise\r\n\r\n")
            return True
        for writer in writers:
            writer.fault = fault
        client = door.ask("a1").whole()
        assert client.status == 200 and not client.cut
        door.settled()
        rows = [(row[1], row[0]) for row in door.platform.seen()]
        assert [r for r in rows if r[0] == b"POST"].count((b"POST", "s-1")) == 2  # read once more, and no third time
