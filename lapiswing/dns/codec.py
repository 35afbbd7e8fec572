"""Questions and answers as bytes. Pure; the codec is dnspython's.

RFC 1035, RFC 6891 (EDNS), RFC 2782 (SRV), RFC 6763 (TXT of DNS-SD)."""

from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype

MOST_BYTES = 65535
MOST_RECORDS = 20_000
CHAIN = 8  # CNAMEs followed
EDNS_BYTES = 1232  # what passes every usual path in one piece (DNS flag day 2020)


class BadAnswer(Exception):
    """Not an answer to this question: dropped and counted. `kind`: garbage, id, question, size."""

    def __init__(self, kind, text=""):
        super().__init__(f"{kind}: {text}" if text else kind)
        self.kind = kind


class Answer(NamedTuple):
    rcode: str  # NOERROR, NXDOMAIN, SERVFAIL, ...
    truncated: bool
    records: list  # of the type asked for, at the end of its CNAMEs: plain values, see `plain`
    ttl: int  # seconds; of a negative answer the SOA's minimum
    more: dict  # (name, type) -> (values, ttl): what else came along


def question(name, kind, number, edns=EDNS_BYTES):
    """-> bytes. Raises ValueError: no such name or type."""
    try:
        message = dns.message.make_query(dns.name.from_text(name), dns.rdatatype.from_text(kind), use_edns=0, payload=edns)
    except (dns.exception.DNSException, UnicodeError) as problem:
        raise ValueError(f"{name!r}: {problem}") from None
    message.id = number
    return message.to_wire()


def plain(kind, rdata):
    """SRV -> (priority, weight, port, target); TXT -> tuple of bytes; PTR, CNAME -> name; A, AAAA -> text."""
    if kind == "SRV":
        return rdata.priority, rdata.weight, rdata.port, name_of(rdata.target)
    if kind == "TXT":
        return tuple(rdata.strings)
    if kind in ("PTR", "CNAME"):
        return name_of(rdata.target)
    if kind in ("A", "AAAA"):
        return rdata.address
    return None


def name_of(name):
    """Lower case, with a final dot; bytes that are no text stay escaped, as dnspython writes them."""
    return name.to_text().lower()


def read(data, number, name, kind):
    """An answer to this question. Raises BadAnswer."""
    if len(data) > MOST_BYTES:
        raise BadAnswer("size", f"{len(data)} bytes")
    if len(data) < 12:
        raise BadAnswer("garbage", "shorter than a head")
    if int.from_bytes(data[:2], "big") != number:
        raise BadAnswer("id")
    try:
        message = dns.message.from_wire(data, ignore_trailing=True)
    except dns.message.Truncated as problem:
        message = problem.message()
    except (dns.exception.DNSException, ValueError, IndexError, UnicodeError) as problem:
        raise BadAnswer("garbage", type(problem).__name__) from None
    if not message.flags & dns.flags.QR or len(message.question) != 1:
        raise BadAnswer("question", "not an answer to one question")
    asked = message.question[0]
    wanted = name_of(dns.name.from_text(name))
    if name_of(asked.name) != wanted or dns.rdatatype.to_text(asked.rdtype) != kind:
        raise BadAnswer("question", "another one's")
    truncated = bool(message.flags & dns.flags.TC)
    found, total = {}, 0
    for rrset in (*message.answer, *message.additional):
        if rrset.rdclass != dns.rdataclass.IN:
            continue
        type_ = dns.rdatatype.to_text(rrset.rdtype)
        total += len(rrset)
        if total > MOST_RECORDS:
            raise BadAnswer("size", "too many records")
        values = [v for v in (plain(type_, rdata) for rdata in rrset) if v is not None]
        if values:
            old = found.get((name_of(rrset.name), type_), ([], rrset.ttl))
            found[name_of(rrset.name), type_] = old[0] + values, min(old[1], rrset.ttl)
    records, ttl, at, seen = [], 1 << 31, wanted, set()
    while True:
        if (at, kind) in found:
            records, least = found[at, kind]
            ttl = min(ttl, least)
            break
        alias = found.get((at, "CNAME"))
        if alias is None or at in seen or len(seen) >= CHAIN:
            break
        seen.add(at)
        at, ttl = alias[0][0], min(ttl, alias[1])
    if not records:
        soa = [(r.ttl, r[0].minimum) for r in message.authority if r.rdtype == dns.rdatatype.SOA]
        ttl = min(soa[0]) if soa else 0
    more = {k: v for k, v in found.items() if k[1] in ("SRV", "TXT", "A", "AAAA") and k != (wanted, kind)}
    return Answer(dns.rcode.to_text(message.rcode()), truncated, sorted(set(records)), ttl, more)
