"""Watches the platform's discovery service. The last list stays in use while a new one can't be fetched or read.

A call that gets no answer in time is followed by the next one and stays open for a while: a discovery that is slow is still
heard, and one that is silent is asked again as soon as if the call had been cancelled."""

from zlib import crc32

import msgspec

from lapiswing.interface import Server
from lapiswing.loop import address_of
from lapiswing.node.names import MODES, TARGETS_PATH

MS = 1000
# A change must be acted on within 6 s of the moment at which discovery has it and is reachable. A watch that gets no answer
# is detected after WATCH_WAIT_MS + ANSWER_GRACE_US; each failed call after it costs at most ANSWER_GRACE_US +
# RETRY_DELAY_US, so that four failed calls after a silent watch still end within 5 s. A list that takes longer than
# ANSWER_GRACE_US to arrive fails its call; the next call allows twice the time, up to MAX_ANSWER_GRACE_US.
WATCH_WAIT_MS = 1000  # how long discovery may hold a watch open
ANSWER_GRACE_US = 700 * MS  # beyond that wait, for the whole answer
MAX_ANSWER_GRACE_US = 2800 * MS  # for an answer that was still arriving when its time ran out
RETRY_DELAY_US = 100 * MS  # after a failed call
# In subscribe mode each call costs discovery work that all gateways share. A watch therefore waits long, and a rejected call
# backs off exponentially and asks only for what changed: if all gateways retried at once with a request for the whole list,
# they would keep discovery overloaded for good. A change must be acted on within 2 s after such a wait ends.
SUBSCRIBE_WAIT_MS = 20_000
SUBSCRIBE_LIST_GRACE_US = 1900 * MS  # for a whole list, which may wait in discovery's queue
SUBSCRIBE_WATCH_GRACE_US = 700 * MS  # beyond a watch's wait; the rest of the 2 s is for the list that is requested next
REJECTED_DELAY_US, MAX_REJECTED_DELAY_US = 250 * MS, 1000 * MS  # after a rejected call: doubled each time up to the maximum
REJECTION_STATUSES = (429, 503)
MAX_LATE_CALLS = 3  # without an answer in time that stay open; with the present call as many as the pool has connections
MIN_PROGRESS_BYTES = 65536  # an answer that has brought this much when its time runs out is long, not stalled
MAX_LIST_BYTES = 4 << 20
MAX_ROWS = 16_384  # in one answer
MAX_LIST_COMMAS = 16 * MAX_ROWS  # more than such a list has; counted before anything is decoded


class Endpoint(msgspec.Struct):
    """One server in discovery's answer."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float = 1.0
    since_ms: float = 0


class RowName(msgspec.Struct):
    """The part of a row that must be readable to tell which server it describes."""

    name: str


class Targets(msgspec.Struct):
    """Discovery's answer: the whole list (`snapshot`) or the rows that changed."""

    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]  # decoded one by one, so that an unreadable row affects only itself


LIST_DECODER = msgspec.json.Decoder(Targets)
ROW_DECODER, NAME_DECODER = msgspec.json.Decoder(Endpoint), msgspec.json.Decoder(RowName)


def decode_list(body):
    """-> Targets. Raises ValueError, before it decodes anything, if the list is far longer than any fleet's."""
    if body.count(b",") > MAX_LIST_COMMAS:
        raise ValueError("the list is too long")
    targets = LIST_DECODER.decode(body)
    if len(targets.endpoints) > MAX_ROWS:
        raise ValueError(f"the list has more than {MAX_ROWS} rows")
    return targets


class ServerList:
    """The current list of servers by name. `apply` raises ValueError and changes nothing if no row of a whole list can be
    read. A server whose own row can't be read is removed, as it may be draining and must get no new requests. `faults`
    holds a text for each such row."""

    def __init__(self, kinds, zones, starts):
        """`starts` is a ServerStarts."""
        self.kinds, self.zones, self.starts = kinds, zones, starts
        self.index, self.rows, self.addresses, self.faults, self.logged_faults = None, {}, {}, [], []

    def to_server(self, endpoint):
        """-> Server. Raises ValueError or OverflowError on values that have no meaning here."""
        if endpoint.type not in self.kinds:
            raise ValueError(f"unknown type {endpoint.type!r} of {endpoint.name}")
        if endpoint.status not in MODES:
            raise ValueError(f"unknown status {endpoint.status!r} of {endpoint.name}")
        zone = self.zones.index(endpoint.zone) if endpoint.zone in self.zones else len(self.zones)
        self.starts.to_clock_us(endpoint.since_ms)  # raises if it is not a valid time
        return Server(
            endpoint.name, zone, endpoint.group, self.kinds.index(endpoint.type), endpoint.weight, 0, MODES[endpoint.status]
        )

    def apply(self, targets, now_us):
        """Replaces or updates the list."""
        rows, addresses, sinces, removed, faults = [], {}, {}, [], []
        for raw in targets.endpoints:
            try:
                endpoint = ROW_DECODER.decode(raw)
                row, address = self.to_server(endpoint), address_of(endpoint.address)
            except (ValueError, OverflowError, msgspec.MsgspecError) as problem:
                faults.append(f"{problem} in {bytes(raw)[:120]!r}")
                try:
                    removed.append(NAME_DECODER.decode(raw).name)
                except msgspec.MsgspecError:
                    pass  # not even the server's name can be read
                continue
            rows.append(row)
            addresses[row.id], sinces[row.id] = address, endpoint.since_ms
        if faults and not rows and targets.snapshot:
            raise ValueError(faults[0])
        self.faults = faults
        started = self.starts.convert(sinces, now_us)
        rows = [row._replace(started_us=started[row.id]) for row in rows]
        if targets.snapshot:
            self.rows, self.addresses = {}, {}
        for row in rows:
            if row.mode == "gone":
                removed.append(row.id)
            else:
                self.rows[row.id], self.addresses[row.id] = row, addresses[row.id]
        for name in removed:
            self.rows.pop(name, None)
            self.addresses.pop(name, None)
        self.index = targets.index

    def log_faults(self, log):
        """Logs the faults of the last list if they differ from those logged before."""
        if self.faults and self.faults != self.logged_faults:
            log.warning("rows can't be read", count=len(self.faults), first=self.faults[0][:300])
        self.logged_faults = self.faults


class Discovery:
    """Keeps a ServerList up to date by long polling. One call is open at a time, besides up to MAX_LATE_CALLS earlier ones. An
    answer is applied if no later call was answered before it."""

    def __init__(self, loop, pool, address, server_list, on_list_change, log, subscribe=False, seed=0):
        """`subscribe`: changes are only sent on request and each call is costly; `seed` spreads the calls of many gateways."""
        self.loop, self.pool, self.address = loop, pool, address
        self.server_list, self.on_list_change, self.log = server_list, on_list_change, log
        self.subscribe, self.seed, self.rejections, self.calls = subscribe, seed, 0, 0
        # Gateways that start together would otherwise all call again at the same moment, when their waits end.
        spread_ms = crc32(b"%d" % seed) % (SUBSCRIBE_WAIT_MS // 4)
        self.wait_ms, self.default_grace_us = (
            (SUBSCRIBE_WAIT_MS - spread_ms, SUBSCRIBE_LIST_GRACE_US) if subscribe else (WATCH_WAIT_MS, ANSWER_GRACE_US)
        )
        self.call, self.late_calls, self.unavailable, self.grace_us = None, [], False, self.default_grace_us
        # In subscribe mode a list that was given at the start is only brought up to date, as a call is costly.
        self.wants_full_list = not subscribe
        self.timer = loop.call_later(0, self.send_call)

    def change_address(self, address):
        """Calls another address from now on, and asks it for the whole list first."""
        self.stop()
        self.pool.close_idle(self.address)
        self.address, self.wants_full_list, self.rejections = address, True, 0
        self.send_call()

    def stop(self):
        """Cancels all open calls and the timer."""
        self.cancel_present_call()
        self.cancel_late_calls(self.calls)

    def cancel_present_call(self):
        """Cancels the present call and the timer."""
        self.timer.cancel()
        if self.call is not None:
            self.call.cancel()
            self.call = None

    def cancel_late_calls(self, before):
        """Cancels the late calls that were sent before the call with this number."""
        for call in [call for call in self.late_calls if call.number < before]:
            call.cancel()
            self.late_calls.remove(call)

    def send_call(self):
        """Asks for the whole list, or watches for changes after the last index."""
        self.cancel_present_call()
        whole_list = self.wants_full_list or self.server_list.index is None
        if whole_list:
            target, wait_us = TARGETS_PATH, 0
        else:
            target = b"%b?after=%d&wait_ms=%d" % (TARGETS_PATH, self.server_list.index, self.wait_ms)
            wait_us = self.wait_ms * MS
        grace_us = SUBSCRIBE_WATCH_GRACE_US if self.subscribe and wait_us else self.grace_us
        self.call = call = Call(self, self.calls, whole_list)
        self.calls += 1
        self.timer = self.loop.call_later(wait_us + grace_us, self.on_deadline, call)
        call.exchange = self.pool.request(self.address, b"GET", target, [], b"", call)

    def on_deadline(self, call):
        """The time for a call has run out."""
        if call is self.call:
            # Still arriving at a good rate: the list is long for this machine.
            coming = call.size >= MIN_PROGRESS_BYTES and self.grace_us < MAX_ANSWER_GRACE_US
            self.call = None
            self.late_calls.append(call)
            self.cancel_excess_call()
            self.retry("no answer in time")
            self.grace_us = 2 * self.grace_us if coming else self.default_grace_us

    def cancel_excess_call(self):
        """Cancels one late call if there are too many: the one that has brought the least, and of several the oldest. A call
        whose list comes slowly goes on, as a later one would come no faster."""
        if len(self.late_calls) > MAX_LATE_CALLS:
            call = min(self.late_calls, key=lambda late: late.size)
            call.cancel()
            self.late_calls.remove(call)

    def failed(self, call, why, rejected=False):
        """A call has failed. `rejected`: discovery answered that it is overloaded."""
        if call in self.late_calls:
            call.cancel()
            self.late_calls.remove(call)
        elif call is self.call:
            self.retry(why, rejected)

    def retry(self, why, rejected=False):
        """Schedules the next call."""
        self.cancel_present_call()
        pause_us = RETRY_DELAY_US
        if rejected and self.subscribe:
            pause_us = min(MAX_REJECTED_DELAY_US, REJECTED_DELAY_US << min(self.rejections, 8))
            pause_us -= crc32(b"%d/%d" % (self.seed, self.calls)) % (pause_us // 2)
            self.rejections += 1
        else:
            self.wants_full_list = True  # answered without waiting, and includes whatever this call has missed
        if not self.unavailable:
            self.unavailable = True
            self.log.warning("discovery silent", why=why, boxes=len(self.server_list.rows))
        self.timer = self.loop.call_later(pause_us, self.send_call)

    def answered(self, call, status, body):
        """Applies a complete answer and sends the next call."""
        is_late = call in self.late_calls
        if call is not self.call and not is_late:
            return
        if status in REJECTION_STATUSES:
            return self.failed(call, f"status {status}", rejected=True)
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            targets = decode_list(body)
            self.server_list.apply(targets, self.loop.clock.now_us())
        except (ValueError, msgspec.MsgspecError) as problem:
            return self.failed(call, f"can't be read: {problem}")
        self.cancel_late_calls(call.number + 1)
        if not is_late:
            self.grace_us = self.default_grace_us
        self.rejections = 0
        if self.unavailable:
            self.unavailable = False
            self.log.info("discovery heard", boxes=len(self.server_list.rows), late=is_late)
        # An unreadable change may concern any server; the whole list either shows it or no longer names it.
        self.wants_full_list = bool(self.server_list.faults) and not targets.snapshot
        self.server_list.log_faults(self.log)
        if targets.snapshot or targets.endpoints:
            self.on_list_change()
        # Behind a late answer a watch brings what has changed since; a watch that is open already does.
        if not is_late or self.call is None or self.call.whole_list:
            self.send_call()


class Call:
    """Collects the answer to one call, up to MAX_LIST_BYTES. Calls are numbered in the order in which they were sent."""

    def __init__(self, discovery, number, whole_list):
        self.discovery, self.number, self.whole_list = discovery, number, whole_list
        self.status, self.body, self.size, self.over = None, bytearray(), 0, False

    def cancel(self):
        """Ends the call without an answer."""
        self.over = True
        self.exchange.cancel()

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        self.size += len(data)
        if self.size <= MAX_LIST_BYTES:
            self.body += data

    def on_end(self):
        if not self.over:
            whole = self.size <= MAX_LIST_BYTES
            self.discovery.answered(self, self.status, bytes(self.body) if whole else b"")

    def on_fail(self, stage, why):
        if not self.over:
            self.discovery.failed(self, f"{stage}: {why}")
