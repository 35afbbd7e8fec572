"""An id that comes again after its request has ended does not run twice, whatever became of its client."""

import copy

import pytest
from platform_harness import SETTINGS, PlatformHarness

from lapiswing.admission.recent_ids import RecentIds

MS = 1000
LEAVING = ["while it is read", "while it waits for its first event", "while its stream runs", "after its answer"]


def settings_with(effect, cancel):
    settings = copy.deepcopy(SETTINGS)
    settings["Classes"][0]["Effect"] = effect
    settings["Limits"]["Cancel"] = cancel
    return settings


@pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
@pytest.mark.parametrize("leaving", LEAVING)
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(tmp_path, leaving, effect, cancel):
    with PlatformHarness(tmp_path, ("read", "write"), settings=settings_with(effect, cancel)) as harness:
        reader, writer = harness.platform.servers.values()
        reader.read_us = writer.read_us = writer.pause_us = 60 * MS
        client = harness.ask("a1")
        if leaving == "while it is read":
            harness.until(lambda: reader.seen)
        elif leaving == "while it waits for its first event":
            harness.until(lambda: writer.seen)
        elif leaving == "while its stream runs":
            harness.until(lambda: client.status)
        else:
            client.wait_answer()
        client.close()
        harness.until(lambda: not harness.core.reqs)
        again = harness.ask("a1").wait_answer()
        ran = [row for row in writer.seen if row[0] == b"POST" and row[2] == "a1"]
        if effect == "retryable" or leaving == "while it is read":
            assert again.status == 200
        else:
            assert again.status == 409 and len(ran) == 1
        harness.wait_settled()


def test_the_oldest_ids_are_forgotten_first():
    ids = RecentIds(2)
    for rid in ("a", "b", "a", "c"):
        ids.add(rid)
    assert "a" in ids and "c" in ids and "b" not in ids
