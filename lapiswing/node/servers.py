"""What is said to model servers, with the same face to the core as `engine.Engine`. A forward's owner hears
on_first, on_events and on_outcome as there; events come as the bytes that the server sent."""

from typing import NamedTuple

import orjson

from lapiswing.engine.attempt import HttpAttempt
from lapiswing.http1.wire import get
from lapiswing.node import release_targets
from lapiswing.node.names import DEADLINE, DECLINED, HEALTHY, ID, IDEMPOTENCY_KEY, LOAD, LOAD_LINE, LOADED, ROOMS
from lapiswing.node.outcomes import load_of, of_failure, of_status

MS = 1000
MOST = 256 * 1024  # bytes of any body on this platform
EVENT = 65536  # bytes of one event
STALL_US = 3000 * MS  # the rest of a begun chunk is on its way; one that takes longer is no chunk
SETTLE_US = 20 * MS  # what was sent before a release has arrived by then
LET_GO_US = 500 * MS  # where the settings name no time for it
WAVES = 2 * release_targets.PARTS  # what no server has heard by twice that time is given up
PROBE_US = 250 * MS


class Ask(NamedTuple):
    """A client's request, as it goes on unchanged."""

    method: bytes
    target: bytes
    rid: bytes
    body: bytes
    key: bytes | None = None  # by which servers know a repeat

    @property
    def raw(self):  # what the core passes on of a call
        return self


class Forward(HttpAttempt):
    """One forward that is out."""

    def __init__(self, servers, owner, server, name):
        super().__init__(owner)
        self.servers, self.server, self.name, self.begun = servers, server, name, False
        self.status = self.timer = self.params = self.cached = self.answer = None
        self.size, self.parts, self.rest = 0, [], b""

    def end(self):
        self.drop_timer()
        return super().end()

    def drop_timer(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # handler of the exchange

    def on_head(self, status, fields):
        self.servers.heard(self.server)
        self.status = status
        self.report = load_of(get(fields, LOAD), self.servers.load_names)
        self.code, self.remark = of_status(status, get(fields, DECLINED) == b"1")

    def on_body(self, data):
        if self.over:
            return
        self.size += len(data)
        if self.size > MOST:
            return self.break_off("reset")
        if self.code != "stream":
            return self.parts.append(data)
        if self.rest:
            data = self.rest + data
        end = data.rfind(b"\n\n") + 2
        if end < 2 or len(data) - end > EVENT:
            if len(data) > EVENT:
                return self.break_off("reset")
            end = 0
        whole, self.rest = (data[:end], data[end:]) if end else (b"", data)
        events = 0
        for block in whole.split(b"\n\n")[:-1]:
            said = self.look(block)
            if said is None:
                return self.break_off("reset")
            events += said
        if whole and not self.begun:
            self.parts.append(whole)
            if not events:
                return
            self.begun, whole, self.parts = True, b"".join(self.parts), []
            self.owner.on_first(self)
            if self.over:
                return
        if whole:
            self.owner.on_events(self, (), (whole,))
        self.watch()

    def watch(self):
        """Guards against a chunk whose size was a lie: nothing more comes, and the connection stays open. Could
        harm where a network stops for this long in the middle of a chunk."""
        if not self.over and self.exchange.in_chunk != (self.timer is not None):
            self.drop_timer()
            if self.exchange.in_chunk:
                self.timer = self.servers.loop.call_later(STALL_US, self.stalled, self.size)

    def stalled(self, size):
        self.timer = None
        if self.over:
            return
        if self.size == size:
            return self.break_off("reset")
        self.watch()

    def look(self, block):
        """-> how many events the block says, None where it is no block of a stream."""
        events = 0
        for line in block.split(b"\n"):
            if line[:1] == b":":
                if line.startswith(LOAD_LINE):
                    self.report = load_of(line[len(LOAD_LINE) :], self.servers.load_names) or self.report
            elif line == b"data: [DONE]":
                events += 1
            elif line[:6] == b"data: ":
                try:
                    value = orjson.loads(line[6:])
                except ValueError:
                    return None
                if not isinstance(value, dict):
                    return None
                if value.get("usage"):
                    try:
                        details = value["usage"].get("prompt_tokens_details") or {}
                        self.remark = self.cached = int(details.get("cached_tokens") or 0)
                    except (AttributeError, TypeError, ValueError):
                        return None
                events += 1
            elif line:
                return None
        return events

    def on_end(self):
        if self.over:
            return
        if self.code == "stream":
            if self.rest and self.rest[:1] == b":":
                self.look(self.rest.rstrip(b"\n"))  # a last comment without an empty line
                self.rest = b""
            return self.finish("done" if self.begun and not self.rest else "reset")
        if self.code == "answered":
            self.answer = (self.status, b"".join(self.parts))
            return self.finish("done")
        if self.code == "read":
            try:
                self.remark = self.cached = int(orjson.loads(b"".join(self.parts))["cached_tokens"])
            except (ValueError, TypeError, KeyError):
                return self.finish("reset")  # it may have read
            self.params = True
        self.finish(self.code)

    def on_fail(self, stage, why):
        if stage == "connect":
            self.servers.silent(self.server)
        proved = self.code == "full" and stage == "body"  # the head has proved it
        self.finish("full" if proved else of_failure(stage))


class ControlCall:
    """A call without a body, to a server of the list. `done(code, status, report, body)`, once."""

    def __init__(self, servers, server, method, target, timeout_us, done):
        self.done, self.servers, self.server = done, servers, server
        self.status, self.report, self.parts, self.size = None, None, [], 0
        self.timer = servers.loop.call_later(timeout_us, self.late)
        self.exchange = servers.pool.request(servers.addresses[server], method, target, [], b"", self)

    def late(self):
        self.exchange.cancel()
        self.servers.silent(self.server)
        self.tell("timed_out")

    def cancel(self):
        """Nobody waits for it any more; nothing is told."""
        if self.done:
            self.exchange.cancel()
            self.timer.cancel()
            self.done = self.exchange = None

    def on_head(self, status, fields):
        self.servers.heard(self.server)
        self.status, self.report = status, load_of(get(fields, LOAD), self.servers.load_names)

    def on_body(self, data):
        self.size += len(data)
        if self.size <= 4096:
            self.parts.append(data)

    def on_end(self):
        self.tell("done")

    def on_fail(self, stage, why):
        if stage == "connect":
            self.servers.silent(self.server)
        self.tell(of_failure(stage))

    def tell(self, code):
        self.timer.cancel()
        done, self.done, self.exchange = self.done, None, None
        if done:
            done(code, self.status, self.report, b"".join(self.parts))


class Release:
    """Lets go of all that is held for a req. Any server that runs will do, since each of them passes it on; `reach`
    knows whom to try first and how many more while none answers. What was sent and not answered may have arrived."""

    def __init__(self, servers, server, name):
        self.servers, self.holder, self.target = servers, server, ROOMS + name
        self.tried, self.out, self.wave, self.timer = set(), [], 0, None
        servers.releasing += 1
        servers.loop.call_later(SETTLE_US, self.go)

    def go(self):
        if self.wave == WAVES or not self.servers.addresses:
            return self.end()
        self.timer = self.servers.loop.call_later(self.servers.let_go_us // release_targets.PARTS, self.go)
        for call in self.out[-release_targets.AT_ONCE :]:
            if call.done:
                self.servers.silent(call.server)
        line = (self.servers.reach.order if self.wave else self.servers.reach.first)(self.holder)
        for _ in range(release_targets.more_at(self.wave)):
            self.send(line)
        self.wave += 1

    def send(self, line):
        servers = self.servers
        server = next((n for n in line if n not in self.tried), None)
        if server is None:  # all were tried; some may be back
            self.tried.clear()
            server = line[0]
        self.tried.add(server)
        call = ControlCall(servers, server, b"DELETE", self.target, servers.let_go_us // 2, self.answered)
        self.out.append(call)

    def answered(self, code, status, _report, _body):
        if self.timer is None:
            return
        if code == "done" and status < 500:
            return self.end()
        if code not in ("timed_out", "moot"):  # refused or broken: another one at once, within this part's number
            self.servers.loop.soon(self.again)

    def again(self):
        if self.timer is not None and self.servers.addresses and len(self.tried) < len(self.servers.addresses):
            self.send(self.servers.reach.order(self.holder))

    def end(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        for call in self.out:
            call.cancel()
        self.servers.releasing -= 1


class Servers:
    states_named_by_req = True  # what is held has its req's name

    def __init__(self, loop, pool, load_names, reports, whom, let_go_us=None):
        """`whom`: a ReleaseTargets. `let_go_us`: the time there is to let go of what is held."""
        self.loop, self.pool, self.load_names, self.reports = loop, pool, set(load_names), reports
        self.addresses, self.releasing, self.reach = {}, 0, whom
        self.let_go_us = let_go_us or LET_GO_US

    def listed(self, addresses, zones):
        """The list as it stands, by name."""
        self.addresses = addresses
        self.reach.listed(zones)

    def heard(self, server):
        self.reach.heard(server, self.loop.clock.now_us())

    def silent(self, server):
        self.reach.silent(server, self.loop.clock.now_us())

    def state_name(self, gateway, rid, number=None):
        return rid.encode()

    def start_attempt(self, owner, server, stage, raw, params, name, key, fresh, read_us=None, within_us=None, up_us=None):
        forward = Forward(self, owner, server, name)
        fields = [(ID, raw.rid), (b"content-type", b"application/json")]
        if raw.key is not None:
            fields.append((IDEMPOTENCY_KEY, raw.key))
        due_us = self.loop.clock.now_us() + (within_us or 0)

        def time_left():  # as the head is written: a connection that comes up late has used some of it
            return [(DEADLINE, b"%.3f" % (max(0, due_us - self.loop.clock.now_us()) / 1e6))]

        address = self.addresses.get(server)
        if address is None:
            forward.exchange = Nowhere(self.loop, forward)
        else:
            forward.exchange = self.pool.request(
                address, raw.method, raw.target, fields, raw.body, forward, fresh, up_us, time_left
            )
        return forward

    def release(self, server, name):
        Release(self, server, name)

    def hold_place(self, server, name, tokens, done):
        if server not in self.addresses:
            return self.loop.soon(done, False)

        def told(code, status, _report, _body):
            refused = code in ("unreachable", "no_way", "moot") or code == "done" and status in (404, 409)
            done(True if code == "done" and status == 200 else False if refused else None)

        ControlCall(self, server, b"POST", ROOMS + name, 1000 * MS, told)

    def probe(self, server, done):
        if server not in self.addresses:
            return self.loop.soon(done, "unreachable", None)

        def told(code, status, report, body):
            good = code == "done" and status == 200
            done(
                "done" if good else "error" if code == "done" else code,
                report or (load_of(body, self.load_names) if good and self.reports else None),
            )

        ControlCall(self, server, b"GET", LOADED if self.reports else HEALTHY, PROBE_US, told)


class Nowhere:
    """In place of an exchange with a server that has left the list meanwhile."""

    in_chunk, unsent = False, True

    def __init__(self, loop, forward):
        self.forward = forward
        loop.soon(self.fail)

    def fail(self):
        if self.forward is not None:
            self.forward.on_fail("connect", "it has left")

    def cancel(self):
        self.forward = None

    def pause(self):
        pass

    resume = pause
