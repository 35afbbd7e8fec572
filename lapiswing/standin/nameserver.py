"""A stand-in DNS server on loopback, over UDP and TCP.

Faults are fields that may be changed at any time:

silent      sends no answers
garbage     answers are invalid: "bytes" (no DNS message), "id" (wrong id), "question" (wrong question), "loop" (a compressed name
            that points at itself) or "sender" (sent from another port)
rcode       error code in place of an answer, such as "SERVFAIL"
truncate    every answer over UDP is truncated, so that the client must ask over TCP
drip_ms     over TCP, the interval between single bytes
delay_ms    over UDP, the delay before an answer
cut_tcp     closes a TCP connection after half of the answer"""

import selectors
import socket

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

from lapiswing.loop import Listener, listen_socket

US_PER_MS = 1000
MAX_UDP_BYTES = 1232  # the EDNS buffer size that avoids IP fragmentation


class NameServer:
    """Answers from `zone`: {(name, type): (ttl, [text, ...])}, names in lower case with a final dot."""

    def __init__(self, loop, port=0):
        self.loop, self.zone = loop, {}
        self.listener = Listener(loop, listen_socket("127.0.0.1", port), self.accept)
        self.address = self.listener.address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(self.address)
        loop.watch(self.sock, selectors.EVENT_READ, self.on_ready)
        self.silent = self.truncate = self.cut_tcp = False
        self.garbage, self.rcode, self.drip_ms, self.delay_ms = "", None, 0, 0
        self.asked, self.over_tcp = [], 0  # the (name, type) of each question; the number of questions over TCP

    def put(self, name, kind, *values, ttl=5):
        """Sets the records of a name and type; without values, deletes them."""
        if values:
            self.zone[name, kind] = (ttl, list(values))
        else:
            self.zone.pop((name, kind), None)

    def box(self, service, instance, host, address, port, ttl=5, **attributes):
        """Announces a model server by DNS-SD, with `attributes` in its TXT record."""
        full = f"{instance}.{service}".lower()
        ttl_now, names = self.zone.get((service, "PTR"), (ttl, []))
        self.zone[service, "PTR"] = (ttl, sorted({*names, full}))
        self.put(full, "SRV", f"0 0 {port} {host}", ttl=ttl)
        self.put(full, "TXT", " ".join(f'"{key}={value}"' for key, value in attributes.items()) or '""', ttl=ttl)
        self.put(host, "A", address, ttl=ttl)

    def withdraw(self, service, instance):
        """Removes an instance from the PTR records of its service."""
        ttl, names = self.zone.get((service, "PTR"), (5, []))
        self.zone[service, "PTR"] = (ttl, [name for name in names if name != f"{instance}.{service}".lower()])
        if not self.zone[service, "PTR"][1]:
            del self.zone[service, "PTR"]

    def answer(self, data, udp):
        """Returns the answer to a query, both as wire bytes. Follows aliases (CNAME)."""
        query = dns.message.from_wire(data)
        response = dns.message.make_response(query)
        response.flags |= dns.flags.AA
        question = query.question[0]
        name, kind = question.name.to_text().lower(), dns.rdatatype.to_text(question.rdtype)
        self.asked.append((name, kind))
        if self.rcode:
            response.set_rcode(dns.rcode.from_text(self.rcode))
            return response.to_wire()
        for _ in range(20):
            if (name, kind) in self.zone:
                ttl, values = self.zone[name, kind]
                response.answer.append(dns.rrset.from_text(name, ttl, "IN", kind, *values))
                break
            alias = self.zone.get((name, "CNAME"))
            if alias is None:
                if not any(known == name for known, _ in self.zone):
                    response.set_rcode(dns.rcode.NXDOMAIN)
                break
            response.answer.append(dns.rrset.from_text(name, alias[0], "IN", "CNAME", alias[1][0]))
            name = alias[1][0]
        wire = response.to_wire(max_size=65535)
        if udp and (self.truncate or len(wire) > MAX_UDP_BYTES):
            truncated = dns.message.make_response(query)
            truncated.flags |= dns.flags.TC
            return truncated.to_wire()
        return wire

    def corrupt(self, wire):
        """Returns the answer as the fault `garbage` changes it."""
        if self.garbage == "bytes":
            return b"\xff" * 40
        if self.garbage == "id":
            return bytes([wire[0] ^ 0x55]) + wire[1:]
        if self.garbage == "question":
            other = dns.message.make_response(dns.message.make_query("other.example.", "A"))
            return wire[:2] + other.to_wire()[2:]
        if self.garbage == "loop":  # a compression pointer that points at itself
            return wire[:6] + b"\x00\x02\x00\x00\x00\x00" + wire[12:] + b"\xc0" + bytes([len(wire) & 0xFF]) * 3
        return wire

    def on_ready(self, _mask):
        while True:
            try:
                data, sender = self.sock.recvfrom(4096)
            except (BlockingIOError, InterruptedError):
                return
            if self.silent:
                continue
            wire = self.corrupt(self.answer(data, True))
            if self.garbage == "sender":
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                    other.sendto(wire, sender)
                continue
            if self.delay_ms:
                self.loop.call_later(self.delay_ms * US_PER_MS, self.sock.sendto, wire, sender)
            else:
                self.sock.sendto(wire, sender)

    def accept(self, stream, _peer):
        TcpConnection(self, stream)

    def close(self):
        self.loop.watch(self.sock, 0, None)
        self.sock.close()
        self.listener.close()


class TcpConnection:
    """One client connection over TCP: messages with a length of two bytes in front."""

    def __init__(self, server, stream):
        self.server, self.stream, self.received = server, stream, b""
        stream.owner = self

    def on_data(self, data):
        self.received += data
        if len(self.received) < 2 or len(self.received) < 2 + int.from_bytes(self.received[:2], "big") or self.server.silent:
            return
        self.server.over_tcp += 1
        wire = self.server.corrupt(self.server.answer(self.received[2:], False))
        wire = len(wire).to_bytes(2, "big") + wire
        self.received = b""
        if self.server.cut_tcp:
            self.stream.write(wire[: len(wire) // 2])
            return self.stream.close()
        if self.server.drip_ms:
            return self.drip(wire, 0)
        self.stream.write(wire)

    def drip(self, wire, offset):
        if offset < len(wire) and not self.stream.closed:
            self.stream.write(wire[offset : offset + 1])
            self.server.loop.call_later(self.server.drip_ms * US_PER_MS, self.drip, wire, offset + 1)

    def on_eof(self):
        self.stream.close()

    def on_closed(self, why):
        self.server.listener.gone()

    def on_drained(self):
        pass
