"""What the fleet link may rely on, of every transport: a message arrives whole or not at all, nothing blocks,
everything is bounded. Loss, repetition and another order are allowed where the link between is bad; the
link's rows and members bear them."""

from contracts import those
from contracts.transports import TRANSPORTS

from lapiswing.fleet.messages import MOST


def begun(request):
    net = request.param(1)
    yield net
    net.close()


net, good, ordered, stallable = (
    make(begun)
    for make in (
        those(TRANSPORTS),
        those(TRANSPORTS, good=True),
        those(TRANSPORTS, ordered=True),
        those(TRANSPORTS, "stall", good=True),
    )
)


def messages(n):
    return [b"%06d" % i + bytes([i % 256]) * (i * 7 % 900) for i in range(n)]


def send_all(net, a, b, n):
    sent = messages(n)
    for data in sent:
        a.send(net.way(a, b), data)
    return sent


def test_what_arrives_was_sent_whole_and_some_does(net):
    a, b = net.end("a"), net.end("b")
    sent = send_all(net, a, b, 200)
    net.run(3000, lambda: len(b.got) >= 100)
    net.run(100)
    assert set(b.got) <= set(sent) and len(set(b.got)) >= 100 and not a.got


def test_a_good_link_loses_and_repeats_nothing(good):
    a, b = good.end("a"), good.end("b")
    sent = send_all(good, a, b, 300)
    good.run(3000, lambda: len(b.got) >= 300)
    good.run(50)
    assert sorted(b.got) == sorted(sent)


def test_order_is_kept_where_it_is_promised(ordered):
    a, b, c = ordered.end("a"), ordered.end("b"), ordered.end("c")
    sent = messages(300)
    for i, data in enumerate(sent):
        (a, c)[i % 2].send(ordered.way(a, b), data)
    ordered.run(3000, lambda: len(b.got) >= 300)
    for mine in (sent[::2], sent[1::2]):
        assert [d for d in b.got if d in mine] == mine


def test_both_ways_at_once(net):
    a, b = net.end("a"), net.end("b")
    for i in range(100):
        a.send(net.way(a, b), b"a%d" % i)
        b.send(net.way(b, a), b"b%d" % i)
    assert net.run(3000, lambda: len(a.got) > 40 and len(b.got) > 40) is not None
    assert all(d[:1] == b"b" for d in a.got) and all(d[:1] == b"a" for d in b.got)


def test_the_largest_message_arrives_whole(good):
    a, b = good.end("a"), good.end("b")
    data = bytes(range(256)) * (MOST // 256)
    a.send(good.way(a, b), data)
    good.run(2000, lambda: b.got)
    assert b.got == [data]


def test_nobody_there_costs_nobody_anything(net):
    a, b, dead = net.end("a"), net.end("b"), net.end("dead")
    way = net.way(a, dead)
    dead.close()
    for i in range(50):
        a.send(way, b"lost")
        a.send(net.way(a, b), b"%d" % i)
    assert net.run(2000, lambda: len(set(b.got)) > 20)
    assert not dead.got


def test_one_that_comes_back_is_reached_again(net):
    a, b = net.end("a"), net.end("b")
    way = net.way(a, b)
    a.send(way, b"first")
    net.run(100)
    b.close()
    a.send(way, b"meanwhile")
    net.run(400)
    b.open()

    def heard():
        a.send(way, b"again")
        return b"again" in b.got

    assert net.run(3000, heard)


def test_after_close_nothing_is_heard_or_said_and_closing_twice_does_no_harm(net):
    a, b = net.end("a"), net.end("b")
    send_all(net, a, b, 100)
    b.close()
    b.close()
    before = len(b.got)
    net.run(200)
    assert len(b.got) == before
    a.close()
    a.send(net.way(a, b), b"x")  # no fault, no effect
    net.run(50)


def test_a_peer_that_stalls_costs_one_bounded_queue_and_delays_nobody(stallable):
    net = stallable
    a, b, c = net.end("a"), net.end("b"), net.end("c")
    a.send(net.way(a, b), b"up")
    net.run(1000, lambda: b.got)
    net.stall(b)
    data = b"z" * 50_000
    for i in range(400):  # 20 MB
        a.send(net.way(a, b), data)
        if i % 20 == 0:
            a.send(net.way(a, c), b"%d" % i)
            net.run(1)
    assert net.run(500, lambda: len(c.got) == 20)
    peer = a.transport.peers[b.address]
    held = peer.waiting + peer.stream.unsent_bytes
    assert held <= 2 * a.transport.most_waiting and a.transport.counts["dropped"] > 100

    def cut_off():
        a.send(net.way(a, b), data)  # until the kernel takes no more either
        return a.transport.peers.get(b.address) is not peer

    assert net.run(8000, cut_off)


def test_garbage_from_a_stranger_ends_its_connection_alone(ordered):
    import socket

    a, b = ordered.end("a"), ordered.end("b")
    a.send(ordered.way(a, b), b"before")
    ordered.run(1000, lambda: b.got)
    with socket.create_connection(("127.0.0.1", b.port)) as stranger:
        stranger.sendall(b"GET / HTTP/1.1\r\n\r\n")
        ordered.run(1000, lambda: b.transport.counts["garbage"])
    with socket.create_connection(("127.0.0.1", b.port)) as silent:
        silent.sendall(b"\x00\x00\x01\x00half")
        a.send(ordered.way(a, b), b"after")
        assert ordered.run(1000, lambda: len(b.got) == 2)
    assert b.got == [b"before", b"after"]
