"""What outlives a gateway: judged from what boxes ran and clients got, over restarts and kills."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections import Counter

import orjson
import pytest
from gateway_site import GatewaySite, RawClient, chat, post, status, words

from lapiswing.admission import Repeats
from lapiswing.loop import free_ports
from lapiswing.state import records
from lapiswing.state.records import restore

S = 1_000_000


def again(place, folder):
    """Another life of the gateway, before the same boxes. The one before is gone as by a kill: nothing of it is closed tidily."""
    from lapiswing.gateway.serve import Gateway
    from lapiswing.observe import start_logs

    old = place.gateway
    old.listener.close()
    for stream in [c.stream for c in old.server.connections] + [c.stream for c in old.pool.all]:
        stream.abort()
    old.store.held.close()  # the kernel lets go of a dead process's lock
    old.store.mode = "closed"
    place.loop.after.remove(old.core.turn)
    old.settings.listen.port = free_ports(1)[0]
    place.gateway = Gateway(old.settings, start_logs("error"), place.loop)
    place.gateway.start()
    place.port, place.core = place.gateway.port, place.gateway.core


def with_store(folder, more="", **place):
    return GatewaySite(more=f'store {{ folder: "{folder}" {more} }}', **place)


def call(place, key="k1", model="order", text="one soup", most_s=8, **more):
    return RawClient(place, post(chat(model, text, **more), Idempotency_Key=key))


def test_an_answer_given_before_a_restart_is_given_again_and_nothing_runs_twice(tmp_path):
    with with_store(tmp_path / "s") as place:
        first = call(place).until()
        assert status(first) == 200
        place.until(lambda: not place.gateway.store.busy and not place.gateway.store.waiting)
        again(place, tmp_path)
        second = call(place).until()
        assert status(second) == 200 and words(second) == words(first)
        assert len(place.rows("ran")) == 1 and place.core.counts["replayed"] == 1
        assert status(call(place, text="other things").until()) == 422


def test_a_call_that_was_cut_off_by_the_kill_is_in_doubt(tmp_path):
    """Its forward is at a box; where not all boxes drop repeats it must not go out again."""
    with with_store(tmp_path / "s", scope="ZONE") as place:
        raw = call(place, tokens=3000)
        place.until(lambda: place.rows("ran"))
        raw.read()
        again(place, tmp_path)
        got = call(place, tokens=3000).until()
        assert status(got) == 502 and len(place.rows("ran")) == 1


def test_where_all_boxes_drop_repeats_it_is_tried_again_within_the_window_only(tmp_path):
    with with_store(tmp_path / "s") as place:
        first = call(place, tokens=3000)
        place.until(lambda: place.rows("ran"))
        key = place.rows("ran")[0]["key"]
        again(place, tmp_path)
        raw = call(place, tokens=3000)
        place.until(lambda: place.rows("repeat", key=key))
        entry = next(iter(place.core.repeats.entries.values()))
        assert entry.sent_us + 5 * S <= place.loop.clock.now_us() + 5 * S
        raw.left()
        first.sock.close()
        assert len(place.rows("ran")) == 1


def test_a_further_try_does_not_make_the_boxes_window_longer(tmp_path):
    """They drop repeats for a window from the first try on. Killed twice, the second try's time was taken for the first's, and a third
    try could run the effect again."""
    with with_store(tmp_path / "s") as place:
        raws = [call(place, tokens=3000)]
        place.until(lambda: place.rows("ran"))
        first = next(iter(place.core.repeats.entries.values())).sent_us
        for i in (1, 2):
            again(place, tmp_path)
            place.turn_for(120)
            raws.append(call(place, tokens=3000))
            place.until(lambda: len(place.rows("repeat")) == i)
            entry = next(iter(place.core.repeats.entries.values()))
            assert entry.sent_us <= first + 5000
        for raw in raws:
            raw.left()


def test_the_intent_is_on_the_disk_before_the_box_hears_of_the_call(tmp_path):
    with with_store(tmp_path / "s") as place:
        worker, jobs = place.gateway.store.worker, []
        real = worker.submit
        worker.submit = lambda job, done: jobs.append((job, done))  # a disk that takes its time
        raw = call(place)
        place.until(lambda: place.rows("state"))
        place.turn_for(100)
        assert not place.rows("arrive", stage="write") and jobs
        worker.submit = real
        for job in jobs:
            real(*job)
        assert status(raw.until()) == 200 and len(place.rows("ran")) == 1


def test_a_disk_that_stalls_holds_no_state_and_leaves_no_doubt(tmp_path):
    with with_store(tmp_path / "s") as place:
        worker, jobs = place.gateway.store.worker, []
        real = worker.submit
        worker.submit = lambda job, done: jobs.append((job, done))
        raw = call(place)
        place.until(lambda: place.rows("state"))
        assert status(raw.until()) in (429, 503)
        place.until(lambda: place.rows("let_go"))
        held = place.rows("let_go")[0]["t"] - place.rows("state")[0]["t"]
        assert held < 500_000 and not place.rows("arrive", stage="write")
        worker.submit = real
        for job in jobs:
            real(*job)
        place.until(lambda: not place.gateway.store.busy)
        assert status(call(place).until()) == 200 and len(place.rows("ran")) == 1  # it never ran, so it may now


@pytest.mark.parametrize("more,code,ran", [("", 503, 0), ("when_lost: GO_ON", 200, 1)])
def test_with_a_store_that_can_not_write_calls_with_a_key_go_as_the_settings_say(tmp_path, more, code, ran):
    with with_store(tmp_path / "s", more) as place:

        def fail(fd, at, data):
            raise OSError(5, "Input/output error")

        place.gateway.store.files.write = fail
        first = call(place, key="a").until()
        assert status(first) in ((503, 429) if code == 503 else (200,))
        assert status(call(place, key="b").until()) in ((503, 429) if code == 503 else (200,))
        assert place.gateway.store.mode == "failed"
        assert status(RawClient(place, post(chat("question"))).until()) == 200  # the others go on
        assert len(place.rows("ran", model="order")) == 2 * ran


def test_a_store_that_can_not_be_read_leaves_a_gateway_without_memory_not_without_service(tmp_path):
    with with_store(tmp_path / "s") as place:
        assert status(call(place).until()) == 200
        place.until(lambda: not place.gateway.store.busy)
        (tmp_path / "s" / "MANIFEST").write_bytes(b"damaged")
        again(place, tmp_path)
        assert place.gateway.store.mode == "failed" and "MANIFEST" in place.gateway.store.why
        assert status(call(place).until()) in (429, 503) and len(place.rows("ran")) == 1
        assert status(RawClient(place, post(chat("question"))).until()) == 200


def test_an_operators_drain_and_cap_outlive_a_restart(tmp_path):
    from lapiswing.admin.serve import Admin

    with with_store(tmp_path / "s") as place:
        admin = Admin(place.gateway, place.gateway.log)
        box, done = place.ids[1], []
        for act, ask, what in (("drain", {"what": box}, box), ("cap", {"rps": 0, "minutes": 5}, "demo")):
            do = admin.act_drain(ask, what) if act == "drain" else admin.act_cap(ask, what)
            admin.put_down(act, ask, what, lambda why, do=do: done.append((why, do())))
        place.until(lambda: len(done) == 2)
        assert [why for why, _ in done] == [None, None]
        again(place, tmp_path)
        assert place.core.membership.published[box].mode == "draining" and place.core.membership.reason_of(box) == "operator"
        assert status(RawClient(place, post(chat("question"))).until()) in (429, 503)
        raw = RawClient(place, post(chat("question")).replace(b"Bearer demo", b"Bearer other"))
        assert status(raw.until()) == 200 and not place.rows("arrive", box=box)


def test_records_that_are_over_or_unreadable_are_not_believed():
    repeats = Repeats(10, 1000)
    entry = repeats.look_up(0, "k", b"p", 5_000_000, "boxes")[1]
    running, ends = records.intent(entry, 1000, 1000)
    done, done_ends = records.outcome(entry, records.DONE, 1000, 2000, [b"{}"])
    doubt, doubt_ends = records.outcome(entry, records.DOUBT, 1000, 2000, None)
    rows = [
        (b"k/a", running, ends),
        (b"k/b", done, done_ends),
        (b"k/c", doubt, doubt_ends),
        (b"k/d", b"\xff", 0),
        (b"d/box", b"1", 0),
        (b"c/t", b"[", 0),
    ]
    found = restore(rows, 3000)
    assert [(k[0], k[1]) for k in found.keys] == [("a", records.DOUBT), ("b", records.DONE), ("c", records.DOUBT)]
    assert found.drains == ["box"] and found.unreadable == 2
    assert done_ends == 7000 and doubt_ends == 61_000 and ends > doubt_ends
    assert [k[0] for k in restore(rows, 7000).keys] == ["a", "c"] and restore(rows, 200_000).keys == []


# ---- the real thing: a process that is killed, again and again

SETTINGS = """
gateway {{ name: "killed" }} listen {{ port: {port} }} store {{ folder: "store" }}
group {{ name: "order" model: "order" effect: KEYED repeat_scope: {scope} repeat_window_ms: 1500 target_ms: 1000 deadline_ms: 5000 }}
tenant {{ name: "demo" api_key: "demo" }}
kind {{ name: "rd" role: READ memory_tokens: 200000 }} kind {{ name: "wr" role: WRITE memory_tokens: 200000 }}
log {{ level: "info" }}
{boxes}
"""


class Killed:
    """A gateway process before stand-ins of a process of their own, whose record tells what ran."""

    def __init__(self, folder, scope):
        self.folder = folder
        ports = free_ports(5)
        self.port, ids = ports[0], [f"127.0.0.1:{p}" for p in ports[1:]]
        roles = ["read", "write", "write", "write"]
        (folder / "fleet.json").write_bytes(
            orjson.dumps(
                {
                    "seed": 1,
                    "record": str(folder / "boxes.jsonl"),
                    "models": {"order": {"scope": scope.lower(), "window_ms": 1500}},
                    "boxes": [
                        {"id": i, "role": r, "zone": i, "cell": i, "step_ms": 4.0, "read_per_s": 100000.0}
                        for i, r in zip(ids, roles)
                    ],
                }
            )
        )
        (folder / "s.txtpb").write_text(
            SETTINGS.format(
                port=self.port,
                scope=scope,
                boxes="".join(
                    f'box {{ id: "{i}" kind: "{"rd" if r == "read" else "wr"}" zone: "{i}" cell: "{i}" }}\n'
                    for i, r in zip(ids, roles)
                ),
            )
        )
        self.fleet = subprocess.Popen(
            [sys.executable, "-m", "lapiswing", "standin", str(folder / "fleet.json")], stdout=subprocess.PIPE
        )
        self.fleet.stdout.readline()
        self.start()

    def start(self):
        with open(self.folder / "gateway.log", "ab") as log:
            self.gateway = subprocess.Popen(
                [sys.executable, "-m", "lapiswing", "serve", str(self.folder / "s.txtpb")], stderr=log
            )
        for _ in range(1500):
            try:
                socket.create_connection(("127.0.0.1", self.port), 1).close()
                return
            except OSError:
                time.sleep(0.01)
        raise AssertionError((self.folder / "gateway.log").read_text()[-2000:])

    def kill(self):
        self.gateway.send_signal(signal.SIGKILL)
        self.gateway.wait()

    def close(self):
        self.kill()
        self.fleet.terminate()
        self.fleet.stdout.close()
        self.fleet.wait()

    def rows(self, ev):
        return [r for r in map(json.loads, (self.folder / "boxes.jsonl").read_text().splitlines()) if r["ev"] == ev]


def ask(port, key, text):
    """One try of a client. -> its status, or None where the connection broke."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=8)
    try:
        connection.request(
            "POST",
            "/v1/chat/completions",
            json.dumps({"model": "order", "messages": [{"role": "user", "content": text}], "metadata": {"answer_tokens": "6"}}),
            {"authorization": "Bearer demo", "content-type": "application/json", "idempotency-key": key},
        )
        answer = connection.getresponse()
        body = json.loads(answer.read())
        return answer.status, answer.headers, body
    except (OSError, http.client.HTTPException, ValueError):
        return None, {}, None
    finally:
        connection.close()


KILLS = int(os.environ.get("LAPISWING_KILLS", "12"))


@pytest.mark.parametrize("scope", ["ALL", "CELL"])
def test_killed_at_random_moments_while_keyed_clients_retry(tmp_path, scope):
    """Effects are counted at the boxes: none twice, and what a client was told is done has run."""
    import threading

    site, rng = Killed(tmp_path, scope), random.Random(scope)
    told, over = {}, threading.Event()

    def client(n):
        mine = random.Random(f"{scope}/{n}")
        i = 0
        while not over.is_set():
            key, i = f"key-{n}-{i}", i + 1
            for _ in range(40):
                code, headers, body = ask(site.port, key, f"order {key}")
                if code == 200:
                    told[key] = body["choices"][0]["message"]["content"]
                    break
                if code is not None and headers.get("x-should-retry") == "false":
                    break  # in doubt: it must not be asked again
                time.sleep(0.02 + mine.random() * 0.1)

    clients = [threading.Thread(target=client, args=(n,)) for n in range(6)]
    try:
        for thread in clients:
            thread.start()
        for _ in range(KILLS // 2):
            time.sleep(0.15 + rng.random() * 0.35)
            site.kill()
            site.start()
        time.sleep(0.5)
        over.set()
        for thread in clients:
            thread.join()
        ran = Counter(r["key"] for r in site.rows("ran"))
        assert len(told) > 20 and max(ran.values()) == 1, [k for k, n in ran.items() if n > 1][:3]
        assert set(k.split("/")[-1] for k in ran) >= set(told) or all(any(t in k for k in ran) for t in told)
    finally:
        over.set()
        site.close()


def test_figures_outlive_a_restart_and_a_bad_record_means_a_fresh_start(tmp_path):
    """What the decisions learnt is put down and taken up again; damaged, outdated or senseless ones never stop a start."""
    with with_store(tmp_path / "s") as place:
        for text in ("one", "two", "three"):
            assert status(call(place, key=text, text=text).until()) == 200
        before = place.core.router.learned_state()
        assert before["groups"][1][1] > 0 and any(row[4] for row in before["boxes"]) and before["kinds"][0][2] > 0
        place.gateway.save_learned_state()
        place.until(lambda: not place.gateway.store.busy and not place.gateway.store.waiting)
        again(place, tmp_path)
        router = place.core.router
        reader = place.specs[0].id
        assert router.kind_cost[0] == before["kinds"][0][2:4] and router.answer_us[1] == before["groups"][1][1]
        assert router.servers[reader].read_tokens == next(r[4] for r in before["boxes"] if r[0] == reader)
        assert status(call(place, key="four", text="four").until()) == 200
        for value in (
            b"\xc1",
            records.msgspec.msgpack.encode([9, 0, {}]),
            records.learnt({"kinds": [["rd", 1]]}, 0),
            records.learnt({"groups": [], "kinds": [["rd", "read", -1.0, 1.0, 1.0]], "boxes": []}, place.core.memory.unix_ms()),
        ):
            place.gateway.store.put([(records.LEARNT, value, 0)], lambda why: None)
            place.until(lambda: not place.gateway.store.busy and not place.gateway.store.waiting)
            again(place, tmp_path)
            assert place.core.router.kind_cost[0] == [0.0, 0.0]
            assert status(call(place, key=value.hex()[:9] + "x", text="five").until()) == 200
