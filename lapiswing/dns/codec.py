"""Queries and answers as bytes, by means of dnspython. No I/O.

RFC 1035, RFC 6891 (EDNS), RFC 2782 (SRV), RFC 6763 (TXT of DNS-SD)."""

from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype

MAX_ANSWER_BYTES = 65535
MAX_RECORDS = 20_000
MAX_CNAMES = 8  # followed for one query
EDNS_BYTES = 1232  # not fragmented on any usual path (DNS flag day 2020)


class BadAnswer(Exception):
    """Not a valid answer to this query; it is dropped and counted. `kind`: garbage, id, question, size."""

    def __init__(self, kind, text=""):
        super().__init__(f"{kind}: {text}" if text else kind)
        self.kind = kind


class Answer(NamedTuple):
    """A decoded answer."""

    rcode: str  # NOERROR, NXDOMAIN, SERVFAIL, ...
    truncated: bool
    records: list  # of the requested type, after following CNAMEs; values as `record_value` gives them
    ttl: int  # seconds; for a negative answer the SOA's minimum
    additional: dict  # (name, type) -> (values, ttl): other records in the answer


def question(name, kind, query_id, edns_bytes=EDNS_BYTES):
    """-> a query as bytes. Raises ValueError: the name or the type is invalid."""
    try:
        message = dns.message.make_query(dns.name.from_text(name), dns.rdatatype.from_text(kind), use_edns=0, payload=edns_bytes)
    except (dns.exception.DNSException, UnicodeError) as problem:
        raise ValueError(f"{name!r}: {problem}") from None
    message.id = query_id
    return message.to_wire()


def record_value(kind, rdata):
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
    """Lower case, with a final dot; bytes that are not text stay escaped, as dnspython writes them."""
    return name.to_text().lower()


def decode_answer(data, query_id, name, kind):
    """-> the Answer to the query with this id, name and type. Raises BadAnswer."""
    if len(data) > MAX_ANSWER_BYTES:
        raise BadAnswer("size", f"{len(data)} bytes")
    if len(data) < 12:
        raise BadAnswer("garbage", "shorter than a header")
    if int.from_bytes(data[:2], "big") != query_id:
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
        raise BadAnswer("question", "answers another question")
    truncated = bool(message.flags & dns.flags.TC)
    rrsets, total = {}, 0
    for rrset in (*message.answer, *message.additional):
        if rrset.rdclass != dns.rdataclass.IN:
            continue
        type_ = dns.rdatatype.to_text(rrset.rdtype)
        total += len(rrset)
        if total > MAX_RECORDS:
            raise BadAnswer("size", "too many records")
        values = [v for v in (record_value(type_, rdata) for rdata in rrset) if v is not None]
        if values:
            old = rrsets.get((name_of(rrset.name), type_), ([], rrset.ttl))
            rrsets[name_of(rrset.name), type_] = old[0] + values, min(old[1], rrset.ttl)
    records, ttl, owner, visited = [], 1 << 31, wanted, set()
    while True:
        if (owner, kind) in rrsets:
            records, rrset_ttl = rrsets[owner, kind]
            ttl = min(ttl, rrset_ttl)
            break
        alias = rrsets.get((owner, "CNAME"))
        if alias is None or owner in visited or len(visited) >= MAX_CNAMES:
            break
        visited.add(owner)
        owner, ttl = alias[0][0], min(ttl, alias[1])
    if not records:
        soa = [(r.ttl, r[0].minimum) for r in message.authority if r.rdtype == dns.rdatatype.SOA]
        ttl = min(soa[0]) if soa else 0
    additional = {k: v for k, v in rrsets.items() if k[1] in ("SRV", "TXT", "A", "AAAA") and k != (wanted, kind)}
    return Answer(dns.rcode.to_text(message.rcode()), truncated, sorted(set(records)), ttl, additional)
