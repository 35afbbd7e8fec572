"""Whole paths over sockets: client, gateway, stand-in boxes. What happened is judged at the sockets."""

import resource

import pytest
from gateway_site import GatewaySite, RawClient, chat, post, status, words


def send(place, body, **headers):
    return RawClient(place, post(body, **headers))


def whole_answer(place, **fields):
    """What an undisturbed answer to the same call says."""
    return words(send(place, chat(lab="ref", **fields)).until())


def test_a_stream_read_on_one_box_and_written_on_another():
    with GatewaySite() as place:
        got = send(place, chat()).until()
        assert status(got) == 200 and got.count(b"data: [DONE]") == 1 and len(words(got).split()) == 20
        assert [r["stage"] for r in place.rows("arrive")] == ["read", "write"]
        assert [r["how"] for r in place.rows("let_go")] == ["taken"]


def test_a_mixed_box_reads_and_writes_in_one_forward():
    with GatewaySite(["both", "both"]) as place:
        assert b"[DONE]" in send(place, chat()).until()
        assert [r["stage"] for r in place.rows("arrive")] == ["direct"]


@pytest.mark.parametrize("named", [False, True])
def test_told_memory_reaches_the_decisions_where_the_settings_name_it(named):
    """By default the module hears what it heard before; boxes that go on with what is taken back are said too."""
    more = 'mapping { load_memory: "x0" } limits { keep_forwards: true }' if named else ""
    with GatewaySite(more=more) as place:
        assert status(send(place, chat(tokens=5)).until()) == 200
        told = [m.id for m in place.core.router.servers.values() if m.memory_reported_us > 0]
        assert bool(told) == named and place.core.router.may_cancel != named


def test_whole_answers_and_usage():
    with GatewaySite() as place:
        got = send(place, chat(stream=False, tokens=5)).until()
        assert status(got) == 200 and b'"object":"chat.completion"' in got and b'"completion_tokens":5' in got
        assert b"usage" not in send(place, chat(tokens=3)).until()
        asked = send(place, chat(tokens=3, stream_options={"include_usage": True})).until()
        assert asked.count(b'"completion_tokens":3') == 1
        assert len(words(send(place, chat(tokens=30, max_completion_tokens=4)).until()).split()) == 4


def test_a_writer_dies_mid_stream_and_the_stream_goes_on():
    with GatewaySite() as place:
        want = whole_answer(place, tokens=60)
        raw = send(place, chat(tokens=60))
        raw.until(lambda got: got.count(b"content") > 12)
        writer = next(b for b in place.fleet.boxes.values() if b.running)
        writer.die()
        got = raw.until()
        assert words(got) == want and got.count(b"[DONE]") == 1 and b'"error"' not in got
        ids = {line.split(b'"')[3] for line in got.split(b"\n") if line.startswith(b'data: {"id"')}
        assert len(ids) == 1 and got.count(b'"finish_reason":"stop"') == 1


def test_a_writer_dies_mid_stream_where_streams_may_not_go_on():
    with GatewaySite(resume="false") as place:
        raw = send(place, chat(tokens=60))
        raw.until(lambda got: got.count(b"content") > 12)
        next(b for b in place.fleet.boxes.values() if b.running).die()
        got = raw.until()
        assert got.count(b'data: {"error"') == 1 and b"[DONE]" not in got


def test_a_stream_that_breaks_again_and_again_ends_once():
    with GatewaySite(["read", "write", "write", "write"], more="limits { resumes: 2 }") as place:
        for i in (1, 2, 3):
            place.box(i).faults.reset_at = 600
        got = send(place, chat(tokens=80)).until()
        assert got.count(b'data: {"error"') == 1 and b"[DONE]" not in got
        assert whole_answer(place, tokens=2)  # and it still serves


def test_a_stream_that_hangs_goes_on_elsewhere():
    with GatewaySite() as place:
        for group in place.core.groups:
            group.stream_idle_ms = 300
        want = whole_answer(place, tokens=40)
        raw = send(place, chat(tokens=40))
        raw.until(lambda got: got.count(b"content") > 5)
        next(b for b in place.fleet.boxes.values() if b.running).faults.stall = True
        assert words(raw.until()) == want


def test_a_keyed_retry_joins_the_first_try():
    with GatewaySite() as place:
        first = send(place, chat("order", tokens=40), Idempotency_Key="k1")
        first.until(lambda got: got.count(b"content") > 5)
        second = send(place, chat("order", tokens=40, stream=False), Idempotency_Key="k1")
        third = send(place, chat("order", tokens=40), Idempotency_Key="k1")
        texts = [words(first.until()), words(third.until())]
        assert texts[0] == texts[1] and len(texts[0].split()) == 40 and texts[0].encode() in second.until()
        after = send(place, chat("order", tokens=40), Idempotency_Key="k1").until()
        assert words(after) == texts[0] and after.count(b"[DONE]") == 1
        assert len(place.rows("ran")) == 1 and len(place.rows("arrive")) == 2


def test_a_key_with_another_body_and_a_key_of_another_tenant():
    with GatewaySite() as place:
        send(place, chat("order"), Idempotency_Key="k1").until()
        got = send(place, chat("order", text="tea?"), Idempotency_Key="k1").until()
        assert status(got) == 422 and b"idempotency_key_reused" in got and b"x-should-retry: false" in got
        other = post(chat("order", text="tea?"), Idempotency_Key="k1").replace(b"Bearer demo", b"Bearer other")
        assert status(RawClient(place, other).until()) == 200


def test_the_first_try_leaves_while_the_second_listens():
    with GatewaySite() as place:
        first = send(place, chat("order", tokens=40), Idempotency_Key="k1")
        first.until(lambda got: got.count(b"content") > 5)
        second = send(place, chat("order", tokens=40), Idempotency_Key="k1")
        second.until(lambda got: b"content" in got)
        first.left()
        assert len(words(second.until()).split()) == 40 and len(place.rows("ran")) == 1


@pytest.mark.parametrize("scope", ["ALL", "ZONE"])
def test_a_first_try_that_ended_in_doubt(scope):
    """The writer ran it and its answer was lost. Where all boxes drop repeats it may go to another one; where only a
    zone's do, nothing may be sent again and the retry is told so."""
    with GatewaySite(["read", "write", "write"], scope=scope) as place:
        for i in (1, 2):
            place.box(i).faults.reset_at = 300
        got = send(place, chat("order"), Idempotency_Key="k1").until()
        assert b'"error"' in got and b"[DONE]" not in got
        for i in (1, 2):
            place.box(i).faults.reset_at = 0
        again = send(place, chat("order"), Idempotency_Key="k1").until()
        if scope == "ALL":
            assert status(again) == 200 and len(words(again).split()) == 20
        else:
            assert status(again) == 502 and b"x-should-retry: false" in again
        assert len(place.rows("ran", key="0/1/k1")) == 1


# effect, what the writers do, scope -> how it must end: done, pushed back, aborted; and how often it may have run
CASES = [
    ("question", {"errors": 1.0}, "ALL", {503, 502}),
    ("question", {"lost": 1.0}, "ALL", {503, 502}),
    ("question", {"draining": True}, "ALL", {503}),
    ("question", {"garbage": "bytes"}, "ALL", {503, 502}),
    ("order", {"lost": 1.0}, "ALL", {503, 502}),
    ("order", {"lost": 1.0}, "ZONE", {502}),
    ("order", {"errors": 1.0}, "ZONE", {502}),
    ("order", {"draining": True}, "CELL", {503}),
    ("order", {"refuse": True}, "CELL", {502}),
    ("order", {"garbage": "json"}, "ZONE", {502}),
    ("pay", {"lost": 1.0}, "ALL", {502}),
    ("pay", {"errors": 1.0}, "ALL", {502}),
    ("pay", {"refuse": True}, "ALL", {502}),
    ("pay", {"draining": True}, "ALL", {503}),
    ("pay", {"garbage": "head"}, "ALL", {502}),
    ("pay", {"garbage": "line"}, "ALL", {502}),
]


@pytest.mark.parametrize("model,fault,scope,ends", CASES)
def test_every_kind_through_every_outcome(model, fault, scope, ends):
    with GatewaySite(["read", "write", "write", "write"], scope=scope, more="limits { event_bytes: 65536 }") as place:
        for i in (1, 2, 3):
            for name, value in fault.items():
                setattr(place.box(i).faults, name, value)
        got = send(place, chat(model), Idempotency_Key="k").until()
        assert status(got) in ends, got
        sure = "draining" in fault
        forwards = place.rows("arrive", stage="write")
        if model == "pay":
            assert len(forwards) == 1 or sure
            assert len(place.rows("ran")) <= 1
        if model == "order" and scope != "ALL" and not sure:
            zones = {place.fleet.boxes[r["box"]].spec.zone for r in forwards}
            assert len(zones) == 1  # only inside the group that drops its repeats
        if status(got) == 503:
            assert b"retry-after-ms: " in got
        else:
            assert b"x-should-retry: false" in got
        place.until(lambda: not place.core.reqs and not any(b.states for b in place.fleet.boxes.values()))


def test_no_box_can_be_reached():
    with GatewaySite() as place:
        for box in place.fleet.boxes.values():
            box.die()
        for model in ("question", "order", "pay"):  # nothing ran, so each is pushed back
            assert status(send(place, chat(model)).until()) == 503


def test_all_boxes_hang_and_each_req_is_answered_in_time():
    with GatewaySite() as place:
        for box in place.fleet.boxes.values():
            box.faults.hang = True
        start = place.loop.clock.now_us()
        raws = [send(place, chat(model), X_Request_Timeout_Ms=900) for model in ("question", "order", "pay")]
        assert {status(r.until()) for r in raws} <= {502, 503}
        assert place.loop.clock.now_us() - start < 900_000 and place.core.counts["backstop"] == 0


def test_a_reader_dies_while_it_holds_the_state():
    with GatewaySite(["read", "read", "write"], read_per_s=300.0) as place:
        raw = send(place, chat(text="x" * 200, tokens=10))
        place.until(lambda: place.rows("arrive"))
        place.fleet.boxes[place.rows("arrive")[0]["box"]].die()
        assert len(words(raw.until()).split()) == 10


def test_a_client_that_vanishes_without_an_end():
    with GatewaySite() as place:
        raw = send(place, chat("pay", tokens=400))
        raw.until(lambda got: b"content" in got)
        raw.left()
        place.until(lambda: place.rows("end", how="left"))
        place.until(lambda: not place.core.reqs)
        assert not any(b.running for b in place.fleet.boxes.values())
        early = send(place, chat(text="y" * 4000), X_Request_Timeout_Ms=3000)
        place.until(lambda: place.rows("arrive", stage="read"))
        early.left()
        place.until(lambda: not place.core.reqs and not any(b.states for b in place.fleet.boxes.values()))


def test_a_client_that_reads_one_byte_at_a_time_slows_its_box():
    more = "limits { answer_buffer_bytes: 4096 }"
    with GatewaySite(more=more, step_ms=0.2) as place:
        raw = RawClient(place, post(chat(tokens=3000, max_tokens=3000)), small=True)
        place.until(lambda: place.rows("first"))
        for _ in range(200):  # far fewer bytes than are written
            raw.read(1)
            place.turn_for(3)
        waiting = max(c.stream.unsent_bytes for c in place.gateway.server.connections)
        assert waiting < 4096 + 65536 * 2
        assert not place.rows("end", how="done")  # its box waits with it
        got = raw.until(most_s=30)
        assert len(words(got).split()) == 3000 and got.count(b"[DONE]") == 1


def test_half_a_body_and_silence():
    with GatewaySite(listen="body_ms: 300") as place:
        raw = RawClient(place, post(chat())[:-10])
        assert status(raw.until()) == 408 and not place.rows("arrive")
        raw = RawClient(place, post(chat())[:-10])
        place.turn_for(30)
        raw.left()
        assert status(send(place, chat()).until()) == 200


def test_box_words_on_the_call_reach_the_client():
    with GatewaySite() as place:
        place.box(0).chat = lambda exchange: exchange.json(400, {"error": {"message": "context too long"}})
        got = send(place, chat()).until()
        assert status(got) == 400 and b"context too long" in got


def test_a_draining_box_gets_nothing_and_comes_back_by_its_own_word():
    with GatewaySite(["read", "write", "write"]) as place:
        place.box(1).faults.draining = True
        for _ in range(12):
            assert b"[DONE]" in send(place, chat(tokens=2)).until()
        assert len(place.rows("end", how="refused")) <= 1
        told = place.core.membership.published
        assert sorted(r.mode for r in told.values()) in (["draining", "ready", "ready"], ["ready"] * 3)
        if place.rows("end", how="refused"):
            place.box(1).faults.draining = False
            place.until(lambda: place.core.membership.published[place.ids[1]].mode == "ready")


def test_open_reqs_are_bounded_and_what_is_over_is_told_when_to_come_back():
    with GatewaySite(more="limits { open_reqs: 2 }", step_ms=20.0) as place:
        first = [send(place, chat(tokens=30)) for _ in range(2)]
        place.until(lambda: place.core.open == 2)
        got = send(place, chat()).until()
        assert status(got) == 503 and b"retry-after-ms: 1000" in got
        assert all(b"[DONE]" in raw.until() for raw in first)


def test_draining_ends_what_runs_and_takes_no_more():
    with GatewaySite(step_ms=10.0) as place:
        raw = send(place, chat(tokens=20))
        idle = RawClient(place, post(chat(tokens=1), close=False))
        idle.until(lambda got: got.endswith(b"0\r\n\r\n"))
        raw.until(lambda got: b"content" in got)
        stopped = []
        place.gateway.loop.stop = lambda: stopped.append(True)
        place.gateway.drain()
        assert idle.until() and idle.ended
        with pytest.raises(ConnectionRefusedError):
            RawClient(place)
        assert b"[DONE]" in raw.until()
        place.until(lambda: stopped)


def test_draining_past_its_limit_gives_each_req_its_final_answer():
    with GatewaySite(step_ms=200.0) as place:
        place.gateway.settings.gateway.drain_limit_ms = 200
        begun = send(place, chat(tokens=200))
        begun.until(lambda got: b"content" in got)
        for i in (1, 2):
            place.box(i).faults.hang = True
        waits = send(place, chat(tokens=200))
        place.until(lambda: len(place.rows("arrive", stage="write")) == 2)
        stopped = []
        place.gateway.loop.stop = lambda: stopped.append(True)
        place.gateway.drain()
        got = begun.until()
        assert got.count(b'data: {"error"') == 1 and b"[DONE]" not in got
        assert status(waits.until()) == 502
        place.until(lambda: stopped)


def test_a_fault_in_the_decisions_leaves_nobody_without_an_answer():
    with GatewaySite() as place:

        def broken(*_):
            raise RuntimeError("on purpose")

        place.core.router.round = broken
        got = send(place, chat(), X_Request_Timeout_Ms=400).until()
        assert status(got) == 502 and place.core.counts["faults"] >= 1


def test_timers_that_the_module_sets_come_back_to_it():
    """They were once put on a list of events that had been handed over already, and shares never moved."""
    with GatewaySite() as place:
        send(place, chat(tokens=3)).until()
        before = place.core.router.refreshed_us
        place.until(lambda: place.core.router.refreshed_us > before)


def test_a_release_that_a_hung_box_did_not_hear_is_sent_again():
    with GatewaySite(["read", "write"], step_ms=50.0) as place:
        place.box(1).faults.hang = True
        raw = send(place, chat(), X_Request_Timeout_Ms=500)
        place.until(lambda: place.rows("arrive", stage="write"))
        place.box(0).faults.hang = True
        assert status(raw.until()) in (502, 503) and place.box(0).states
        place.until(lambda: len(place.rows("release")) == 3)
        place.box(0).faults.hang = False
        place.until(lambda: not place.box(0).states and not place.core.engine.releasing)


def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096


def test_two_thousand_idle_and_five_hundred_active_connections():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    try:
        with GatewaySite(
            ["read", "read", "write", "write", "write"], step_ms=40.0, slots=300, queue=300, read_queue=600, per_stream_ms=0.0
        ) as place:
            before = resident()
            idle = []
            for _ in range(2000):
                idle.append(RawClient(place))
                if len(idle) % 32 == 0:
                    place.loop.turn(0)
            place.until(lambda: len(place.gateway.server.connections) == 2000)
            per_idle = (resident() - before) / 2000
            before, active = resident(), []
            for i in range(500):
                active.append(send(place, chat(text=f"q{i}", tokens=60)))
                place.loop.turn(0)
            place.until(lambda: sum(r.read().count(b"content") > 4 for r in active) >= 400, 20)
            per_active = (resident() - before) / 500
            place.until(lambda: sum(r.ended or r.read() is None for r in active) == 500, 20)
            done = sum(b"[DONE]" in r.got for r in active)
            pushed = sum(r.got.startswith(b"HTTP/1.1 503") for r in active)
            assert done + pushed == 500 and done >= 400
            # Client, gateway and boxes are one process here, so these bound the gateway's part from above.
            assert per_idle < 16_000 and per_active < 120_000, (per_idle, per_active)
            idle[1234].sock.sendall(post(chat(tokens=2)))
            assert b"[DONE]" in idle[1234].until()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_state_that_its_writer_could_not_fetch_is_let_go_all_the_same():
    """The holder hung with the state, its writer said `no-state`, and nobody let go of it."""
    with GatewaySite(["read", "write"]) as place:
        give = place.box(0).give
        place.box(0).give = lambda exchange, name: None
        raw = send(place, chat("pay"))
        assert status(raw.until()) == 503
        place.until(lambda: place.rows("release") and not place.box(0).states)
        place.box(0).give = give
        assert status(send(place, chat("pay")).until()) == 200
