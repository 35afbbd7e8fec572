"""DNS-SD (RFC 6763) over unicast DNS, and plain SRV names: what to ask next, and what is found. Pure: `Browser` is told answers and time.

    browser = Browser("_llm-box._tcp.example.", cache)         # or sd=False: an SRV name without DNS-SD
    for name, kind in browser.wants(now_us): ask
    browser.told(name, kind, answer, now_us)                   # answer None: nobody answered
    browser.view(now_us)                                       # -> View

TXT keys of a box, all optional:
    role    read, write or both         kind    a kind of the settings (wins over role)
    zone, cell   names                  size    a number above 0
    gen     Unix ms of its last start   drain   1: nothing new
    path    reserved
Keys are not case sensitive, unknown ones are passed over, a box whose words can't be believed is left out and told."""

from typing import NamedTuple

MS = 1000
AGAIN_US = 2_000 * MS  # after a question that nobody answered
MOST_BOXES = 4000
MOST_TEXT = 64
ROLES = ("read", "write", "both")


class Found(NamedTuple):
    """A box as records tell of it."""

    id: str  # address:port
    name: str  # its instance
    role: str | None
    kind: str | None
    zone: str
    cell: str
    size: float
    gen_ms: int
    draining: bool


class View(NamedTuple):
    boxes: list
    state: str  # none: nothing is known yet; good; stale: nobody answers, this is what was last known
    refused: list  # (instance, why)


class Refused(ValueError):
    pass


def words_of(strings):
    """TXT strings -> {key: value}. The first of a key counts (RFC 6763, 6.4)."""
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


def text_of(words, key):
    raw = words.get(key, b"")
    if len(raw) > MOST_TEXT:
        raise Refused(f"{key}: {len(raw)} bytes")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError:
        raise Refused(f"{key}: is no text") from None
    if not text.isprintable():
        raise Refused(f"{key}: holds characters that can't be shown")
    return text


def number_of(words, key, kind, low, high, default):
    text = text_of(words, key)
    if not text:
        return default
    try:
        value = kind(text)
        if not low <= value <= high:
            raise ValueError
        return value
    except ValueError:
        raise Refused(f"{key}: {text!r} is no number from {low} to {high}") from None


def box_of(instance, address, port, strings, defaults):
    """Raises Refused."""
    if not 0 < port < 65536:
        raise Refused(f"port {port}")
    words = words_of(strings)
    role = text_of(words, "role") or defaults.get("role")
    if role is not None and role not in ROLES:
        raise Refused(f"role: {role!r} is none of {', '.join(ROLES)}")
    host = f"[{address}]" if ":" in address else address
    return Found(
        f"{host}:{port}",
        instance,
        role,
        text_of(words, "kind") or defaults.get("kind"),
        text_of(words, "zone"),
        text_of(words, "cell"),
        number_of(words, "size", float, 0.01, 1000, 1.0),
        number_of(words, "gen", int, 0, 1 << 53, 0),
        text_of(words, "drain") not in ("", "0"),
    )


class Browser:
    def __init__(self, name, cache, sd=True, defaults=None):
        self.name = name.lower() if name.endswith(".") else name.lower() + "."
        self.cache, self.sd, self.defaults = cache, sd, defaults or {}
        self.asking, self.later, self.problem = set(), {}, None

    def instances(self, now_us):
        if not self.sd:
            return [self.name]
        found, _ = self.cache.get(self.name, "PTR", now_us)
        return (found or [])[:MOST_BOXES]

    def names(self, now_us):
        """All that has to be known, in the order in which it is found out."""
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

    def wants(self, now_us, most=1 << 30):
        """What to ask now, at most so many."""
        out = []
        for key in dict.fromkeys(self.names(now_us)):
            if len(out) >= most:
                break
            if key in self.asking or now_us < self.later.get(key, 0) or self.cache.get(*key, now_us)[1] == "fresh":
                continue
            self.asking.add(key)
            out.append(key)
        return out

    def told(self, name, kind, answer, now_us, why=None):
        self.asking.discard((name, kind))
        if answer is None or answer.rcode not in ("NOERROR", "NXDOMAIN"):
            self.later[name, kind] = now_us + AGAIN_US
            self.problem = why or (answer.rcode if answer else "no answer")
            return
        self.later.pop((name, kind), None)
        if len(self.later) > 4 * MOST_BOXES:
            self.later.clear()
        if (name, kind) == (self.name, "PTR" if self.sd else "SRV"):
            self.problem = None
        self.cache.put(name, kind, answer.records, answer.ttl, now_us)
        # What came along saves a question, but only about names that are asked about anyway: nobody plants others here.
        wanted = set(self.names(now_us)) if answer.more else ()
        for (other, type_), (records, ttl) in answer.more.items():
            if (other, type_) in wanted and self.cache.get(other, type_, now_us)[1] in ("none", "due", "stale"):
                self.cache.put(other, type_, sorted(set(records)), ttl, now_us)

    def view(self, now_us):
        first, state = self.cache.get(self.name, "PTR" if self.sd else "SRV", now_us)
        if first is None:
            return View([], "none", [])
        boxes, refused = {}, []
        for instance in self.instances(now_us):
            records, _ = self.cache.get(instance, "SRV", now_us)
            strings = [s for text in self.cache.get(instance, "TXT", now_us)[0] or () for s in text]
            for _, _, port, target in (records or ())[:1] if self.sd else records or ():
                addresses = (self.cache.get(target, "A", now_us)[0] or []) + (self.cache.get(target, "AAAA", now_us)[0] or [])
                if not addresses:
                    continue
                try:
                    found = box_of(instance, addresses[0], port, strings, self.defaults)
                except Refused as problem:
                    refused.append((instance, str(problem)))
                    continue
                if found.id in boxes:
                    # Two names for one box: one of them counts, by the alphabet; a drain of either counts.
                    old = boxes[found.id]
                    refused.append((instance, f"is {old.name} under another name"))
                    found = old._replace(draining=old.draining or found.draining, gen_ms=max(old.gen_ms, found.gen_ms))
                boxes[found.id] = found
        return View(sorted(boxes.values()), "stale" if state == "stale" else "good", refused)
