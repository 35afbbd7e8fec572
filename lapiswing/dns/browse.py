"""DNS-SD (RFC 6763) over unicast DNS, and plain SRV names: what to query next, and which servers were found. No I/O: `Browser`
is given the answers and the time.

    browser = Browser("_llm-box._tcp.example.", cache)         # or sd=False: an SRV name without DNS-SD
    for name, kind in browser.next_queries(now_us): ask        # `kind` is the record type
    browser.on_answer(name, kind, answer, now_us)              # answer None: no name server answered
    browser.view(now_us)                                       # -> View

TXT keys of a server, all optional:
    role    read, write or both         kind    a server kind of the settings (takes precedence over role)
    zone, cell   names                  size    a number above 0
    gen     Unix ms of its last start   drain   1: no new requests
    path    reserved
Keys are not case sensitive, and unknown ones are ignored. A server with invalid values is left out and reported. The roles read
and write are the prefill and decode stages."""

from typing import NamedTuple

MS = 1000
RETRY_US = 2_000 * MS  # after a query that no name server answered
MAX_SERVERS = 4000
MAX_TEXT_BYTES = 64
ROLES = ("read", "write", "both")


class FoundServer(NamedTuple):
    """A server as its records describe it."""

    id: str  # address:port
    name: str  # of the DNS-SD instance
    role: str | None
    kind: str | None
    zone: str
    cell: str
    size: float
    gen_ms: int
    draining: bool


class View(NamedTuple):
    """The servers found."""

    servers: list
    state: str  # none: nothing is known yet; good; stale: no name server answers, these were last known
    refused: list  # (instance, why)


class Refused(ValueError):
    """A server's records hold an invalid value."""


def parse_txt(strings):
    """TXT strings -> {key: value}. The first value of a key counts (RFC 6763, 6.4)."""
    out = {}
    for raw in strings:
        key, eq, value = raw.partition(b"=")
        try:
            name = key.decode("ascii").lower()
        except UnicodeDecodeError:
            continue
        if name and name not in out:
            out[name] = value if eq else b""
    return out


def text_value(attributes, key):
    """-> the value as text, empty if absent. Raises Refused: too long, not UTF-8, or unprintable."""
    raw = attributes.get(key, b"")
    if len(raw) > MAX_TEXT_BYTES:
        raise Refused(f"{key}: {len(raw)} bytes")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError:
        raise Refused(f"{key}: is not UTF-8 text") from None
    if not text.isprintable():
        raise Refused(f"{key}: contains unprintable characters")
    return text


def number_value(attributes, key, kind, low, high, default):
    """-> the value as `kind` (int or float) within `low` and `high`, or `default` if absent. Raises Refused."""
    text = text_value(attributes, key)
    if not text:
        return default
    try:
        value = kind(text)
        if not low <= value <= high:
            raise ValueError
        return value
    except ValueError:
        raise Refused(f"{key}: {text!r} is not a number from {low} to {high}") from None


def parse_server(instance, address, port, strings, defaults):
    """-> the FoundServer of an instance. `defaults` are used where the TXT record has no value. Raises Refused."""
    if not 0 < port < 65536:
        raise Refused(f"port {port}")
    attributes = parse_txt(strings)
    role = text_value(attributes, "role") or defaults.get("role")
    if role is not None and role not in ROLES:
        raise Refused(f"role: {role!r} is not one of {', '.join(ROLES)}")
    host = f"[{address}]" if ":" in address else address
    return FoundServer(
        f"{host}:{port}",
        instance,
        role,
        text_value(attributes, "kind") or defaults.get("kind"),
        text_value(attributes, "zone"),
        text_value(attributes, "cell"),
        number_value(attributes, "size", float, 0.01, 1000, 1.0),
        number_value(attributes, "gen", int, 0, 1 << 53, 0),
        text_value(attributes, "drain") not in ("", "0"),
    )


class Browser:
    """Follows the records of one service name."""

    def __init__(self, name, cache, sd=True, defaults=None):
        self.name = name.lower() if name.endswith(".") else name.lower() + "."
        self.cache, self.sd, self.defaults = cache, sd, defaults or {}
        self.in_flight, self.retry_at_us, self.problem = set(), {}, None

    def instances(self, now_us):
        if not self.sd:
            return [self.name]
        found, _ = self.cache.get(self.name, "PTR", now_us)
        return (found or [])[:MAX_SERVERS]

    def names(self, now_us):
        """All names and record types that are needed, in the order in which they become known."""
        if self.sd:
            yield self.name, "PTR"
        for instance in self.instances(now_us):
            yield instance, "SRV"
            if self.sd:
                yield instance, "TXT"
            for _, _, _, target in self.cache.get(instance, "SRV", now_us)[0] or ():
                yield target, "A"
                if not self.cache.get(target, "A", now_us)[0] and self.cache.get(target, "A", now_us)[1] != "none":
                    yield target, "AAAA"

    def next_queries(self, now_us, max_queries=1 << 30):
        """The names and record types to query now, at most `max_queries`."""
        out = []
        for key in dict.fromkeys(self.names(now_us)):
            if len(out) >= max_queries:
                break
            if key in self.in_flight or now_us < self.retry_at_us.get(key, 0) or self.cache.get(*key, now_us)[1] == "fresh":
                continue
            self.in_flight.add(key)
            out.append(key)
        return out

    def on_answer(self, name, kind, answer, now_us, why=None):
        self.in_flight.discard((name, kind))
        if answer is None or answer.rcode not in ("NOERROR", "NXDOMAIN"):
            self.retry_at_us[name, kind] = now_us + RETRY_US
            self.problem = why or (answer.rcode if answer else "no answer")
            return
        self.retry_at_us.pop((name, kind), None)
        if len(self.retry_at_us) > 4 * MAX_SERVERS:
            self.retry_at_us.clear()
        if (name, kind) == (self.name, "PTR" if self.sd else "SRV"):
            self.problem = None
        self.cache.put(name, kind, answer.records, answer.ttl, now_us)
        # Additional records save queries, but are accepted only for names that are queried anyway, so that an answer can't plant
        # others.
        wanted = set(self.names(now_us)) if answer.additional else ()
        for (other, type_), (records, ttl) in answer.additional.items():
            if (other, type_) in wanted and self.cache.get(other, type_, now_us)[1] in ("none", "due", "stale"):
                self.cache.put(other, type_, sorted(set(records)), ttl, now_us)

    def view(self, now_us):
        service_records, state = self.cache.get(self.name, "PTR" if self.sd else "SRV", now_us)
        if service_records is None:
            return View([], "none", [])
        servers, refused = {}, []
        for instance in self.instances(now_us):
            records, _ = self.cache.get(instance, "SRV", now_us)
            strings = [s for text in self.cache.get(instance, "TXT", now_us)[0] or () for s in text]
            for _, _, port, target in (records or ())[:1] if self.sd else records or ():
                addresses = (self.cache.get(target, "A", now_us)[0] or []) + (self.cache.get(target, "AAAA", now_us)[0] or [])
                if not addresses:
                    continue
                try:
                    found = parse_server(instance, addresses[0], port, strings, self.defaults)
                except Refused as problem:
                    refused.append((instance, str(problem)))
                    continue
                if found.id in servers:
                    # One server under two names: the first by the alphabet is kept; a drain under either name counts.
                    old = servers[found.id]
                    refused.append((instance, f"is {old.name} under another name"))
                    found = old._replace(draining=old.draining or found.draining, gen_ms=max(old.gen_ms, found.gen_ms))
                servers[found.id] = found
        return View(sorted(servers.values()), "stale" if state == "stale" else "good", refused)
