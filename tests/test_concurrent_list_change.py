"""A list that no longer names a server arrives in the loop turn in which a request is about to be sent to it."""

import msgspec
import pytest
from platform_harness import PlatformHarness

from lapiswing.node.discovery import LIST_DECODER


def apply_list_without(harness, server):
    """Applies a whole list without one server at once, before the router's next turn."""
    row = harness.platform.remove(server)
    known = harness.platform.discovery.whole()
    known["endpoints"] = [e for e in known["endpoints"] if e["name"] != row["name"]]
    harness.node.server_list.apply(LIST_DECODER.decode(msgspec.json.encode(known)), harness.loop.clock.now_us())
    harness.node.on_list_change()


@pytest.mark.parametrize("leaving_index", [0, 1])
@pytest.mark.parametrize("then", ["at arrival", "when the prefill ends"])
def test_a_server_leaves_in_the_turn_in_which_an_attempt_is_chosen(tmp_path, leaving_index, then):
    roles = ("read", "read", "write") if then == "at arrival" else ("read", "write", "write")
    with PlatformHarness(tmp_path, roles) as harness:
        role = "read" if then == "at arrival" else "write"
        leaving = [s for s in harness.platform.servers.values() if s.role == role][leaving_index]
        name = leaving.name
        if then == "at arrival":
            enqueue = harness.core.enqueue

            def enqueue_and_change(req, bits):
                harness.core.enqueue = enqueue
                enqueue(req, bits)
                apply_list_without(harness, leaving)

            harness.core.enqueue = enqueue_and_change
        else:
            attempt_ended = harness.core.attempt_ended

            def ended(req, rid, number, out, code, remark, report):
                attempt_ended(req, rid, number, out, code, remark, report)
                if code == "read":
                    harness.core.attempt_ended = attempt_ended
                    apply_list_without(harness, leaving)

            harness.core.attempt_ended = ended
        client = harness.ask("r1")
        harness.until(lambda: client.status)
        assert client.status == 200 and name not in harness.node.server_list.rows
        assert not harness.core.counts["faults"]
        assert (
            name not in harness.core.router.table.rows.index_of and name not in harness.core.router.table.columns.index_of
        )  # the change has been applied
        assert not client.wait_answer().truncated
        harness.wait_settled()
        assert name not in harness.core.kinds  # and nothing about it is kept


def test_an_exception_in_the_router_loses_no_event_behind_it(tmp_path):
    with PlatformHarness(tmp_path, ("read", "read", "write")) as harness:
        leaving = next(iter(harness.platform.servers.values()))
        enqueue, on_req = harness.core.enqueue, harness.core.router.on_req

        def enqueue_and_change(req, bits):
            enqueue(req, bits)
            apply_list_without(harness, leaving)

        def fail(*fields):
            harness.core.enqueue, harness.core.router.on_req = enqueue, on_req
            raise ZeroDivisionError("raised by the test")

        harness.core.enqueue, harness.core.router.on_req = enqueue_and_change, fail
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
