"""A stand-in model server ("box").

It reads prompts (prefill), holds read states, writes answers in steps (decode), and fails on demand.

The answer to a prompt is a sequence of words that depends only on the prompt, so that a test can recognize missing, repeated or
foreign parts of it. One word is one token."""

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

US_PER_MS = 1000
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
STATE_TIMEOUT_US = 8_000_000  # a read state that is neither fetched nor released is dropped after this
FETCH_TIMEOUT_US = 1_000_000
BYTES_PER_TOKEN = 4.0


@dataclass
class BoxSpec:
    """Settings of one server; the field names are those of a fleet file.

    Sizes are in tokens. A cold server (one that has just started) works slowly at first and fails under overload: it starts at
    the fraction `cold_from` of its speed and reaches full speed after `ramp_ms`. Until then it fails if, within `overload_ms`,
    more requests arrive than `fall_multiple` times what it can serve at its present speed, plus `slack`."""

    id: str
    role: str = "both"
    zone: str = "a"
    cell: str = "a"
    kind: str = ""
    read_per_s: float = 20000.0  # tokens per second
    read_queue: int = 48  # maximum number of requests that wait for a read
    slots: int = 64  # maximum number of requests that write at once
    queue: int = 32  # maximum number of requests that wait for a slot
    memory: int = 200000  # tokens of read states and running writes
    kept: int = 400000  # tokens in the prefix cache
    step_ms: float = 10.0  # duration of a step, which writes one token of each stream
    per_stream_ms: float = 0.1  # added to a step for each stream
    near_per_s: float = 300000.0  # tokens of a read state per second, from a server of the same cell
    far_times: float = 3.0  # factor on the transfer time between cells of a zone; twice this between zones
    rate: float = 10.0  # requests per second that it serves when warm
    cold_from: float = 0.3
    ramp_ms: float = 4000.0
    fall_multiple: float = 2.5
    overload_ms: float = 1000.0
    slack: float = 4.0
    state_bytes: int = 0  # bytes of a read state per token, sent by transfer agents; 0: transfers are simulated by a delay
    plain_moves: bool = False  # transfer agents without resumption and priorities, as a baseline for comparison
    started_ms: int = 0  # Unix time; 0: long ago
    listed: bool = True  # whether the lab's list contains it at the start
    up: bool = True


@dataclass
class Faults:
    """Faults of one server; the field names are those of the fault script."""

    slow: float = 1.0  # factor on the duration of reads and steps
    hang: bool = False  # accepts requests and never answers
    stall: bool = False  # running streams send nothing more
    filler: bytes = b""  # running streams send only this
    errors: float = 0.0  # fraction of the requests that is answered with 500 at once
    lost: float = 0.0  # fraction of the requests whose connection is reset after the work is done
    reset_at: int = 0  # the connection is reset after this many bytes of a stream
    garbage: str = ""  # what is sent in place of an answer: "bytes", "head" (endless), "line" (overlong) or "json" (malformed)
    refuse: bool = False  # 503 without the header that says that no work was done
    draining: bool = False
    # Faults of the link over which it sends read states to other servers:
    path_slow: float = 0.0  # bandwidth in bytes per second
    path_flip: float = 0.0  # fraction of the transmitted pieces in which a byte is corrupted
    path_cut: float = 0.0  # ms after which each connection is reset
    path_hold: bool = False  # drops all bytes and leaves the connections open


class Job:
    """One attempt of a request at this server.

    `name`: the request id. `lab`: the id of the client's call in a lab run, or None. `key`: the idempotency key or None."""

    def __init__(self, exchange, call, name, lab, key):
        self.exchange, self.call, self.name, self.lab, self.key = exchange, call, name, lab, key
        self.over = self.counted = False
        texts = call.texts
        last = call.raw["messages"][-1]
        self.done_words = 0  # words of the answer that the prompt already contains
        if call.raw.get("continue_final_message") and last.get("role") == "assistant":
            self.done_words = len((last.get("content") or "").split())
            self.seed = crc32("\0".join(texts[:-1]).encode())
        else:
            self.seed = crc32("\0".join(texts).encode())
        self.tokens = estimate_prompt_tokens(texts, BYTES_PER_TOKEN)
        requested_tokens = (call.raw.get("metadata") or {}).get("answer_tokens")
        self.length = int(requested_tokens) if requested_tokens else 12 + self.seed % 40
        self.finish_reason = "stop"
        if call.max_tokens is not None and call.max_tokens + self.done_words < self.length:
            self.length, self.finish_reason = call.max_tokens + self.done_words, "length"
        self.next_word, self.sent_bytes = self.done_words, 0

    def word(self, index):
        return answer_word(self.seed, index)


def make_state(seed, size):
    """The bytes of a read state: the seed of the answer, then pseudorandom bytes."""
    return seed.to_bytes(4, "big") + np.random.default_rng(seed).bytes(max(0, size - 4))


def answer_word(seed, index):
    """One word of the answer to the prompt with this seed."""
    return WORDS[crc32(b"%d/%d" % (seed, index)) % len(WORDS)] + " "


def answer_to(texts, length):
    """The answer of every stand-in to a prompt; an answer with missing or repeated tokens differs from it."""
    seed = crc32("\0".join(texts).encode())
    return "".join(answer_word(seed, index) for index in range(length))


class Box:
    """A stand-in model server with its port, queues, read states and faults."""

    def __init__(self, loop, spec, fleet, record, pool):
        self.loop, self.spec, self.fleet, self.record, self.pool = loop, spec, fleet, record, pool
        self.faults, self.random_draws = Faults(), 0
        self.host, _, port = spec.id.rpartition(":")
        self.port, self.listener, self.server = int(port), None, None
        self.started_us = 0
        # fell: failed under overload while cold; fetches: jobs whose read state is being fetched
        self.fell, self.fetches = False, set()
        self.reset()

    def reset(self):
        """Clears all state, as the start of a process does."""
        self.states, self.held_tokens, self.prefix_cache = {}, 0, OrderedDict()
        self.reading, self.waiting_reads, self.waiting_writes, self.running = None, deque(), deque(), []
        self.stepping, self.cold_arrivals_us, self.places = False, deque(), {}
        self.moves = {}  # job -> the fetch of its read state by the transfer agent

    def start_agent(self):
        """Starts the transfer agent, which sends read states to other servers over a relay with the faults of the script."""
        spec = self.spec
        self.agent = Agent(self.loop, spec.id, [b"stand-ins"], spec.memory * spec.state_bytes * 2, 65536, plain=spec.plain_moves)
        self.agent.on_taken = lambda name: self.drop_state(name, "taken")
        if self.started_us:
            self.agent.slow_start_until_us = self.started_us + round(spec.ramp_ms * US_PER_MS)
        self.relay = Relay(self.loop, self.agent.listen(self.host, 0))
        self.apply_link_faults()

    def apply_link_faults(self):
        """Sets the faults of the relay after a change of `faults`."""
        if self.relay is not None:
            faults, relay = self.faults, self.relay
            relay.rate, relay.flip_part, relay.cut_every_ms, relay.hold = (
                faults.path_slow or None,
                faults.path_flip,
                faults.path_cut or None,
                faults.path_hold,
            )

    agent = relay = None

    # ---- start and end

    def start(self, cold=False):
        """Listens on its port; `cold`: as a process that has just started."""
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
        """Ends as a killed process does: the port is closed, connections are reset."""
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
        """Records an event of this server."""
        self.record.put(ev, box=self.spec.id, **fields)

    def draw_random(self):
        """Returns a pseudorandom number in [0, 1), fixed by the fleet's seed, the server and the number of earlier draws."""
        self.random_draws += 1
        return crc32(f"{self.fleet.seed}/{self.spec.id}/{self.random_draws}".encode()) / 4294967296.0

    # ---- requests

    def load(self):
        """The load reported to gateways. x0: fraction of the memory in use; x1: thousands of tokens that wait for a read."""
        waiting = len(self.waiting_reads) + len(self.waiting_writes)
        inflight = waiting + len(self.running) + (self.reading is not None)
        return {
            "inflight": inflight,
            "queue": waiting,
            "x0": round(self.held_tokens / self.spec.memory, 3),
            "x1": round(sum(job.tokens for job in self.waiting_reads) / 1000, 3),
            "draining": float(self.faults.draining),
        }

    def load_header(self):
        return (b"x-load", ", ".join(f"{name}={value:g}" for name, value in self.load().items()).encode())

    def app(self, exchange):
        path, method = exchange.path, exchange.method
        if path == b"/v1/chat/completions" and method == b"POST":
            return self.chat(exchange)
        if path.startswith(b"/v1/states/"):
            name = path[11:].decode()
            return self.release_state(exchange, name) if method == b"DELETE" else self.give(exchange, name)
        if self.faults.hang:
            return None
        if path == b"/load":
            return exchange.json(200, self.load(), more=[self.load_header()])
        if path == b"/v1/places" and method == b"POST":
            body = orjson.loads(exchange.body)
            held = len(self.running) < self.spec.slots and not self.waiting_writes and self.fits(body["tokens"])
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
        job.arrived_us = self.loop.clock.now_us()
        exchange.on_left = lambda: self.abandon(job)
        self.count_cold(job)
        if self.listener is None:
            return None  # this request made it fail
        faults = self.faults
        if faults.hang:
            return None
        if faults.garbage:
            return self.send_garbage(job)
        if faults.errors and self.draw_random() < faults.errors:
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
            if len(self.waiting_writes) >= self.spec.queue:
                return self.refuse(job, b"full")
            self.waiting_writes.append(job)
            return self.begin_writes()
        if len(self.waiting_reads) >= self.spec.read_queue:
            return self.refuse(job, b"full")
        self.waiting_reads.append(job)
        self.begin_read()

    def refuse(self, job, why):
        """Rejects a request, with the header that says that no work was done."""
        self.end(job, "refused", why=why.decode())
        job.exchange.json(
            503, {"error": {"message": why.decode(), "type": "server_error"}}, more=[(b"x-refusal", why), self.load_header()]
        )

    def answer_error(self, job, status, why):
        self.end(job, "error")
        job.exchange.json(status, {"error": {"message": why, "type": "server_error"}}, more=[self.load_header()])

    def end(self, job, how, **more):
        """Records the end of a job, once."""
        if not job.over:
            job.over = True
            self.put("end", name=job.name, lab=job.lab, stage=job.stage, how=how, **more)

    def abandon(self, job):
        """Stops the waiting and running work of an attempt whose connection the gateway has closed."""
        if job.over:
            return
        self.end(job, "left")
        if job in self.waiting_reads:
            self.waiting_reads.remove(job)
        if job in self.waiting_writes:
            self.waiting_writes.remove(job)
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
        """Counts a request to a cold server, which fails if more arrived within the window than BoxSpec allows."""
        spec = self.spec
        if not self.started_us or self.fell:
            return
        now = self.loop.clock.now_us()
        age_us = now - self.started_us
        if age_us > spec.ramp_ms * US_PER_MS:
            return
        window_us = spec.overload_ms * US_PER_MS
        self.cold_arrivals_us.append(now)
        while self.cold_arrivals_us[0] < now - window_us:
            self.cold_arrivals_us.popleft()
        speed = spec.cold_from + (1 - spec.cold_from) * age_us / (spec.ramp_ms * US_PER_MS)
        budget = spec.fall_multiple * speed * spec.rate * spec.overload_ms / 1000 + spec.slack
        self.put("cold", part=round(len(self.cold_arrivals_us) / budget, 3))
        if len(self.cold_arrivals_us) > budget:
            self.fell = True
            self.put("fell", sent=len(self.cold_arrivals_us), budget=round(budget, 2))
            self.die()

    def relative_speed(self):
        """The present speed as a fraction of the full speed: less than 1 while it is cold."""
        if not self.started_us:
            return 1.0
        spec = self.spec
        age_us = self.loop.clock.now_us() - self.started_us
        return min(1.0, spec.cold_from + (1 - spec.cold_from) * age_us / (spec.ramp_ms * US_PER_MS))

    # ---- reading

    def begin_read(self):
        """Starts the next waiting read, if none runs and the memory suffices."""
        if self.reading is not None or not self.waiting_reads or not self.fits(self.waiting_reads[0].tokens):
            return
        job = self.reading = self.waiting_reads.popleft()
        job.cached_tokens = self.find_cached_tokens(job)
        duration_s = (job.tokens - job.cached_tokens) / self.spec.read_per_s / self.relative_speed() * self.faults.slow
        job.timer = self.loop.call_later(round(duration_s * 1e6) + 200, self.finish_read, job)

    def fits(self, tokens):
        """Whether the memory suffices; an empty server takes a request of any size."""
        return self.held_tokens + tokens <= self.spec.memory or self.held_tokens == 0

    def prefixes(self, job):
        """[(digest, tokens)] of the prompt up to the end of each text."""
        digest, tokens, prefixes = 0, 0, []
        for text in job.call.texts:
            digest = crc32(text.encode(), digest)
            tokens += estimate_prompt_tokens([text], BYTES_PER_TOKEN)
            prefixes.append((digest, tokens))
        return prefixes

    def find_cached_tokens(self, job):
        """The length of the longest cached prefix; at least one token is always read."""
        return min(
            max((tokens for digest, tokens in self.prefixes(job) if digest in self.prefix_cache), default=0), job.tokens - 1
        )

    def cache_prefixes(self, job):
        """Adds the prompt to the prefix cache and evicts the least recently used entries."""
        for digest, tokens in self.prefixes(job):
            self.prefix_cache[digest] = tokens
            self.prefix_cache.move_to_end(digest)
        while sum(self.prefix_cache.values()) > self.spec.kept and len(self.prefix_cache) > 1:
            self.prefix_cache.popitem(last=False)

    def flush(self, part):
        """Drops each entry of the prefix cache with probability `part`."""
        for digest in list(self.prefix_cache):
            if self.draw_random() < part:
                del self.prefix_cache[digest]

    def finish_read(self, job):
        """Ends a read: holds the read state and answers, or goes on to write for a request in one stage."""
        self.reading = None
        self.cache_prefixes(job)
        if job.stage == "direct":
            job.fetched = True
            self.waiting_writes.append(job)
            self.begin_read()
            return self.begin_writes()
        self.states[job.name] = (job.tokens, job.seed, job.lab)
        if self.agent is not None:
            self.agent.put(job.name, make_state(job.seed, job.tokens * self.spec.state_bytes))
        self.held_tokens += job.tokens
        self.put("state", name=job.name, lab=job.lab, tokens=job.tokens)
        self.loop.call_later(STATE_TIMEOUT_US, self.drop_state, job.name, "expired")
        if self.faults.lost and self.draw_random() < self.faults.lost:
            self.end(job, "lost")
            self.drop_state(job.name, "left")
            job.exchange.abort()
            return self.begin_read()
        self.end(job, "read", kept=job.cached_tokens)
        job.exchange.json(
            200,
            {
                "id": f"chatcmpl-{job.name}",
                "object": "chat.completion",
                "created": 0,
                "model": job.call.model,
                "choices": [
                    {"index": 0, "finish_reason": "length", "message": {"role": "assistant", "content": job.word(job.next_word)}}
                ],
                "usage": {
                    "prompt_tokens": job.tokens,
                    "completion_tokens": 1,
                    "total_tokens": job.tokens + 1,
                    "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
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

    # ---- read states

    def drop_state(self, name, how):
        """Frees a read state. Returns its (tokens, seed, lab), or None if it is not held here."""
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

    def release_state(self, exchange, name):
        """Answers a gateway's request to release a read state."""
        if name in self.states:
            self.put("release", name=name)
        if self.faults.hang:
            return
        known = self.drop_state(name, "released")
        exchange.json(200 if known else 404, {"released": bool(known)})

    def give(self, exchange, name):
        """Answers a writer that fetches a read state, which is no longer held here afterwards."""
        if self.faults.hang:
            return
        state = self.drop_state(name, "taken")
        if state is None:
            return exchange.json(404, {"error": {"message": "no such state", "type": "not_found"}})
        exchange.json(200, {"tokens": state[0], "seed": state[1]})

    # ---- writing

    def begin_writes(self):
        """Starts waiting writes while there are free slots and memory."""
        while self.waiting_writes and len(self.running) + len(self.fetches) < self.spec.slots:
            job = self.waiting_writes[0]
            if not self.fits(job.tokens):
                return
            self.waiting_writes.popleft()
            if job.stage == "direct":
                self.run(job)
            else:
                self.fetch(job)

    def fetch(self, job):
        """Fetches the read state of a job from the server that holds it, by the transfer agent if both have one."""
        self.fetches.add(job)
        params = job.params
        if params.get("transfer_port") and self.agent is not None:
            now = self.loop.clock.now_us()
            self.moves[job] = self.agent.fetch(
                params.get("remote_request_id"),
                [(params.get("remote_host"), params["transfer_port"])],
                now + 300 * US_PER_MS,
                now + 1500 * US_PER_MS,
                lambda move: self.on_move_ended(job, move),
                alternatives=self.move_alternatives(job),
            )
            return
        StateFetch(self, job, (params.get("remote_host"), params.get("remote_port")), params.get("remote_request_id"))

    def move_alternatives(self, job):
        """What the gateway could do instead of this transfer, each with the us until a read state would begin to move again."""
        read_ms = job.exchange.header(b"x-read-ms")
        return {"elsewhere": 20 * US_PER_MS} | ({"read anew": int(read_ms) * US_PER_MS} if read_ms else {})

    def on_move_ended(self, job, move):
        """Starts to write from the verified bytes of a read state, or rejects the job if the transfer failed."""
        self.moves.pop(job, None)
        if move.why is None:
            state = {"seed": int.from_bytes(move.memory[:4], "big")}
            self.put(
                "moved",
                name=job.name,
                lab=job.lab,
                ms=(self.loop.clock.now_us() - move.start_us) // US_PER_MS,
                breaks=move.breaks,
            )
            move.free()
        else:
            state = None
            self.put("not_moved", name=job.name, lab=job.lab, why=move.why, advice=move.advice)
        if state is not None and state["seed"] != job.seed:
            job.seed = state["seed"]  # with a wrong read state the answer is wrong as well
        self.fetches.discard(job)
        if job.over:
            return None
        if state is None:
            self.refuse(job, b"no-path" if move.advice == "elsewhere" else b"no-state")
        else:
            self.run(job)
        return self.begin_writes()

    def on_state_fetched(self, job, state):
        """Starts to write after the simulated transfer time, or rejects the job if its read state could not be fetched."""
        if job.over:
            self.fetches.discard(job)
            return
        if state is None or state.get("seed") != job.seed:
            self.fetches.discard(job)
            self.refuse(job, b"no-state")
            return self.begin_writes()
        spec, params = self.spec, job.params
        factor = (
            1
            if params.get("remote_cell") == spec.cell
            else spec.far_times
            if params.get("remote_zone") == spec.zone
            else spec.far_times * 2
        )
        self.loop.call_later(round(job.tokens / spec.near_per_s * factor * 1e6), self.finish_simulated_move, job)

    def finish_simulated_move(self, job):
        self.fetches.discard(job)
        if not job.over:
            self.run(job)
            self.begin_writes()

    def run(self, job):
        """Adds a job to those that get a token in each step."""
        repeat = False
        if job.key:
            repeat = self.fleet.repeat(self, job)
        self.put("repeat" if repeat else "ran", name=job.name, lab=job.lab, key=job.key, model=job.call.model)
        self.held_tokens += job.tokens
        job.id = f"chatcmpl-{job.name}"
        self.running.append(job)
        if not self.stepping:
            self.stepping = True
            self.schedule_step()

    def schedule_step(self):
        spec = self.spec
        duration_ms = (spec.step_ms + spec.per_stream_ms * len(self.running)) * self.faults.slow / self.relative_speed()
        self.loop.call_later(round(duration_ms * US_PER_MS), self.step)

    def step(self):
        """Writes one token of each running job."""
        if self.listener is None or not self.running:
            self.stepping = False
            return
        if self.faults.filler:
            for job in self.running:
                job.exchange.send(self.faults.filler)
        elif not self.faults.stall and not self.faults.hang:
            for job in list(self.running):
                self.write_token(job)
        self.schedule_step()

    def write_token(self, job):
        """Sends the next token of a job, or the end of its stream."""
        exchange = job.exchange
        if exchange.over or exchange.full:
            return
        if not exchange.begun:
            if self.faults.lost and self.draw_random() < self.faults.lost:
                self.end_write(job, "lost")
                return exchange.abort()
            exchange.begin(200, [(b"content-type", b"text/event-stream"), self.load_header()])
            self.put("first", name=job.name, lab=job.lab)
            if not job.done_words:
                exchange.send(self.chunk(job, {"role": "assistant", "content": ""}))
        if job.next_word < job.length:
            data = self.chunk(job, {"content": job.word(job.next_word)})
            exchange.send(data)
            job.next_word += 1
            job.sent_bytes += len(data)
            if self.faults.reset_at and job.sent_bytes >= self.faults.reset_at:
                self.end_write(job, "cut")
                self.loop.soon(exchange.abort)
            return
        exchange.send(self.chunk(job, {}, job.finish_reason))
        if job.call.include_usage:
            written_tokens = job.next_word - job.done_words
            exchange.send(
                encode_event(
                    {
                        **self.chunk_fields(job),
                        "choices": [],
                        "usage": {
                            "prompt_tokens": job.tokens,
                            "completion_tokens": written_tokens,
                            "total_tokens": job.tokens + written_tokens,
                        },
                    }
                )
            )
        exchange.send(DONE)
        self.end_write(job, "done")
        exchange.end()

    def end_write(self, job, how):
        """Removes a job from the running ones."""
        self.running.remove(job)
        self.held_tokens -= job.tokens
        self.end(job, how, tokens=job.next_word - job.done_words)
        self.loop.soon(self.begin_writes)

    def chunk_fields(self, job):
        """The fields that all chunks of a stream have in common."""
        return {"id": job.id, "object": "chat.completion.chunk", "created": 0, "model": job.call.model}

    def chunk(self, job, delta, finish=None):
        """One event of a stream."""
        return encode_event({**self.chunk_fields(job), "choices": [{"index": 0, "delta": delta, "finish_reason": finish}]})

    # ---- malformed answers

    def send_garbage(self, job):
        """Answers as the fault `garbage` says."""
        kind, stream = self.faults.garbage, job.exchange.conn.stream
        self.end(job, "garbage")
        if kind == "head":
            self.send_repeatedly(stream, b"HTTP/1.1 200 OK\r\n", b"x-more: " + b"a" * 1000 + b"\r\n")
        elif kind == "line":
            self.send_repeatedly(stream, b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ", b"a" * 65536, 1600)
        elif kind == "json":
            job.exchange.respond(200, b"[[[{", content_type=b"application/json" if job.stage == "read" else b"text/event-stream")
        else:
            stream.write(b"\x00\xff\x13 nothing that is HTTP \r\n\r\n")
            stream.close()

    def send_repeatedly(self, stream, first, part, count=100000):
        """Sends `first`, then `part` once a millisecond."""
        stream.write(first)

        def send_next(remaining):
            if not stream.closed and remaining:
                if not stream.full:
                    stream.write(part)
                self.loop.call_later(1000, send_next, remaining - 1)

        send_next(count)


class StateFetch:
    """Asks the server that holds a read state for it over HTTP."""

    def __init__(self, box, job, address, name):
        self.box, self.job, self.status, self.body_parts = box, job, None, []
        self.exchange = box.pool.request(
            (str(address[0]), int(address[1] or 0)), b"GET", f"/v1/states/{name}".encode(), [], b"", self
        )
        self.timer = box.loop.call_later(FETCH_TIMEOUT_US, self.on_timeout)

    def on_timeout(self):
        self.exchange.cancel()
        self.box.on_state_fetched(self.job, None)

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        self.body_parts.append(data)

    def on_end(self):
        self.timer.cancel()
        self.box.on_state_fetched(self.job, orjson.loads(b"".join(self.body_parts)) if self.status == 200 else None)

    def on_fail(self, stage, why):
        self.timer.cancel()
        self.box.on_state_fetched(self.job, None)
