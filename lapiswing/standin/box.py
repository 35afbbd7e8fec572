"""One stand-in box: reads prompts, holds read states, writes answers in steps, and fails on demand."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from zlib import crc32

import numpy as np
import orjson

from lapiswing.chat import DONE, InvalidCall, encode_event, estimate_prompt_tokens, parse_call
from lapiswing.chat.errors import error_body
from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket
from lapiswing.standin.relay import Relay
from lapiswing.transfer.agent import Agent

MS = 1000
WORDS = (
    "soup",
    "rice",
    "beans",
    "bread",
    "salad",
    "apple",
    "plum",
    "tea",
    "leek",
    "kale",
    "oats",
    "figs",
    "corn",
    "peas",
    "mint",
    "nuts",
)
STATE_KEPT_US = 8_000_000  # a state that nobody took or released goes by itself after this
BYTES_PER_TOKEN = 4.0


@dataclass
class BoxSpec:
    """Sizes are tokens, rates a second. `rate` is how many reqs a second it serves warm: what the cold rule counts in."""

    id: str
    role: str = "both"
    zone: str = "a"
    cell: str = "a"
    kind: str = ""
    read_per_s: float = 20000.0
    read_queue: int = 48
    slots: int = 64
    queue: int = 32
    memory: int = 200000
    kept: int = 400000
    step_ms: float = 10.0
    per_stream_ms: float = 0.1
    near_per_s: float = 300000.0
    far_times: float = 3.0
    rate: float = 10.0
    cold_from: float = 0.3
    ramp_ms: float = 4000.0
    fall_multiple: float = 2.5
    overload_ms: float = 1000.0
    slack: float = 4.0
    state_bytes: int = 0  # of a state for each token, moved by transfer agents; 0: states are moved in name only
    plain_moves: bool = False  # agents without resumption and order, to measure against
    started_ms: int = 0  # Unix; 0: long ago
    listed: bool = True  # whether the lab's list names it at the start
    up: bool = True


@dataclass
class Faults:
    slow: float = 1.0
    hang: bool = False  # takes requests and never answers
    stall: bool = False  # streams bring nothing more
    errors: float = 0.0  # part that is answered 500 at once
    lost: float = 0.0  # part whose answer is lost after the work
    reset_at: int = 0  # the connection is reset after so many bytes of a stream
    garbage: str = ""  # bytes, head, line, json: what comes in place of an answer
    refuse: bool = False  # 503 without proof
    draining: bool = False
    path_slow: float = 0.0  # bytes a second that what it sends to other boxes may have
    path_flip: float = 0.0  # part of the pieces of it in which a byte is flipped
    path_cut: float = 0.0  # ms after which each connection of it is cut
    path_hold: bool = False  # it brings nothing, and nobody is told


class Job:
    """One forward at this box."""

    def __init__(self, exchange, call, name, lab, key):
        self.exchange, self.call, self.name, self.lab, self.key = exchange, call, name, lab, key
        self.over = self.counted = False
        texts = call.texts
        last = call.raw["messages"][-1]
        self.done_words = 0
        if call.raw.get("continue_final_message") and last.get("role") == "assistant":
            self.done_words = len((last.get("content") or "").split())
            self.seed = crc32("\0".join(texts[:-1]).encode())
        else:
            self.seed = crc32("\0".join(texts).encode())
        self.tokens = estimate_prompt_tokens(texts, BYTES_PER_TOKEN)
        wanted = (call.raw.get("metadata") or {}).get("answer_tokens")
        self.length = int(wanted) if wanted else 12 + self.seed % 40
        self.stop = "stop"
        if call.max_tokens is not None and call.max_tokens + self.done_words < self.length:
            self.length, self.stop = call.max_tokens + self.done_words, "length"
        self.at, self.sent = self.done_words, 0

    def word(self, i):
        return word(self.seed, i)


def state_of(seed, size):
    """A state's bytes: its seed, then what chance makes of it."""
    return seed.to_bytes(4, "big") + np.random.default_rng(seed).bytes(max(0, size - 4))


def word(seed, i):
    return WORDS[crc32(b"%d/%d" % (seed, i)) % len(WORDS)] + " "


def answer_to(texts, length):
    """What every stand-in answers to a prompt; a gap or a doubled token shows against it."""
    seed = crc32("\0".join(texts).encode())
    return "".join(word(seed, i) for i in range(length))


class Box:
    def __init__(self, loop, spec, fleet, record, pool):
        self.loop, self.spec, self.fleet, self.record, self.pool = loop, spec, fleet, record, pool
        self.faults, self.draws = Faults(), 0
        self.host, _, port = spec.id.rpartition(":")
        self.port, self.listener, self.server = int(port), None, None
        self.started_us = 0
        self.fell, self.fetches = False, set()  # fetches: jobs whose state is on its way
        self.reset()

    def reset(self):
        """A start: nothing is kept."""
        self.states, self.held_tokens, self.kept = {}, 0, OrderedDict()
        self.reading, self.read_line, self.write_line, self.running = None, deque(), deque(), []
        self.stepping, self.arrivals, self.places = False, deque(), {}
        self.moves = {}  # job -> its fetch

    def start_agent(self):
        """Its states are real bytes, and go to other boxes over a relay that the fault script can spoil."""
        spec = self.spec
        self.agent = Agent(self.loop, spec.id, [b"stand-ins"], spec.memory * spec.state_bytes * 2, 65536, plain=spec.plain_moves)
        self.agent.on_taken = lambda name: self.drop_state(name, "taken")
        if self.started_us:
            self.agent.slow_start_until_us = self.started_us + round(spec.ramp_ms * MS)
        self.relay = Relay(self.loop, self.agent.listen(self.host, 0))
        self.spoil()

    def spoil(self):
        if self.relay is not None:
            f, r = self.faults, self.relay
            r.rate, r.flip_part, r.cut_every_ms, r.hold = f.path_slow or None, f.path_flip, f.path_cut or None, f.path_hold

    agent = relay = None

    # ---- life

    def start(self, cold=False):
        sock = listen_socket(self.host, self.port)
        self.port = sock.getsockname()[1]
        self.server = Server(self.loop, self.app, Limits(body_bytes=16 << 20, idle_us=60_000_000))
        self.listener = Listener(self.loop, sock, self.server.accept)
        self.server.listener = self.listener
        self.started_us = self.loop.clock.now_us() if cold else 0
        if self.spec.state_bytes:
            self.start_agent()
        self.put("up", cold=cold)

    def die(self):
        """As a killed process: the port is closed, connections are reset."""
        if self.listener is None:
            return
        self.put("down")
        self.listener.close()
        self.server.close()
        self.listener = self.server = None
        if self.agent is not None:
            self.agent.close()
            self.relay.close()
            self.agent = self.relay = None
        self.reset()

    def put(self, ev, **fields):
        self.record.put(ev, box=self.spec.id, **fields)

    def chance(self):
        self.draws += 1
        return crc32(f"{self.fleet.seed}/{self.spec.id}/{self.draws}".encode()) / 4294967296.0

    # ---- requests

    def load(self):
        waiting = len(self.read_line) + len(self.write_line)
        inflight = waiting + len(self.running) + (self.reading is not None)
        return {
            "inflight": inflight,
            "queue": waiting,
            "x0": round(self.held_tokens / self.spec.memory, 3),
            "x1": round(sum(j.tokens for j in self.read_line) / 1000, 3),
            "draining": float(self.faults.draining),
        }

    def load_header(self):
        return (b"x-load", ", ".join(f"{k}={v:g}" for k, v in self.load().items()).encode())

    def app(self, exchange):
        path, method = exchange.path, exchange.method
        if path == b"/v1/chat/completions" and method == b"POST":
            return self.chat(exchange)
        if path.startswith(b"/v1/states/"):
            name = path[11:].decode()
            return self.let_go(exchange, name) if method == b"DELETE" else self.give(exchange, name)
        if self.faults.hang:
            return None
        if path == b"/load":
            return exchange.json(200, self.load(), more=[self.load_header()])
        if path == b"/v1/places" and method == b"POST":
            body = orjson.loads(exchange.body)
            held = len(self.running) < self.spec.slots and not self.write_line and self.fits(body["tokens"])
            if held:
                self.places[body["request_id"]] = body["tokens"]
                self.put("place", name=body["request_id"])
            return exchange.json(200, {"held": held})
        if path == b"/v1/models":
            return exchange.json(200, {"object": "list", "data": [{"id": "stand-in", "object": "model"}]})
        exchange.json(404, {"error": {"message": "unknown path", "type": "invalid_request_error"}})

    def chat(self, exchange):
        name = (exchange.header(b"x-request-id") or b"").decode()
        key = (exchange.header(b"idempotency-key") or b"").decode() or None
        try:
            call = parse_call(exchange.body)
        except InvalidCall as problem:
            self.put("arrive", name=name, lab=None, stage="?", size=len(exchange.body))
            return exchange.respond(400, error_body(str(problem), "invalid_request_error", None, problem.param))
        lab = (call.raw.get("metadata") or {}).get("lab")
        job = Job(exchange, call, name, lab, key)
        params = call.raw.get("kv_transfer_params") or {}
        job.stage = "read" if params.get("do_remote_decode") else "write" if params.get("do_remote_prefill") else "direct"
        job.params = params
        self.put("arrive", name=name, lab=lab, stage=job.stage, key=key, model=call.model)
        job.t = self.loop.clock.now_us()
        exchange.on_left = lambda: self.left(job)
        self.count_cold(job)
        if self.listener is None:
            return None  # it fell over just now
        faults = self.faults
        if faults.hang:
            return None
        if faults.garbage:
            return self.garbage(job)
        if faults.errors and self.chance() < faults.errors:
            return self.answer_error(job, 500, "broken on purpose")
        if faults.refuse:
            return self.answer_error(job, 503, "no reason given")
        if faults.draining:
            return self.refuse(job, b"draining")
        if (job.stage == "read" and self.spec.role == "write") or (job.stage == "write" and self.spec.role == "read"):
            return self.refuse(job, b"no-state")
        if job.stage == "direct" and self.spec.role != "both":
            return self.refuse(job, b"no-state")
        if job.stage == "write":
            if len(self.write_line) >= self.spec.queue:
                return self.refuse(job, b"full")
            self.write_line.append(job)
            return self.begin_writes()
        if len(self.read_line) >= self.spec.read_queue:
            return self.refuse(job, b"full")
        self.read_line.append(job)
        self.begin_read()

    def refuse(self, job, why):
        self.end(job, "refused", why=why.decode())
        job.exchange.json(
            503, {"error": {"message": why.decode(), "type": "server_error"}}, more=[(b"x-refusal", why), self.load_header()]
        )

    def answer_error(self, job, status, why):
        self.end(job, "error")
        job.exchange.json(status, {"error": {"message": why, "type": "server_error"}}, more=[self.load_header()])

    def end(self, job, how, **more):
        if not job.over:
            job.over = True
            self.put("end", name=job.name, lab=job.lab, stage=job.stage, how=how, **more)

    def left(self, job):
        """The gateway has gone from this forward: waiting and running work stops."""
        if job.over:
            return
        self.end(job, "left")
        if job in self.read_line:
            self.read_line.remove(job)
        if job in self.write_line:
            self.write_line.remove(job)
        if job in self.running:
            self.running.remove(job)
            self.held_tokens -= job.tokens
        if job in self.moves:
            self.moves.pop(job).cancel()
            self.fetches.discard(job)
        if self.reading is job:
            self.reading = None
            job.timer.cancel()
            self.begin_read()
        self.drop_state(job.name, "left")
        self.begin_writes()

    def count_cold(self, job):
        """Falls over when it is pushed while cold: what is sent within a window against what it can do then."""
        s = self.spec
        if not self.started_us or self.fell:
            return
        now = self.loop.clock.now_us()
        age = now - self.started_us
        if age > s.ramp_ms * MS:
            return
        window = s.overload_ms * MS
        self.arrivals.append(now)
        while self.arrivals[0] < now - window:
            self.arrivals.popleft()
        level = s.cold_from + (1 - s.cold_from) * age / (s.ramp_ms * MS)
        budget = s.fall_multiple * level * s.rate * s.overload_ms / 1000 + s.slack
        self.put("cold", part=round(len(self.arrivals) / budget, 3))
        if len(self.arrivals) > budget:
            self.fell = True
            self.put("fell", sent=len(self.arrivals), budget=round(budget, 2))
            self.die()

    def level(self):
        if not self.started_us:
            return 1.0
        s = self.spec
        age = self.loop.clock.now_us() - self.started_us
        return min(1.0, s.cold_from + (1 - s.cold_from) * age / (s.ramp_ms * MS))

    # ---- reading

    def begin_read(self):
        if self.reading is not None or not self.read_line or not self.fits(self.read_line[0].tokens):
            return
        job = self.reading = self.read_line.popleft()
        job.kept = self.kept_of(job)
        took = (job.tokens - job.kept) / self.spec.read_per_s / self.level() * self.faults.slow
        job.timer = self.loop.call_later(round(took * 1e6) + 200, self.has_read, job)

    def fits(self, tokens):
        return self.held_tokens + tokens <= self.spec.memory or self.held_tokens == 0

    def chain(self, job):
        digest, tokens, out = 0, 0, []
        for text in job.call.texts:
            digest = crc32(text.encode(), digest)
            tokens += estimate_prompt_tokens([text], BYTES_PER_TOKEN)
            out.append((digest, tokens))
        return out

    def kept_of(self, job):
        return min(max((tokens for digest, tokens in self.chain(job) if digest in self.kept), default=0), job.tokens - 1)

    def keep(self, job):
        for digest, tokens in self.chain(job):
            self.kept[digest] = tokens
            self.kept.move_to_end(digest)
        while sum(self.kept.values()) > self.spec.kept and len(self.kept) > 1:
            self.kept.popitem(last=False)

    def flush(self, part):
        for digest in list(self.kept):
            if self.chance() < part:
                del self.kept[digest]

    def has_read(self, job):
        self.reading = None
        self.keep(job)
        if job.stage == "direct":
            job.fetched = True
            self.write_line.append(job)
            self.begin_read()
            return self.begin_writes()
        self.states[job.name] = (job.tokens, job.seed, job.lab)
        if self.agent is not None:
            self.agent.put(job.name, state_of(job.seed, job.tokens * self.spec.state_bytes))
        self.held_tokens += job.tokens
        self.put("state", name=job.name, lab=job.lab, tokens=job.tokens)
        self.loop.call_later(STATE_KEPT_US, self.drop_state, job.name, "expired")
        if self.faults.lost and self.chance() < self.faults.lost:
            self.end(job, "lost")
            self.drop_state(job.name, "left")
            job.exchange.abort()
            return self.begin_read()
        self.end(job, "read", kept=job.kept)
        job.exchange.json(
            200,
            {
                "id": f"chatcmpl-{job.name}",
                "object": "chat.completion",
                "created": 0,
                "model": job.call.model,
                "choices": [
                    {"index": 0, "finish_reason": "length", "message": {"role": "assistant", "content": job.word(job.at)}}
                ],
                "usage": {
                    "prompt_tokens": job.tokens,
                    "completion_tokens": 1,
                    "total_tokens": job.tokens + 1,
                    "prompt_tokens_details": {"cached_tokens": job.kept},
                },
                "kv_transfer_params": {
                    "do_remote_prefill": True,
                    "do_remote_decode": False,
                    "remote_engine_id": self.spec.id,
                    "remote_block_ids": [job.seed % 65536],
                    "remote_host": self.host,
                    "remote_port": self.port,
                    "remote_request_id": job.name,
                    "remote_cell": self.spec.cell,
                    "transfer_port": self.relay.address[1] if self.relay else None,
                    "remote_zone": self.spec.zone,
                },
            },
            more=[self.load_header()],
        )
        self.begin_read()

    # ---- states

    def drop_state(self, name, how):
        state = self.states.pop(name, None)
        if state is None:
            return None
        self.held_tokens -= state[0]
        if self.agent is not None:
            self.agent.drop(name)
        self.put("let_go", name=name, lab=state[2], how=how)
        self.begin_read()
        self.begin_writes()
        return state

    def let_go(self, exchange, name):
        if name in self.states:
            self.put("release", name=name)
        if self.faults.hang:
            return
        known = self.drop_state(name, "released")
        exchange.json(200 if known else 404, {"released": bool(known)})

    def give(self, exchange, name):
        """A writer fetches a state; it is then only there."""
        if self.faults.hang:
            return
        state = self.drop_state(name, "taken")
        if state is None:
            return exchange.json(404, {"error": {"message": "no such state", "type": "not_found"}})
        exchange.json(200, {"tokens": state[0], "seed": state[1]})

    # ---- writing

    def begin_writes(self):
        while self.write_line and len(self.running) + len(self.fetches) < self.spec.slots:
            job = self.write_line[0]
            if not self.fits(job.tokens):
                return
            self.write_line.popleft()
            if job.stage == "direct":
                self.run(job)
            else:
                self.fetch(job)

    def fetch(self, job):
        self.fetches.add(job)
        p = job.params
        if p.get("transfer_port") and self.agent is not None:
            now = self.loop.clock.now_us()
            self.moves[job] = self.agent.fetch(
                p.get("remote_request_id"),
                [(p.get("remote_host"), p["transfer_port"])],
                now + 300 * MS,
                now + 1500 * MS,
                lambda move: self.has_moved(job, move),
                alternatives=self.offers(job),
            )
            return
        Fetch(self, job, (p.get("remote_host"), p.get("remote_port")), p.get("remote_request_id"))

    def offers(self, job):
        """What its gateway could do instead of this move, and how long that takes before a state begins to move again."""
        read_ms = job.exchange.header(b"x-read-ms")
        return {"elsewhere": 20 * MS} | ({"read anew": int(read_ms) * MS} if read_ms else {})

    def has_moved(self, job, move):
        """A state is here, verified, or can't be had. What is written comes from its bytes."""
        self.moves.pop(job, None)
        if move.why is None:
            state = {"seed": int.from_bytes(move.memory[:4], "big")}
            self.put("moved", name=job.name, lab=job.lab, ms=(self.loop.clock.now_us() - move.start_us) // MS, breaks=move.breaks)
            move.free()
        else:
            state = None
            self.put("not_moved", name=job.name, lab=job.lab, why=move.why, advice=move.advice)
        if state is not None and state["seed"] != job.seed:
            job.seed = state["seed"]  # a wrong state: its answer shows it
        self.fetches.discard(job)
        if job.over:
            return None
        if state is None:
            self.refuse(job, b"no-path" if move.advice == "elsewhere" else b"no-state")
        else:
            self.run(job)
        return self.begin_writes()

    def fetched(self, job, state):
        if job.over:
            self.fetches.discard(job)
            return
        if state is None or state.get("seed") != job.seed:
            self.fetches.discard(job)
            self.refuse(job, b"no-state")
            return self.begin_writes()
        s, p = self.spec, job.params
        times = 1 if p.get("remote_cell") == s.cell else s.far_times if p.get("remote_zone") == s.zone else s.far_times * 2
        self.loop.call_later(round(job.tokens / s.near_per_s * times * 1e6), self.moved, job)

    def moved(self, job):
        self.fetches.discard(job)
        if not job.over:
            self.run(job)
            self.begin_writes()

    def run(self, job):
        repeat = False
        if job.key:
            repeat = self.fleet.repeat(self, job)
        self.put("repeat" if repeat else "ran", name=job.name, lab=job.lab, key=job.key, model=job.call.model)
        self.held_tokens += job.tokens
        job.id = f"chatcmpl-{job.name}"
        self.running.append(job)
        if not self.stepping:
            self.stepping = True
            self.step_later()

    def step_later(self):
        s = self.spec
        ms = (s.step_ms + s.per_stream_ms * len(self.running)) * self.faults.slow / self.level()
        self.loop.call_later(round(ms * MS), self.step)

    def step(self):
        if self.listener is None or not self.running:
            self.stepping = False
            return
        if not self.faults.stall and not self.faults.hang:
            for job in list(self.running):
                self.token(job)
        self.step_later()

    def token(self, job):
        exchange = job.exchange
        if exchange.over or exchange.full:
            return
        if not exchange.begun:
            if self.faults.lost and self.chance() < self.faults.lost:
                self.stop(job, "lost")
                return exchange.abort()
            exchange.begin(200, [(b"content-type", b"text/event-stream"), self.load_header()])
            self.put("first", name=job.name, lab=job.lab)
            if not job.done_words:
                exchange.send(self.chunk(job, {"role": "assistant", "content": ""}))
        if job.at < job.length:
            part = self.chunk(job, {"content": job.word(job.at)})
            exchange.send(part)
            job.at += 1
            job.sent += len(part)
            if self.faults.reset_at and job.sent >= self.faults.reset_at:
                self.stop(job, "cut")
                self.loop.soon(exchange.abort)
            return
        exchange.send(self.chunk(job, {}, job.stop))
        if job.call.include_usage:
            made = job.at - job.done_words
            exchange.send(
                encode_event(
                    {
                        **self.frame(job),
                        "choices": [],
                        "usage": {"prompt_tokens": job.tokens, "completion_tokens": made, "total_tokens": job.tokens + made},
                    }
                )
            )
        exchange.send(DONE)
        self.stop(job, "done")
        exchange.end()

    def stop(self, job, how):
        self.running.remove(job)
        self.held_tokens -= job.tokens
        self.end(job, how, tokens=job.at - job.done_words)
        self.loop.soon(self.begin_writes)

    def frame(self, job):
        return {"id": job.id, "object": "chat.completion.chunk", "created": 0, "model": job.call.model}

    def chunk(self, job, delta, finish=None):
        return encode_event({**self.frame(job), "choices": [{"index": 0, "delta": delta, "finish_reason": finish}]})

    # ---- what no server should say

    def garbage(self, job):
        kind, stream = self.faults.garbage, job.exchange.conn.stream
        self.end(job, "garbage")
        if kind == "head":
            self.pour(stream, b"HTTP/1.1 200 OK\r\n", b"x-more: " + b"a" * 1000 + b"\r\n")
        elif kind == "line":
            self.pour(stream, b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ", b"a" * 65536, 1600)
        elif kind == "json":
            job.exchange.respond(200, b"[[[{", content_type=b"application/json" if job.stage == "read" else b"text/event-stream")
        else:
            stream.write(b"\x00\xff\x13 nothing that is HTTP \r\n\r\n")
            stream.close()

    def pour(self, stream, first, part, times=100000):
        stream.write(first)

        def more(left):
            if not stream.closed and left:
                if not stream.full:
                    stream.write(part)
                self.loop.call_later(1000, more, left - 1)

        more(times)


class Fetch:
    """Asks a state's holder for it."""

    def __init__(self, box, job, address, name):
        self.box, self.job, self.status, self.parts = box, job, None, []
        self.exchange = box.pool.request(
            (str(address[0]), int(address[1] or 0)), b"GET", f"/v1/states/{name}".encode(), [], b"", self
        )
        self.timer = box.loop.call_later(1_000_000, self.late)

    def late(self):
        self.exchange.cancel()
        self.box.fetched(self.job, None)

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        self.parts.append(data)

    def on_end(self):
        self.timer.cancel()
        self.box.fetched(self.job, orjson.loads(b"".join(self.parts)) if self.status == 200 else None)

    def on_fail(self, stage, why):
        self.timer.cancel()
        self.box.fetched(self.job, None)
