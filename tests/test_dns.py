"""Questions and answers on loopback: a name server that is silent, lies, drips, truncates, and boxes found by its records."""

import random
import threading

import dns.message
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from gateway_site import GatewaySite, RawClient, chat, post, status

from lapiswing.dns.browse import Browser, Refused, box_of, words_of
from lapiswing.dns.cache import Cache
from lapiswing.dns.codec import BadAnswer, question, read
from lapiswing.dns.resolver import Resolver
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.membership.discover import Discovery
from lapiswing.standin.nameserver import NameServer

S = 1_000_000
SERVICE = "_llm-box._tcp.site.example."


class Net:
    def __init__(self, servers=1):
        self.loop = Loop(Clock())
        self.servers = [NameServer(self.loop) for _ in range(servers)]
        self.resolver = Resolver(self.loop, [s.address for s in self.servers], random.Random(1))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.resolver.close()
        for server in self.servers:
            server.close()
        self.loop.close()

    def ask(self, name="x.example.", kind="A", most_s=12):
        out = []
        self.resolver.ask(name, kind, lambda answer, why: out.append((answer, why)))
        assert self.loop.run_until(lambda: out, most_s * S)
        return out[0]


def test_an_answer_and_its_lifetime():
    with Net() as net:
        net.servers[0].put("x.example.", "A", "10.0.0.1", "10.0.0.2", ttl=7)
        answer, why = net.ask()
        assert (answer.records, answer.ttl, why) == (["10.0.0.1", "10.0.0.2"], 7, None)
        answer, _ = net.ask("none.example.")
        assert answer.rcode == "NXDOMAIN" and answer.records == []


def test_aliases_are_followed_within_bounds():
    with Net() as net:
        server = net.servers[0]
        server.put("x.example.", "CNAME", "y.example.", ttl=3)
        server.put("y.example.", "CNAME", "z.example.")
        server.put("z.example.", "A", "10.0.0.9")
        assert net.ask()[0].records == ["10.0.0.9"] and net.ask()[0].ttl == 3
        server.put("z.example.", "A")
        server.put("z.example.", "CNAME", "x.example.")  # round and round
        assert net.ask()[0].records == []


@pytest.mark.parametrize(
    "garbage,counted", [("bytes", "garbage"), ("id", "id"), ("question", "question"), ("sender", "sender"), ("loop", "garbage")]
)
def test_what_is_no_answer_is_dropped_and_counted_and_another_server_asked(garbage, counted):
    with Net(2) as net:
        for server in net.servers:
            server.put("x.example.", "A", "10.0.0.1")
        net.servers[0].garbage = garbage
        answer, _ = net.ask()
        assert answer.records == ["10.0.0.1"]
        dropped = {k: v for k, v in net.resolver.counts.items() if k.startswith("dropped") and v}
        assert dropped.get(f"dropped: {counted}") or garbage in ("bytes", "loop") and dropped


@pytest.mark.parametrize("fault", ["silent", "rcode"])
def test_a_bad_server_is_left_for_a_good_one_and_stays_aside(fault):
    with Net(2) as net:
        net.servers[1].put("x.example.", "A", "10.0.0.1")
        setattr(net.servers[0], fault, True if fault == "silent" else "SERVFAIL")
        for _ in range(4):
            assert net.ask()[0].records == ["10.0.0.1"]
        assert len(net.servers[0].asked) <= 1 and net.resolver.servers[0].fails == 1


def test_no_server_at_all_ends_in_a_reason():
    with Net(2) as net:
        for server in net.servers:
            server.silent = True
        answer, why = net.ask()
        assert answer is None and why == "no server answers" and net.resolver.counts["timed out"] == 3


def test_truncation_goes_on_over_tcp_and_faults_there_are_borne():
    with Net(2) as net:
        for server in net.servers:
            server.put("x.example.", "A", *[f"10.0.{i // 250}.{i % 250}" for i in range(2000)])
        assert len(net.ask()[0].records) == 2000 and net.servers[0].over_tcp == 1
        net.servers[0].cut_tcp = True
        assert len(net.ask()[0].records) == 2000
        net.servers[0].cut_tcp, net.servers[0].drip_ms = False, 5
        net.resolver.servers[0].good()
        assert len(net.ask()[0].records) == 2000 and net.servers[1].over_tcp >= 1


def test_many_questions_at_once_are_all_answered():
    with Net() as net:
        for i in range(300):
            net.servers[0].put(f"x{i}.example.", "A", "10.0.0.1")
        out = []
        for i in range(300):
            net.resolver.ask(f"x{i}.example.", "A", lambda answer, why: out.append(answer.records))
        assert net.loop.run_until(lambda: len(out) == 300, 10 * S) and not net.resolver.running


@pytest.mark.parametrize("name", ["", "a" * 70 + ".example.", "a..b."])
def test_names_that_are_none(name):
    with pytest.raises(ValueError):
        question(name, "A", 1) if name else question("a..b.", "A", 1)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=6))
def test_no_bytes_whatever_do_more_than_be_refused(noise, flips):
    query = dns.message.from_wire(question("x.example.", "SRV", 77))
    reply = dns.message.make_response(query)
    reply.answer.append(dns.rrset.from_text("x.example.", 5, "IN", "SRV", "0 0 80 y.example."))
    good = bytearray(reply.to_wire())
    for at, value in flips:
        good[at % len(good)] = value
    for data in (noise, bytes(good), bytes(good[: len(noise)]), b"\0M" + noise):
        try:
            answer = read(data, 77, "x.example.", "SRV")
            assert all(len(r) == 4 for r in answer.records)
        except BadAnswer:
            pass


# ---- lifetimes


def test_lifetimes_have_a_floor_and_a_ceiling_and_the_last_view_stands_for_a_stated_time():
    cache = Cache(floor_s=2, ceiling_s=100, negative_s=5, stale_s=3600)
    cache.put("a.", "A", ["1"], 0, 0)
    assert cache.get("a.", "A", S) == (["1"], "fresh") and cache.get("a.", "A", 1_700_000)[1] == "due"
    cache.put("a.", "A", ["1"], 10**9, 0)
    assert cache.get("a.", "A", 79 * S)[1] == "fresh" and cache.get("a.", "A", 80 * S)[1] == "due"
    assert cache.get("a.", "A", 101 * S) == (["1"], "stale") and cache.get("a.", "A", 3700 * S) == (None, "none")
    cache.put("b.", "A", [], 10**9, 0)
    assert cache.get("b.", "A", 3 * S) == ([], "fresh") and cache.get("b.", "A", 6 * S)[1] == "stale"
    small = Cache(most=2)
    assert small.put("a.", "A", [], 1, 0) and small.put("b.", "A", [], 1, 0) and not small.put("c.", "A", [], 1, 0)


# ---- browsing


class Site(Net):
    """Boxes announced by records, and a view of them."""

    def __init__(self, servers=1, sd=True, name=SERVICE, **defaults):
        super().__init__(servers)
        self.told, self.browser = [], Browser(name, Cache(floor_s=1), sd, defaults)
        self.discovery = Discovery(
            self.loop,
            self.resolver,
            {"sd": self.browser},
            lambda found: found,
            lambda source, rows: self.told.append(rows),
            lambda: None,
            Log(),
        )

    def __exit__(self, *_):
        self.discovery.close()
        super().__exit__()

    def until(self, done, most_s=10):
        assert self.loop.run_until(lambda: self.told and done(self.told[-1]), most_s * S), self.told[-1:]

    def announce(self, n, port=9000, **words):
        for server in self.servers:
            server.box(SERVICE, f"box{n}", f"h{n}.site.example.", f"10.0.0.{n}", port, ttl=1, **{"role": "read"} | words)


class Log:
    def info(self, *_, **__):
        pass

    warning = info


def test_boxes_are_found_with_their_words_and_leave_with_their_records():
    with Site() as site:
        site.announce(1, zone="a", cell="a1", size=2.5, gen=1700000000000)
        site.announce(2, role="write", drain=1)
        site.until(lambda rows: len(rows) == 2)
        one, two = site.told[-1]
        assert one[:1] == ("10.0.0.1:9000",) and one[2:] == ("read", None, "a", "a1", 2.5, 1700000000000, False)
        assert two.role == "write" and two.draining
        assert site.told[0] == site.told[-1]  # the first sight is told whole
        site.servers[0].withdraw(SERVICE, "box1")
        site.until(lambda rows: [r.id for r in rows] == ["10.0.0.2:9000"])


def test_srv_without_dns_sd():
    with Site(sd=False, name="_llm._tcp.site.example.", role="write") as site:
        server = site.servers[0]
        server.put("_llm._tcp.site.example.", "SRV", "0 0 9001 h1.site.example.", "0 0 9002 h2.site.example.", ttl=1)
        server.put("h1.site.example.", "A", "10.0.0.1", ttl=1)
        server.put("h2.site.example.", "AAAA", "fd00::2", ttl=1)
        site.until(lambda rows: len(rows) == 2)
        assert [r.id for r in site.told[-1]] == ["10.0.0.1:9001", "[fd00::2]:9002"] and site.told[-1][0].role == "write"


def test_while_no_server_answers_the_last_view_stands_and_is_told_as_stale():
    with Site(2) as site:
        site.announce(1)
        site.until(lambda rows: len(rows) == 1)
        for server in site.servers:
            server.silent = True
        assert site.loop.run_until(lambda: site.discovery.states["sd"] == "stale", 10 * S)
        assert site.loop.run_until(lambda: site.discovery.rows()["sources"][0]["problem"], 10 * S)
        assert len(site.told[-1]) == 1
        for server in site.servers:
            server.silent = False
            server.withdraw(SERVICE, "box1")
        site.announce(2)
        assert site.loop.run_until(lambda: site.discovery.states["sd"] == "good", 40 * S)
        site.until(lambda rows: [r.id for r in rows] == ["10.0.0.2:9000"], 10)


def test_an_hour_of_silence_in_simulated_time():
    cache, now = Cache(floor_s=1, stale_s=3600), 0
    browser = Browser("_a._tcp.x.", cache, sd=False)

    class A:
        rcode, ttl, more = "NOERROR", 5, {("h.x.", "A"): (["10.0.0.1"], 5)}
        records = [(0, 0, 9000, "h.x.")]

    for name, kind in browser.wants(now):
        browser.told(name, kind, A, now)
    assert [b.id for b in browser.view(now).boxes] == ["10.0.0.1:9000"]
    asked = 0
    while now < 3500 * S:
        now += S
        for name, kind in browser.wants(now):
            asked += 1
            browser.told(name, kind, None, now, "no server answers")
        assert [b.id for b in browser.view(now).boxes] == ["10.0.0.1:9000"]
    assert browser.view(now).state == "stale" and asked < 4000
    assert browser.view(3700 * S) == ([], "none", [])


def test_two_names_for_one_box_and_two_boxes_behind_one_name():
    with Site() as site:
        site.announce(1)
        server = site.servers[0]
        server.box(SERVICE, "alias", "h1.site.example.", "10.0.0.1", 9000, ttl=1, role="write", drain=1)
        site.announce(3, port=9001)
        server.put("box3." + SERVICE, "SRV", "0 0 9001 h3.site.example.", "0 0 9002 h3.site.example.", ttl=1)
        site.until(lambda rows: len(rows) == 2)
        one = site.told[-1][0]
        assert one.id == "10.0.0.1:9000" and one.draining  # a drain under either name counts
        assert any("another name" in why for why in site.discovery.refused.values())


HOSTILE = [
    ({"role": "king"}, "role"),
    ({"zone": "a\x1b[2J"}, "zone"),
    ({"cell": "x" * 65}, "cell"),
    ({"size": "-1"}, "size"),
    ({"size": "nan"}, "size"),
    ({"gen": "soon"}, "gen"),
    ({"gen": "9" * 30}, "gen"),
    ({"kind": "\u202ex"}, "kind"),
]


@pytest.mark.parametrize("words,key", HOSTILE)
def test_words_of_a_hostile_box_are_refused_with_a_reason(words, key):
    with pytest.raises(Refused, match=key):
        box_of("i", "10.0.0.1", 9, [f"{k}={v}".encode() for k, v in words.items()], {})


def test_txt_words():
    assert words_of((b"Role=read", b"role=write", b"flag", b"=x", b"\xff=1", b"a=b=c")) == {
        "role": b"read",
        "flag": b"",
        "a": b"b=c",
    }
    with pytest.raises(Refused):
        box_of("i", "10.0.0.1", 0, [], {})


# ---- the gateway finds its boxes by records alone


def test_a_gateway_without_a_list_serves_from_what_records_name_and_stops_when_they_drain():
    loop = Loop(Clock())
    server = NameServer(loop)
    ports = free_ports(3)
    for i, (port, role) in enumerate(zip(ports, ("read", "write", "write"))):
        server.box(SERVICE, f"b{i}", "h.site.example.", "127.0.0.1", port, ttl=1, role=role, zone=f"z{i}")
    with GatewaySite(
        loop=loop,
        more=f'dns {{ server: "127.0.0.1:{server.address[1]}" service: "{SERVICE}" gone_ms: 500 }}',
        listed=False,
        ports=ports,
    ) as place:
        place.until(lambda: len(place.core.membership.published) == 3)
        for i in range(6):
            assert status(RawClient(place, post(chat(text=f"q{i}"))).until()) == 200
        writer = place.ids[1]
        server.put("b1." + SERVICE, "TXT", '"role=write" "drain=1"', ttl=1)
        place.until(lambda: place.core.membership.published[writer].mode == "draining")
        before = len(place.rows("arrive", box=writer))
        for i in range(6):
            assert status(RawClient(place, post(chat(text=f"r{i}"))).until()) == 200
        assert len(place.rows("arrive", box=writer)) == before
        server.withdraw(SERVICE, "b1")
        place.until(lambda: writer not in place.core.membership.published)
        assert status(RawClient(place, post(chat(text="s"))).until()) == 200
        server.close()


def test_dns_commands(tmp_path):
    from click.testing import CliRunner

    from lapiswing.cli.main import main

    loop = Loop(Clock())
    server = NameServer(loop)
    server.box(SERVICE, "b1", "h.site.example.", "127.0.0.1", 9000, role="read")
    server.box(SERVICE, "bad", "h.site.example.", "127.0.0.1", 9001, role="king")
    over = threading.Event()

    def serve():
        while not over.is_set():
            loop.turn(10_000)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        where = f"127.0.0.1:{server.address[1]}"

        def run(*args):
            result = CliRunner().invoke(main, ["dns", *args])
            return result.exit_code, result.output

        code, text = run("query", "h.site.example.", "A", "--server", where)
        assert code == 0 and "127.0.0.1" in text
        code, text = run("browse", SERVICE, "--server", where)
        assert code == 0 and "127.0.0.1:9000" in text and "bad" in text and "king" in text
        assert run("query", "none.example.", "A", "--server", where)[0] == 1
        assert run("query", "x", "A", "--server", "nowhere")[0] == 2
    finally:
        over.set()
        thread.join()
        server.close()
