"""The contract of every transport of the fleet link: a message arrives unaltered or not at all, nothing blocks,
and every queue is bounded. Over a bad network loss, repetition and reordering are allowed; rows and members
tolerate them."""

from contracts import those
from contracts.transports import TRANSPORTS
from lapiswing.fleet.messages import MAX_MESSAGE_BYTES


def new_network(request):
    net = request.param(1)
    yield net
    net.close()


net, reliable, ordered, stallable = (
    make(new_network)
    for make in (
        those(TRANSPORTS),
        those(TRANSPORTS, reliable=True),
        those(TRANSPORTS, ordered=True),
        those(TRANSPORTS, "stall", reliable=True),
    )
)


def messages(n):
    return [b"%06d" % i + bytes([i % 256]) * (i * 7 % 900) for i in range(n)]


def send_all(net, a, b, n):
    sent = messages(n)
    for data in sent:
        a.send(net.route(a, b), data)
    return sent


def test_messages_arrive_unaltered_and_some_do_arrive(net):
    a, b = net.end("a"), net.end("b")
    sent = send_all(net, a, b, 200)
    net.run(3000, lambda: len(b.got) >= 100)
    net.run(100)
    assert set(b.got) <= set(sent) and len(set(b.got)) >= 100 and not a.got


def test_a_reliable_network_loses_and_repeats_nothing(reliable):
    a, b = reliable.end("a"), reliable.end("b")
    sent = send_all(reliable, a, b, 300)
    reliable.run(3000, lambda: len(b.got) >= 300)
    reliable.run(50)
    assert sorted(b.got) == sorted(sent)


def test_an_ordered_transport_keeps_the_order_of_each_sender(ordered):
    a, b, c = ordered.end("a"), ordered.end("b"), ordered.end("c")
    sent = messages(300)
    for i, data in enumerate(sent):
        (a, c)[i % 2].send(ordered.route(a, b), data)
    ordered.run(3000, lambda: len(b.got) >= 300)
    for one_sender in (sent[::2], sent[1::2]):
        assert [d for d in b.got if d in one_sender] == one_sender


def test_both_directions_at_once(net):
    a, b = net.end("a"), net.end("b")
    for i in range(100):
        a.send(net.route(a, b), b"a%d" % i)
        b.send(net.route(b, a), b"b%d" % i)
    assert net.run(3000, lambda: len(a.got) > 40 and len(b.got) > 40) is not None
    assert all(d[:1] == b"b" for d in a.got) and all(d[:1] == b"a" for d in b.got)


def test_the_largest_message_arrives_unaltered(reliable):
    a, b = reliable.end("a"), reliable.end("b")
    data = bytes(range(256)) * (MAX_MESSAGE_BYTES // 256)
    a.send(reliable.route(a, b), data)
    reliable.run(2000, lambda: b.got)
    assert b.got == [data]


def test_sending_to_a_closed_endpoint_does_not_disturb_others(net):
    a, b, dead = net.end("a"), net.end("b"), net.end("dead")
    route = net.route(a, dead)
    dead.close()
    for i in range(50):
        a.send(route, b"lost")
        a.send(net.route(a, b), b"%d" % i)
    assert net.run(2000, lambda: len(set(b.got)) > 20)
    assert not dead.got


def test_a_reopened_endpoint_is_reached_again(net):
    a, b = net.end("a"), net.end("b")
    route = net.route(a, b)
    a.send(route, b"first")
    net.run(100)
    b.close()
    a.send(route, b"meanwhile")
    net.run(400)
    b.open()

    def resend_and_check():
        a.send(route, b"again")
        return b"again" in b.got

    assert net.run(3000, resend_and_check)


def test_a_closed_endpoint_neither_sends_nor_receives_and_closing_twice_is_harmless(net):
    a, b = net.end("a"), net.end("b")
    send_all(net, a, b, 100)
    b.close()
    b.close()
    before = len(b.got)
    net.run(200)
    assert len(b.got) == before
    a.close()
    a.send(net.route(a, b), b"x")  # raises nothing and has no effect
    net.run(50)


def test_a_stalled_peer_costs_one_bounded_queue_and_delays_no_other(stallable):
    net = stallable
    a, b, c = net.end("a"), net.end("b"), net.end("c")
    a.send(net.route(a, b), b"up")
    net.run(1000, lambda: b.got)
    net.stall(b)
    data = b"z" * 50_000
    for i in range(400):  # 20 MB
        a.send(net.route(a, b), data)
        if i % 20 == 0:
            a.send(net.route(a, c), b"%d" % i)
            net.run(1)
    assert net.run(500, lambda: len(c.got) == 20)
    peer = a.transport.peers[b.address]
    buffered_bytes = peer.queued_bytes + peer.stream.unsent_bytes
    assert buffered_bytes <= 2 * a.transport.max_queued_bytes and a.transport.counts["dropped"] > 100

    def cut_off():
        a.send(net.route(a, b), data)  # until the kernel's buffers are full too
        return a.transport.peers.get(b.address) is not peer

    assert net.run(8000, cut_off)


def test_garbage_from_a_stranger_ends_only_its_own_connection(ordered):
    import socket

    a, b = ordered.end("a"), ordered.end("b")
    a.send(ordered.route(a, b), b"before")
    ordered.run(1000, lambda: b.got)
    with socket.create_connection(("127.0.0.1", b.port)) as stranger:
        stranger.sendall(b"GET / HTTP/1.1\r\n\r\n")
        ordered.run(1000, lambda: b.transport.counts["garbage"])
    with socket.create_connection(("127.0.0.1", b.port)) as silent:
        silent.sendall(b"\x00\x00\x01\x00half")
        a.send(ordered.route(a, b), b"after")
        assert ordered.run(1000, lambda: len(b.got) == 2)
    assert b.got == [b"before", b"after"]
