"""A list that no longer names a server arrives in the loop turn in which a request is about to be sent to it."""

import msgspec
import pytest
from platform_harness import PlatformHarness

from lapiswing.node.discovery import LIST_DECODER


def take_list_without(harness, server):
    """The whole list without one server, in this very moment and before the decisions' next turn."""
    row = harness.platform.remove(server)
    known = harness.platform.discovery.whole()
    known["endpoints"] = [e for e in known["endpoints"] if e["name"] != row["name"]]
    harness.node.server_list.apply(LIST_DECODER.decode(msgspec.json.encode(known)), harness.loop.clock.now_us())
    harness.node.on_list_change()


@pytest.mark.parametrize("leaver", [0, 1])
@pytest.mark.parametrize("then", ["at arrival", "at the read's end"])
def test_a_server_leaves_in_the_turn_in_which_an_attempt_is_chosen(tmp_path, leaver, then):
    roles = ("read", "read", "write") if then == "at arrival" else ("read", "write", "write")
    with PlatformHarness(tmp_path, roles) as harness:
        role = "read" if then == "at arrival" else "write"
        leaving = [s for s in harness.platform.servers.values() if s.role == role][leaver]
        name = leaving.name
        if then == "at arrival":
            take = harness.core.enqueue

            def ask(req, bits):
                harness.core.enqueue = take
                take(req, bits)
                take_list_without(harness, leaving)

            harness.core.enqueue = ask
        else:
            outcome = harness.core.attempt_ended

            def ended(req, rid, number, out, code, remark, report):
                outcome(req, rid, number, out, code, remark, report)
                if code == "read":
                    harness.core.attempt_ended = outcome
                    take_list_without(harness, leaving)

            harness.core.attempt_ended = ended
        client = harness.ask("r1")
        harness.until(lambda: client.status)
        assert client.status == 200 and name not in harness.node.server_list.rows
        assert not harness.core.counts["faults"]
        assert (
            name not in harness.core.router.table.rows.index_of and name not in harness.core.router.table.columns.index_of
        )  # the news has been heard
        assert not client.wait_answer().truncated
        harness.wait_settled()
        assert name not in harness.core.kinds  # and nothing of it is kept


def test_a_fault_in_the_decisions_loses_no_news_behind_it(tmp_path):
    with PlatformHarness(tmp_path, ("read", "read", "write")) as harness:
        leaving = next(iter(harness.platform.servers.values()))
        take, on_req = harness.core.enqueue, harness.core.router.on_req

        def ask(req, bits):
            take(req, bits)
            take_list_without(harness, leaving)

        def fail(*fields):
            harness.core.enqueue, harness.core.router.on_req = take, on_req
            raise ZeroDivisionError("a fault")

        harness.core.enqueue, harness.core.router.on_req = ask, fail
        client = harness.ask("r1", Req_Deadline="0.300")
        harness.until(lambda: harness.core.counts["faults"])
        assert leaving.name not in harness.core.router.table.rows.index_of
        harness.until(lambda: client.status)
        assert client.status == 502  # the backstop's answer
        again = harness.ask("r2")
        harness.until(lambda: again.status)
        assert again.status == 200
        assert not again.wait_answer().truncated
        harness.wait_settled()
