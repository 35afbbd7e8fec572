"""Calls to the platform's model servers, with the same interface to the core as `engine.Engine`. The owner of an attempt gets
on_first, on_events and on_outcome as there; events are passed on as the bytes that the server sent."""

from typing import NamedTuple

import orjson

from lapiswing.engine.attempt import HttpAttempt
from lapiswing.http1.wire import get
from lapiswing.loop.byte_budget import ByteBudget
from lapiswing.node import release_targets
from lapiswing.node.names import DEADLINE, DECLINED, HEALTH_PATH, ID, IDEMPOTENCY_KEY, LOAD, LOAD_COMMENT, LOAD_PATH, ROOMS_PATH
from lapiswing.node.outcomes import of_failure, of_status, parse_load

MS = 1000
MAX_BODY_BYTES = 256 * 1024  # limit of the platform for any body
MAX_EVENT_BYTES = 65536
MAX_KEPT_BYTES = 32 << 20
END_MARK = b"data: [DONE]"
LINE_STARTS = (b"data: ", b":")  # of the lines that a stream may consist of
SETTLE_US = 20 * MS  # delay before a release, so that what was sent earlier has arrived
DEFAULT_RELEASE_US = 500 * MS  # time for a release if the settings give none
MAX_WAVES = 2 * release_targets.WAVES_IN_TIME  # a release that no server has answered by twice its time is given up
PROBE_US = 250 * MS


class ClientRequest(NamedTuple):
    """A client's request, passed on unchanged."""

    method: bytes
    target: bytes
    rid: bytes
    body: bytes
    key: bytes | None = None  # idempotency key, by which servers recognise a repeat

    @property
    def raw(self):  # the core passes this on to `Servers.start_attempt`
        return self


class ServerAttempt(HttpAttempt):
    """One attempt in flight: the request as sent to one server."""

    def __init__(self, servers, owner, server, name):
        super().__init__(owner, servers.kept)
        self.servers, self.server, self.name, self.begun = servers, server, name, False
        self.status = self.params = self.cached = self.answer = None
        self.end_mark_seen = False
        self.body, self.incomplete_block = bytearray(), b""

    # ---- handler of the HTTP exchange

    def on_head(self, status, fields):
        self.servers.record_answer(self.server)
        self.status = status
        self.report = parse_load(get(fields, LOAD), self.servers.load_names)
        self.code, self.remark = of_status(status, get(fields, DECLINED) == b"1")

    def on_body(self, data):
        if self.over:
            return
        self.received_bytes += len(data)
        if self.received_bytes > MAX_BODY_BYTES:
            return self.break_off("reset", "the body is too long")
        if self.code == "stream":
            self.take_events(data)
        else:
            self.body += data
        if not self.over:
            self.count_kept(len(self.body) + len(self.incomplete_block))

    def take_events(self, data):
        """Passes on the whole events of a stream."""
        if self.incomplete_block:
            data = self.incomplete_block + data
        end = data.rfind(b"\n\n") + 2
        if end < 2 or len(data) - end > MAX_EVENT_BYTES:
            if len(data) > MAX_EVENT_BYTES:
                return self.break_off("reset", "an event is too long")
            end = 0
        whole, self.incomplete_block = (data[:end], data[end:]) if end else (b"", data)
        events = 0
        for block in whole.split(b"\n\n")[:-1]:
            if not block:
                continue
            found = self.count_events(block)
            if found is None:
                return self.break_off("reset", "what came is no event")
            events += found
        if not may_begin_block(self.incomplete_block):
            return self.break_off("reset", "what came is no event")
        self.event_count += events
        if whole and not self.begun:
            self.body += whole
            if not events:
                return
            self.begun, whole, self.body = True, bytes(self.body), bytearray()
            self.owner.on_first(self)
            if self.over:
                return
        if whole:
            self.owner.on_events(self, (), (whole,))

    def count_events(self, block):
        """-> how many events the block contains, None if it is not a valid block of an event stream."""
        events = 0
        for line in block.split(b"\n"):
            if line[:1] == b":":
                if line.startswith(LOAD_COMMENT):
                    self.report = parse_load(line[len(LOAD_COMMENT) :], self.servers.load_names) or self.report
            elif line[:6] == b"data: " and self.end_mark_seen:
                return None
            elif line == END_MARK:
                self.end_mark_seen = True
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
                    except (AttributeError, OverflowError, TypeError, ValueError):
                        return None
                events += 1
            elif line:
                return None
        return events

    def on_end(self):
        if self.over:
            return
        if self.code == "stream":
            if self.incomplete_block and self.incomplete_block[:1] == b":":
                self.count_events(self.incomplete_block.rstrip(b"\n"))  # a final comment without a blank line after it
                self.incomplete_block = b""
            return self.finish("done" if self.begun and not self.incomplete_block else "reset")
        if self.code == "answered":
            self.answer = (self.status, bytes(self.body))
            return self.finish("done")
        if self.code == "read":
            try:
                self.remark = self.cached = int(orjson.loads(self.body)["cached_tokens"])
            except (KeyError, OverflowError, TypeError, ValueError):
                return self.finish("reset")  # the prefill may have run
            self.params = True
        self.finish(self.code)

    def on_fail(self, stage, why):
        self.why = f"{stage}: {why}"
        if stage == "connect":
            self.servers.record_silence(self.server)
        not_run = self.code == "full" and stage == "body"  # the head has already proved it
        self.finish("full" if not_run else of_failure(stage))


def may_begin_block(data):
    """Whether a block of an event stream may begin so. Empty lines may stand before it."""
    line = data.lstrip(b"\n")
    return any(line.startswith(start) or start.startswith(line) for start in LINE_STARTS)


class ControlCall:
    """A request without a body to a listed server. Calls `done(code, status, report, body)` once."""

    def __init__(self, servers, server, method, target, timeout_us, done):
        self.done, self.servers, self.server = done, servers, server
        self.status, self.report, self.body_parts, self.received_bytes = None, None, [], 0
        self.timer = servers.loop.call_later(timeout_us, self.on_timeout)
        self.exchange = servers.pool.request(servers.addresses[server], method, target, [], b"", self)

    def on_timeout(self):
        self.exchange.cancel()
        self.servers.record_silence(self.server)
        self.complete("timed_out")

    def cancel(self):
        """Ends the call; `done` is not called."""
        if self.done:
            self.exchange.cancel()
            self.timer.cancel()
            self.done = self.exchange = None

    def on_head(self, status, fields):
        self.servers.record_answer(self.server)
        self.status, self.report = status, parse_load(get(fields, LOAD), self.servers.load_names)

    def on_body(self, data):
        self.received_bytes += len(data)
        if self.received_bytes <= 4096:
            self.body_parts.append(data)

    def on_end(self):
        self.complete("done")

    def on_fail(self, stage, why):
        if stage == "connect":
            self.servers.record_silence(self.server)
        self.complete(of_failure(stage))

    def complete(self, code):
        """Ends the call and calls `done`, unless it was cancelled."""
        self.timer.cancel()
        done, self.done, self.exchange = self.done, None, None
        if done:
            done(code, self.status, self.report, b"".join(self.body_parts))


class Release:
    """Releases everything that servers hold for a request. Any running server will do, since each passes the release on;
    ReleaseTargets decides which ones to try and how many more while none answers. A call without an answer may have
    arrived."""

    def __init__(self, servers, server, name):
        self.servers, self.holder, self.target = servers, server, ROOMS_PATH + name
        self.tried, self.sent_calls, self.wave, self.timer = set(), [], 0, None
        servers.releasing += 1
        servers.loop.call_later(SETTLE_US, self.send_wave)

    def send_wave(self):
        """Calls some more servers and schedules the next wave."""
        if self.wave == MAX_WAVES or not self.servers.addresses:
            return self.end()
        self.timer = self.servers.loop.call_later(self.servers.release_us // release_targets.WAVES_IN_TIME, self.send_wave)
        for call in self.sent_calls[-release_targets.MAX_CALLS_PER_WAVE :]:
            if call.done:
                self.servers.record_silence(call.server)
        candidates = (self.servers.release_targets.all_targets if self.wave else self.servers.release_targets.first_targets)(
            self.holder
        )
        for _ in range(release_targets.calls_in_wave(self.wave)):
            self.send(candidates)
        self.wave += 1

    def send(self, candidates):
        """Calls the first candidate that was not tried yet."""
        servers = self.servers
        server = next((name for name in candidates if name not in self.tried), None)
        if server is None:  # all were tried; some may be reachable again
            self.tried.clear()
            server = candidates[0]
        self.tried.add(server)
        call = ControlCall(servers, server, b"DELETE", self.target, servers.release_us // 2, self.answered)
        self.sent_calls.append(call)

    def answered(self, code, status, _report, _body):
        if self.timer is None:
            return
        if code == "done" and status < 500:
            return self.end()
        if code not in ("timed_out", "moot"):  # refused or failed: another server at once, without waiting for the next wave
            self.servers.loop.soon(self.send_one_more)

    def send_one_more(self):
        if self.timer is not None and self.servers.addresses and len(self.tried) < len(self.servers.addresses):
            self.send(self.servers.release_targets.all_targets(self.holder))

    def end(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        for call in self.sent_calls:
            call.cancel()
        self.servers.releasing -= 1


class Servers:
    """The model servers of the current list, as the core sees them."""

    states_named_by_req = True  # servers name what they hold after the request

    def __init__(self, loop, pool, load_names, reports, targets, release_us=None, max_kept_bytes=MAX_KEPT_BYTES):
        """`reports`: whether servers report their load. `targets`: a ReleaseTargets. `release_us`: time for a release.
        `max_kept_bytes`: of answers that can't be passed on yet, over all attempts."""
        self.kept = ByteBudget(max_kept_bytes)
        self.loop, self.pool, self.load_names, self.reports = loop, pool, set(load_names), reports
        self.addresses, self.releasing, self.release_targets = {}, 0, targets
        self.release_us = release_us or DEFAULT_RELEASE_US

    def set_servers(self, addresses, zones):
        """Takes the current list: addresses and zones by name."""
        self.addresses = addresses
        self.release_targets.set_servers(zones)

    def record_answer(self, server):
        """A server has answered."""
        self.release_targets.record_answer(server, self.loop.clock.now_us())

    def record_silence(self, server):
        """A server has failed to answer or can't be connected to."""
        self.release_targets.record_silence(server, self.loop.clock.now_us())

    def state_name(self, gateway, rid, number=None):
        """-> the name under which servers hold a request's state."""
        return rid.encode()

    def start_attempt(self, owner, server, stage, raw, params, name, key, fresh, read_us=None, within_us=None, up_us=None):
        """Sends a request to a server. -> ServerAttempt. `within_us`: time left until the deadline, which is passed on to the
        server; `up_us`: time for a new connection."""
        attempt = ServerAttempt(self, owner, server, name)
        fields = [(ID, raw.rid), (b"content-type", b"application/json")]
        if raw.key is not None:
            fields.append((IDEMPOTENCY_KEY, raw.key))
        due_us = self.loop.clock.now_us() + (within_us or 0)

        def time_left():  # evaluated when the head is written, as connecting may have used part of the time
            return [(DEADLINE, b"%.3f" % (max(0, due_us - self.loop.clock.now_us()) / 1e6))]

        address = self.addresses.get(server)
        if address is None:
            attempt.exchange = UnlistedServerExchange(self.loop, attempt)
        else:
            attempt.exchange = self.pool.request(
                address, raw.method, raw.target, fields, raw.body, attempt, fresh, up_us, time_left
            )
        return attempt

    def release(self, server, name):
        """Releases what is held under a name, presumably by this server."""
        Release(self, server, name)

    def hold_place(self, server, name, tokens, done):
        """Reserves a place on a decode server. Calls `done(held)`: True, False or None if that is unknown."""
        if server not in self.addresses:
            return self.loop.soon(done, False)

        def on_result(code, status, _report, _body):
            refused = code in ("unreachable", "no_way", "moot") or code == "done" and status in (404, 409)
            done(True if code == "done" and status == 200 else False if refused else None)

        ControlCall(self, server, b"POST", ROOMS_PATH + name, 1000 * MS, on_result)

    def probe(self, server, done):
        """Checks whether a server answers. Calls `done(code, report)`."""
        if server not in self.addresses:
            return self.loop.soon(done, "unreachable", None)

        def on_result(code, status, report, body):
            succeeded = code == "done" and status == 200
            done(
                "done" if succeeded else "error" if code == "done" else code,
                report or (parse_load(body, self.load_names) if succeeded and self.reports else None),
            )

        ControlCall(self, server, b"GET", LOAD_PATH if self.reports else HEALTH_PATH, PROBE_US, on_result)


class UnlistedServerExchange:
    """Stands in for an exchange with a server that has just left the list; fails on the loop's next turn."""

    unsent, connected = True, False

    def __init__(self, loop, attempt):
        self.attempt = attempt
        loop.soon(self.fail)

    def fail(self):
        if self.attempt is not None:
            self.attempt.on_fail("connect", "the server is no longer listed")

    def cancel(self):
        self.attempt = None

    def pause(self):
        pass

    poll = resume = pause
