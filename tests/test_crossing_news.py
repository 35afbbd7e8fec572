"""A list that no longer names a server arrives in the loop turn in which a request is about to be sent to it."""

import msgspec
import pytest
from platform_door import Door

from lapiswing.node.discovery import DECODER


def take_list_without(door, server):
    """The whole list without one server, in this very moment and before the decisions' next turn."""
    row = door.platform.remove(server)
    known = door.platform.discovery.whole()
    known["endpoints"] = [e for e in known["endpoints"] if e["name"] != row["name"]]
    door.node.rows.take(DECODER.decode(msgspec.json.encode(known)), door.loop.clock.now_us())
    door.node.on_rows()


@pytest.mark.parametrize("leaver", [0, 1])
@pytest.mark.parametrize("then", ["at arrival", "at the read's end"])
def test_a_server_leaves_in_the_turn_in_which_an_attempt_is_chosen(tmp_path, leaver, then):
    roles = ("read", "read", "write") if then == "at arrival" else ("read", "write", "write")
    with Door(tmp_path, roles) as door:
        role = "read" if then == "at arrival" else "write"
        leaving = [s for s in door.platform.servers.values() if s.role == role][leaver]
        name = leaving.name
        if then == "at arrival":
            take = door.core.ask

            def ask(req, bits):
                door.core.ask = take
                take(req, bits)
                take_list_without(door, leaving)

            door.core.ask = ask
        else:
            outcome = door.core.outcome

            def ended(req, rid, number, out, code, remark, report):
                outcome(req, rid, number, out, code, remark, report)
                if code == "read":
                    door.core.outcome = outcome
                    take_list_without(door, leaving)

            door.core.outcome = ended
        client = door.ask("r1")
        door.until(lambda: client.status)
        assert client.status == 200 and name not in door.node.rows.rows
        assert not door.core.counts["faults"]
        assert (
            name not in door.core.router.table.rows.index_of and name not in door.core.router.table.columns.index_of
        )  # the news has been heard
        assert not client.whole().cut
        door.settled()
        assert name not in door.core.kinds  # and nothing of it is kept


def test_a_fault_in_the_decisions_loses_no_news_behind_it(tmp_path):
    with Door(tmp_path, ("read", "read", "write")) as door:
        leaving = next(iter(door.platform.servers.values()))
        take, on_req = door.core.ask, door.core.router.on_req

        def ask(req, bits):
            take(req, bits)
            take_list_without(door, leaving)

        def fail(*fields):
            door.core.ask, door.core.router.on_req = take, on_req
            raise ZeroDivisionError("a fault")

        door.core.ask, door.core.router.on_req = ask, fail
        client = door.ask("r1", Req_Deadline="0.300")
        door.until(lambda: door.core.counts["faults"])
        assert leaving.name not in door.core.router.table.rows.index_of
        door.until(lambda: client.status)
        assert client.status == 502  # the backstop's answer
        again = door.ask("r2")
        door.until(lambda: again.status)
        assert again.status == 200
        assert not again.whole().cut
        door.settled()
