"""End-to-end tests over sockets with a client, the gateway and stand-in servers."""

import resource

import pytest
from gateway_site import GatewaySite, RawClient, chat, post, status, words


def send(site, body, **headers):
    return RawClient(site, post(body, **headers))


def whole_answer(site, **fields):
    """Returns the text of the answer to the same call without any fault."""
    return words(send(site, chat(lab="ref", **fields)).until())


def test_read_on_one_server_and_written_on_another():
    with GatewaySite() as site:
        got = send(site, chat()).until()
        assert status(got) == 200 and got.count(b"data: [DONE]") == 1 and len(words(got).split()) == 20
        assert [row["stage"] for row in site.rows("arrive")] == ["read", "write"]
        assert [row["how"] for row in site.rows("let_go")] == ["taken"]


def test_a_mixed_server_reads_and_writes_in_one_attempt():
    with GatewaySite(["both", "both"]) as site:
        assert b"[DONE]" in send(site, chat()).until()
        assert [row["stage"] for row in site.rows("arrive")] == ["direct"]


@pytest.mark.parametrize("named", [False, True])
def test_reported_memory_reaches_the_router_if_the_settings_name_it(named):
    """By default the router gets no memory report. The settings can also state that servers
    continue cancelled attempts."""
    more = 'mapping { load_memory: "x0" } limits { keep_forwards: true }' if named else ""
    with GatewaySite(more=more) as site:
        assert status(send(site, chat(tokens=5)).until()) == 200
        reported = [server.id for server in site.core.router.servers.values() if server.memory_reported_us > 0]
        assert bool(reported) == named and site.core.router.may_cancel != named


def test_whole_answers_and_usage():
    with GatewaySite() as site:
        got = send(site, chat(stream=False, tokens=5)).until()
        assert status(got) == 200 and b'"object":"chat.completion"' in got and b'"completion_tokens":5' in got
        assert b"usage" not in send(site, chat(tokens=3)).until()
        asked = send(site, chat(tokens=3, stream_options={"include_usage": True})).until()
        assert asked.count(b'"completion_tokens":3') == 1
        assert len(words(send(site, chat(tokens=30, max_completion_tokens=4)).until()).split()) == 4


def test_stream_is_resumed_after_its_writer_dies():
    with GatewaySite() as site:
        want = whole_answer(site, tokens=60)
        raw = send(site, chat(tokens=60))
        raw.until(lambda got: got.count(b"content") > 12)
        writer = next(server for server in site.fleet.boxes.values() if server.running)
        writer.die()
        got = raw.until()
        assert words(got) == want and got.count(b"[DONE]") == 1 and b'"error"' not in got
        ids = {line.split(b'"')[3] for line in got.split(b"\n") if line.startswith(b'data: {"id"')}
        assert len(ids) == 1 and got.count(b'"finish_reason":"stop"') == 1


def test_stream_fails_after_its_writer_dies_if_resuming_is_off():
    with GatewaySite(resume="false") as site:
        raw = send(site, chat(tokens=60))
        raw.until(lambda got: got.count(b"content") > 12)
        next(server for server in site.fleet.boxes.values() if server.running).die()
        got = raw.until()
        assert got.count(b'data: {"error"') == 1 and b"[DONE]" not in got


def test_stream_that_breaks_repeatedly_ends_once():
    with GatewaySite(["read", "write", "write", "write"], more="limits { resumes: 2 }") as site:
        for i in (1, 2, 3):
            site.box(i).faults.reset_at = 600
        got = send(site, chat(tokens=80)).until()
        assert got.count(b'data: {"error"') == 1 and b"[DONE]" not in got
        assert whole_answer(site, tokens=2)  # the gateway still serves


def test_hanging_stream_is_resumed_elsewhere():
    with GatewaySite() as site:
        for group in site.core.class_settings:
            group.stream_idle_ms = 300
        want = whole_answer(site, tokens=40)
        raw = send(site, chat(tokens=40))
        raw.until(lambda got: got.count(b"content") > 5)
        next(server for server in site.fleet.boxes.values() if server.running).faults.stall = True
        assert words(raw.until()) == want


def test_keyed_retry_joins_the_open_request():
    with GatewaySite() as site:
        first = send(site, chat("order", tokens=40), Idempotency_Key="k1")
        first.until(lambda got: got.count(b"content") > 5)
        second = send(site, chat("order", tokens=40, stream=False), Idempotency_Key="k1")
        third = send(site, chat("order", tokens=40), Idempotency_Key="k1")
        texts = [words(first.until()), words(third.until())]
        assert texts[0] == texts[1] and len(texts[0].split()) == 40 and texts[0].encode() in second.until()
        after = send(site, chat("order", tokens=40), Idempotency_Key="k1").until()
        assert words(after) == texts[0] and after.count(b"[DONE]") == 1
        assert len(site.rows("ran")) == 1 and len(site.rows("arrive")) == 2


def test_a_key_with_another_body_and_a_key_of_another_tenant():
    with GatewaySite() as site:
        send(site, chat("order"), Idempotency_Key="k1").until()
        got = send(site, chat("order", text="tea?"), Idempotency_Key="k1").until()
        assert status(got) == 422 and b"idempotency_key_reused" in got and b"x-should-retry: false" in got
        other = post(chat("order", text="tea?"), Idempotency_Key="k1").replace(b"Bearer demo", b"Bearer other")
        assert status(RawClient(site, other).until()) == 200


def test_first_client_leaves_while_the_second_still_listens():
    with GatewaySite() as site:
        first = send(site, chat("order", tokens=40), Idempotency_Key="k1")
        first.until(lambda got: got.count(b"content") > 5)
        second = send(site, chat("order", tokens=40), Idempotency_Key="k1")
        second.until(lambda got: b"content" in got)
        first.left()
        assert len(words(second.until()).split()) == 40 and len(site.rows("ran")) == 1


@pytest.mark.parametrize("scope", ["ALL", "ZONE"])
def test_retry_after_a_first_call_with_unknown_effect(scope):
    """The writer ran the call and its response was lost. If all servers drop repeats, the retry may go to another server. If
    only those of one zone do, nothing may be sent again, and the retry fails."""
    with GatewaySite(["read", "write", "write"], scope=scope) as site:
        for i in (1, 2):
            site.box(i).faults.reset_at = 300
        got = send(site, chat("order"), Idempotency_Key="k1").until()
        assert b'"error"' in got and b"[DONE]" not in got
        for i in (1, 2):
            site.box(i).faults.reset_at = 0
        again = send(site, chat("order"), Idempotency_Key="k1").until()
        if scope == "ALL":
            assert status(again) == 200 and len(words(again).split()) == 20
        else:
            assert status(again) == 502 and b"x-should-retry: false" in again
        assert len(site.rows("ran", key="0/1/k1")) == 1


# model, faults of the writers, repeat scope, allowed statuses (503: rejected, 502: failed)
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
def test_every_request_class_through_every_outcome(model, fault, scope, ends):
    with GatewaySite(["read", "write", "write", "write"], scope=scope, more="limits { event_bytes: 65536 }") as site:
        for i in (1, 2, 3):
            for name, value in fault.items():
                setattr(site.box(i).faults, name, value)
        got = send(site, chat(model), Idempotency_Key="k").until()
        assert status(got) in ends, got
        never_ran = "draining" in fault
        attempts = site.rows("arrive", stage="write")
        if model == "pay":
            assert len(attempts) == 1 or never_ran
            assert len(site.rows("ran")) <= 1
        if model == "order" and scope != "ALL" and not never_ran:
            zones = {site.fleet.boxes[row["box"]].spec.zone for row in attempts}
            assert len(zones) == 1  # only within the scope whose servers drop its repeats
        if status(got) == 503:
            assert b"retry-after-ms: " in got
        else:
            assert b"x-should-retry: false" in got
        site.until(lambda: not site.core.reqs and not any(server.states for server in site.fleet.boxes.values()))


def test_no_server_can_be_reached():
    with GatewaySite() as site:
        for server in site.fleet.boxes.values():
            server.die()
        for model in ("question", "order", "pay"):  # nothing ran, so each is rejected
            assert status(send(site, chat(model)).until()) == 503


def test_requests_are_answered_in_time_while_all_servers_hang():
    with GatewaySite() as site:
        for server in site.fleet.boxes.values():
            server.faults.hang = True
        start = site.loop.clock.now_us()
        raws = [send(site, chat(model), X_Request_Timeout_Ms=900) for model in ("question", "order", "pay")]
        assert {status(raw.until()) for raw in raws} <= {502, 503}
        assert site.loop.clock.now_us() - start < 900_000 and site.core.counts["backstop"] == 0


def test_a_reader_dies_while_it_holds_the_state():
    with GatewaySite(["read", "read", "write"], read_per_s=300.0) as site:
        raw = send(site, chat(text="x" * 200, tokens=10))
        site.until(lambda: site.rows("arrive"))
        site.fleet.boxes[site.rows("arrive")[0]["box"]].die()
        assert len(words(raw.until()).split()) == 10


def test_client_that_resets_its_connection():
    with GatewaySite() as site:
        raw = send(site, chat("pay", tokens=400))
        raw.until(lambda got: b"content" in got)
        raw.left()
        site.until(lambda: site.rows("end", how="left"))
        site.until(lambda: not site.core.reqs)
        assert not any(server.running for server in site.fleet.boxes.values())
        early = send(site, chat(text="y" * 4000), X_Request_Timeout_Ms=3000)
        site.until(lambda: site.rows("arrive", stage="read"))
        early.left()
        site.until(lambda: not site.core.reqs and not any(server.states for server in site.fleet.boxes.values()))


def test_slow_client_slows_its_server():
    more = "limits { answer_buffer_bytes: 4096 }"
    with GatewaySite(more=more, step_ms=0.2) as site:
        raw = RawClient(site, post(chat(tokens=3000, max_tokens=3000)), small=True)
        site.until(lambda: site.rows("first"))
        for _ in range(200):  # far fewer bytes than the server writes
            raw.read(1)
            site.turn_for(3)
        waiting = max(conn.stream.unsent_bytes for conn in site.gateway.server.connections)
        assert waiting < 4096 + 65536 * 2
        assert not site.rows("end", how="done")  # the server is paused with it
        got = raw.until(most_s=30)
        assert len(words(got).split()) == 3000 and got.count(b"[DONE]") == 1


def test_incomplete_body_times_out():
    with GatewaySite(listen="body_ms: 300") as site:
        raw = RawClient(site, post(chat())[:-10])
        assert status(raw.until()) == 408 and not site.rows("arrive")
        raw = RawClient(site, post(chat())[:-10])
        site.turn_for(30)
        raw.left()
        assert status(send(site, chat()).until()) == 200


def test_client_error_of_a_server_reaches_the_client():
    with GatewaySite() as site:
        site.box(0).chat = lambda exchange: exchange.json(400, {"error": {"message": "context too long"}})
        got = send(site, chat()).until()
        assert status(got) == 400 and b"context too long" in got


def test_draining_server_gets_nothing_until_it_reports_ready():
    with GatewaySite(["read", "write", "write"]) as site:
        site.box(1).faults.draining = True
        for _ in range(12):
            assert b"[DONE]" in send(site, chat(tokens=2)).until()
        assert len(site.rows("end", how="refused")) <= 1
        listed = site.core.membership.published
        assert sorted(row.mode for row in listed.values()) in (["draining", "ready", "ready"], ["ready"] * 3)
        if site.rows("end", how="refused"):
            site.box(1).faults.draining = False
            site.until(lambda: site.core.membership.published[site.ids[1]].mode == "ready")


def test_open_requests_are_bounded_and_further_ones_rejected():
    with GatewaySite(more="limits { open_reqs: 2 }", step_ms=20.0) as site:
        first = [send(site, chat(tokens=30)) for _ in range(2)]
        site.until(lambda: site.core.open == 2)
        got = send(site, chat()).until()
        assert status(got) == 503 and b"retry-after-ms: 1000" in got
        assert all(b"[DONE]" in raw.until() for raw in first)


def test_draining_finishes_open_requests_and_takes_no_more():
    with GatewaySite(step_ms=10.0) as site:
        raw = send(site, chat(tokens=20))
        idle = RawClient(site, post(chat(tokens=1), close=False))
        idle.until(lambda got: got.endswith(b"0\r\n\r\n"))
        raw.until(lambda got: b"content" in got)
        stopped = []
        site.gateway.loop.stop = lambda: stopped.append(True)
        site.gateway.drain()
        assert idle.until() and idle.ended
        with pytest.raises(ConnectionRefusedError):
            RawClient(site)
        assert b"[DONE]" in raw.until()
        site.until(lambda: stopped)


def test_draining_past_its_limit_gives_each_req_its_final_answer():
    with GatewaySite(step_ms=200.0) as site:
        site.gateway.settings.gateway.drain_limit_ms = 200
        begun = send(site, chat(tokens=200))
        begun.until(lambda got: b"content" in got)
        for i in (1, 2):
            site.box(i).faults.hang = True
        waits = send(site, chat(tokens=200))
        site.until(lambda: len(site.rows("arrive", stage="write")) == 2)
        stopped = []
        site.gateway.loop.stop = lambda: stopped.append(True)
        site.gateway.drain()
        got = begun.until()
        assert got.count(b'data: {"error"') == 1 and b"[DONE]" not in got
        assert status(waits.until()) == 502
        site.until(lambda: stopped)


def test_fault_in_the_router_leaves_no_client_unanswered():
    with GatewaySite() as site:

        def broken(*_):
            raise RuntimeError("on purpose")

        site.core.router.round = broken
        got = send(site, chat(), X_Request_Timeout_Ms=400).until()
        assert status(got) == 502 and site.core.counts["faults"] >= 1


def test_timers_of_the_router_fire():
    """Guards against timer events that are appended to a list already handed to the router: shares then never changed."""
    with GatewaySite() as site:
        send(site, chat(tokens=3)).until()
        before = site.core.router.refreshed_us
        site.until(lambda: site.core.router.refreshed_us > before)


def test_release_without_response_is_sent_again():
    with GatewaySite(["read", "write"], step_ms=50.0) as site:
        site.box(1).faults.hang = True
        raw = send(site, chat(), X_Request_Timeout_Ms=500)
        site.until(lambda: site.rows("arrive", stage="write"))
        site.box(0).faults.hang = True
        assert status(raw.until()) in (502, 503) and site.box(0).states
        site.until(lambda: len(site.rows("release")) == 3)
        site.box(0).faults.hang = False
        site.until(lambda: not site.box(0).states and not site.core.engine.releasing)


def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096


def test_two_thousand_idle_and_five_hundred_active_connections():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    try:
        with GatewaySite(
            ["read", "read", "write", "write", "write"], step_ms=40.0, slots=300, queue=300, read_queue=600, per_stream_ms=0.0
        ) as site:
            before = resident_bytes()
            idle = []
            for _ in range(2000):
                idle.append(RawClient(site))
                if len(idle) % 32 == 0:
                    site.loop.turn(0)
            site.until(lambda: len(site.gateway.server.connections) == 2000)
            per_idle = (resident_bytes() - before) / 2000
            before, active = resident_bytes(), []
            for i in range(500):
                active.append(send(site, chat(text=f"q{i}", tokens=60)))
                site.loop.turn(0)
            site.until(lambda: sum(raw.read().count(b"content") > 4 for raw in active) >= 400, 20)
            per_active = (resident_bytes() - before) / 500
            site.until(lambda: sum(raw.ended or raw.read() is None for raw in active) == 500, 20)
            done = sum(b"[DONE]" in raw.got for raw in active)
            rejected_count = sum(raw.got.startswith(b"HTTP/1.1 503") for raw in active)
            assert done + rejected_count == 500 and done >= 400
            # Clients, gateway and servers share this process, so these are upper bounds for the gateway.
            assert per_idle < 16_000 and per_active < 120_000, (per_idle, per_active)
            idle[1234].sock.sendall(post(chat(tokens=2)))
            assert b"[DONE]" in idle[1234].until()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_state_that_the_writer_could_not_fetch_is_released():
    """Guards against a leak: the reader hangs with the state, its writer responds `no-state`, and nothing releases it."""
    with GatewaySite(["read", "write"]) as site:
        give = site.box(0).give
        site.box(0).give = lambda exchange, name: None
        raw = send(site, chat("pay"))
        assert status(raw.until()) == 503
        site.until(lambda: site.rows("release") and not site.box(0).states)
        site.box(0).give = give
        assert status(send(site, chat("pay")).until()) == 200
