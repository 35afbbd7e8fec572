"""The watch of the platform's discovery. What can't be had or read leaves the last list standing."""

from zlib import crc32

import msgspec

from lapiswing.interface import Server
from lapiswing.loop import address_of
from lapiswing.node.names import MODES, TARGETS

MS = 1000
# A change counts as told 6 s after discovery had it and could be reached. A silent watch is found out after WAIT + LATE;
# a row of failed calls costs LATE + AGAIN each at the most, of whatever kind they are, so that four of them after a
# silent watch still end within 5 s. Could harm where a list takes longer than LATE to arrive: then the next call asks
# for it with twice the time, up to MOST_LATE.
WAIT_MS = 1000  # of one watch
LATE_US = 700 * MS  # past that wait, for the whole of the answer
MOST_LATE_US = 2800 * MS  # for an answer that was still coming in when its time was over
AGAIN_US = 100 * MS  # after a call that failed
# Where changes come only to those who ask, each call costs discovery work that all gateways share. So a watch waits long,
# and one that was turned away comes again later and later, with what it has: asked at once for the whole list, all
# gateways together keep discovery overloaded for good. A change counts as told 2 s after such a wait is over.
ASKED_WAIT_MS = 20_000
ASKED_LATE_US = 1900 * MS  # for a whole list, which waits in discovery's line
ASKED_WATCH_LATE_US = 700 * MS  # past a watch's wait; the rest of the 2 s is for the list that is asked for then
REFUSED_US, MOST_REFUSED_US = 250 * MS, 1000 * MS  # pause after a call that was turned away: doubled each time up to
REFUSALS = (429, 503)
SLOW_BYTES = 65536  # of an answer that came in within its time, less is a drip
LIST_BYTES = 8 << 20


class Endpoint(msgspec.Struct):
    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float = 1.0
    since_ms: float = 0


class Named(msgspec.Struct):
    """What must be readable of a row to tell whose it is."""

    name: str


class Targets(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]  # each read by itself, so that one that can't be read costs that one alone


DECODER = msgspec.json.Decoder(Targets)
ROW, NAME = msgspec.json.Decoder(Endpoint), msgspec.json.Decoder(Named)


class ServerList:
    """The list as it stands, by name. `take` raises ValueError where no row can be read, and then changes
    nothing. A server whose own row can't be read gets nothing new, as if it had left: it may be draining.
    `faults` tells of such rows."""

    def __init__(self, kinds, zones, starts):
        """`starts`: a ServerStarts."""
        self.kinds, self.zones, self.starts = kinds, zones, starts
        self.index, self.rows, self.addresses, self.faults, self.told = None, {}, {}, [], []

    def row(self, e):
        if e.type not in self.kinds:
            raise ValueError(f"unknown type {e.type!r} of {e.name}")
        if e.status not in MODES:
            raise ValueError(f"unknown status {e.status!r} of {e.name}")
        zone = self.zones.index(e.zone) if e.zone in self.zones else len(self.zones)
        self.starts.by_clock(e.since_ms)  # raises on what is no moment
        return Server(e.name, zone, e.group, self.kinds.index(e.type), e.weight, 0, MODES[e.status])

    def take(self, targets, now_us):
        rows, addresses, sinces, lost, faults = [], {}, {}, [], []
        for raw in targets.endpoints:
            try:
                endpoint = ROW.decode(raw)
                row, address = self.row(endpoint), address_of(endpoint.address)
            except (ValueError, OverflowError, msgspec.MsgspecError) as problem:
                faults.append(f"{problem} in {bytes(raw)[:120]!r}")
                try:
                    lost.append(NAME.decode(raw).name)
                except msgspec.MsgspecError:
                    pass  # it is not told whose row it is
                continue
            rows.append(row)
            addresses[row.id], sinces[row.id] = address, endpoint.since_ms
        if faults and not rows and targets.snapshot:
            raise ValueError(faults[0])
        self.faults = faults
        started = self.starts.place(sinces, now_us)
        rows = [row._replace(started_us=started[row.id]) for row in rows]
        if targets.snapshot:
            self.rows, self.addresses = {}, {}
        for row in rows:
            if row.mode == "gone":
                lost.append(row.id)
            else:
                self.rows[row.id], self.addresses[row.id] = row, addresses[row.id]
        for name in lost:
            self.rows.pop(name, None)
            self.addresses.pop(name, None)
        self.index = targets.index

    def tell(self, log):
        """Of the last list's faults, if they are new."""
        if self.faults and self.faults != self.told:
            log.warning("rows can't be read", count=len(self.faults), first=self.faults[0][:300])
        self.told = self.faults


class Discovery:
    def __init__(self, loop, pool, address, rows, on_rows, log, asked=False, seed=0):
        """`asked`: whether changes come only to those who ask, at a cost; `seed` spreads the calls of many gateways."""
        self.loop, self.pool, self.address = loop, pool, address
        self.rows, self.on_rows, self.log = rows, on_rows, log
        self.asked, self.seed, self.refused, self.calls = asked, seed, 0, 0
        # Gateways that start together would else all ask again in one moment, when their waits end.
        spread_ms = crc32(b"%d" % seed) % (ASKED_WAIT_MS // 4)
        self.wait_ms, self.usual_late_us = (ASKED_WAIT_MS - spread_ms, ASKED_LATE_US) if asked else (WAIT_MS, LATE_US)
        self.call, self.silent, self.late_us = None, False, self.usual_late_us
        self.whole = not asked  # where a call costs, a list that was given at the start is only asked to be brought up to date
        self.timer = loop.call_later(0, self.ask)

    def move(self, address):
        """Asks another address from now on, for the whole list first."""
        self.stop()
        self.pool.close_idle(self.address)
        self.address, self.whole, self.refused = address, True, 0
        self.ask()

    def stop(self):
        self.timer.cancel()
        if self.call is not None:
            self.call.over = True
            self.call.exchange.cancel()
            self.call = None

    def ask(self):
        self.stop()
        if self.whole or self.rows.index is None:
            target, wait_us = TARGETS, 0
        else:
            target = b"%b?after=%d&wait_ms=%d" % (TARGETS, self.rows.index, self.wait_ms)
            wait_us = self.wait_ms * MS
        late_us = ASKED_WATCH_LATE_US if self.asked and wait_us else self.late_us
        self.calls += 1
        self.call = call = Call(self)
        self.timer = self.loop.call_later(wait_us + late_us, self.too_late, call)
        call.exchange = self.pool.request(self.address, b"GET", target, [], b"", call)

    def too_late(self, call):
        if call is self.call:
            # Still coming in, and not in drips: a list that is long for this machine.
            coming = call.size >= SLOW_BYTES and self.late_us < MOST_LATE_US
            self.failed(call, "no answer in time")
            self.late_us = 2 * self.late_us if coming else self.usual_late_us

    def failed(self, call, why, refused=False):
        if call is not self.call:
            return
        self.stop()
        pause_us = AGAIN_US
        if refused and self.asked:
            pause_us = min(MOST_REFUSED_US, REFUSED_US << min(self.refused, 8))
            pause_us -= crc32(b"%d/%d" % (self.seed, self.calls)) % (pause_us // 2)
            self.refused += 1
        else:
            self.whole = True  # the next one waits for nothing, and what this one has missed is in it
        if not self.silent:
            self.silent = True
            self.log.warning("discovery silent", why=why, boxes=len(self.rows.rows))
        self.timer = self.loop.call_later(pause_us, self.ask)

    def answered(self, call, status, body):
        if call is not self.call:
            return
        if status in REFUSALS:
            return self.failed(call, f"status {status}", refused=True)
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            targets = DECODER.decode(body)
            self.rows.take(targets, self.loop.clock.now_us())
        except (ValueError, msgspec.MsgspecError) as problem:
            return self.failed(call, f"can't be read: {problem}")
        self.late_us, self.refused = self.usual_late_us, 0
        if self.silent:
            self.silent = False
            self.log.info("discovery heard", boxes=len(self.rows.rows))
        # A change that can't be read may be of any server: the whole list tells of it, or names it no more.
        self.whole = bool(self.rows.faults) and not targets.snapshot
        self.rows.tell(self.log)
        if targets.snapshot or targets.endpoints:
            self.on_rows()
        self.ask()


class Call:
    """Hears one call."""

    def __init__(self, discovery):
        self.discovery, self.status, self.parts, self.size, self.over = discovery, None, [], 0, False

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        self.size += len(data)
        if self.size <= LIST_BYTES:
            self.parts.append(data)

    def on_end(self):
        if not self.over:
            whole = self.size <= LIST_BYTES
            self.discovery.answered(self, self.status, b"".join(self.parts) if whole else b"")

    def on_fail(self, stage, why):
        if not self.over:
            self.discovery.failed(self, f"{stage}: {why}")
