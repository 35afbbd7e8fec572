"""The doing part: an agent beside a box serves its states to other agents, and fetches states for it.

    agent = Agent(loop, "box-1", keys)             # keys: bytes, the first is used, all are accepted
    agent.listen("127.0.0.1", 9100)
    agent.put("state-17", memory)                  # from now on it is served
    agent.fetch("state-17", [("10.0.0.4", 9100)], due_us, expires_us, done)

See `fetch.Fetch` for what `done` gets."""

from lapiswing.loop import Listener, connect, listen_socket
from lapiswing.loop.stream import Stream
from lapiswing.transfer import decide
from lapiswing.transfer.fetch import Fetch
from lapiswing.transfer.peers import Link, Server
from lapiswing.transfer.states import Descriptor, FileState, MemoryState, Summing

MS = 1000
CHUNK = 1 << 20
SWEEP_US = 50 * MS
COUNTS = (
    "chunks sent",
    "chunks received",
    "bytes sent",
    "bytes received",
    "corrupt chunks",
    "bad frames",
    "breaks",
    "stalls",
    "words lost",
    "resumed",
    "started over",
    "chunks found again",
    "left for another way",
    "done",
    "failed",
    "not authenticated",
)


class Agent:
    def __init__(self, loop, name, keys=(), memory_bytes=1 << 30, chunk=CHUNK, log=None, plain=False, tls=None):
        """`plain` is the baseline to measure against: first come first served, and no resumption. `tls` has `server()` and
        `client()`, each giving what Listener and connect take as `make`."""
        self.plain, self.tls = plain, tls
        self.loop, self.name, self.keys, self.memory_bytes, self.chunk = loop, name, list(keys), memory_bytes, chunk
        self.states, self.servers, self.links, self.waiting, self.fetches = {}, set(), {}, {}, set()
        self.spare = []  # buffers that were given back
        self.windows, self.used_bytes, self.listener, self.on_taken = {}, 0, None, None
        self.paths, self.held_back, self.slow_start_until_us = decide.Paths(), [], 0
        self.log = log or (lambda event, **fields: None)
        self.counts = dict.fromkeys(COUNTS, 0)
        self.dialling = {}
        self.timer = loop.call_later(SWEEP_US, self.sweep)

    def kept(self):
        return sum(map(len, self.spare))

    # ---- serving

    def listen(self, host, port):
        """-> the address. Raises OSError."""
        self.listener = Listener(self.loop, listen_socket(host, port), self.accept, make_stream=self.make_server)
        return self.listener.address

    def make_server(self, *args, **more):
        return (self.tls.server() if self.tls else Stream)(*args, **more)  # asked each time: certificates are changed

    def accept(self, stream, _peer):
        self.servers.add(Server(self, stream))

    def put(self, name, memory):
        """Serves a state; its memory must not change any more."""
        return self.add(MemoryState(name, memory, self.chunk))

    def put_file(self, name, path, done, manifest=None):
        """Serves a file, which must not change any more. Its bytes are summed in slices, then `done(state, None)`, or
        `done(None, why)`; with `manifest` a file that does not fit it is refused."""
        try:
            file = Descriptor(path)
            summing = Summing(name, file, manifest.chunk if manifest else self.chunk)
        except (OSError, ValueError) as problem:
            return self.loop.soon(done, None, str(problem))
        self.loop.soon(self.sum_on, summing, manifest, done)

    def sum_on(self, summing, wanted, done):
        try:
            manifest = summing.step()
        except (OSError, ValueError) as problem:
            return done(None, str(problem))
        if manifest is None:
            return self.loop.soon(self.sum_on, summing, wanted, done)
        if wanted is not None and wanted.root != manifest.root:
            return done(None, "its bytes do not fit its manifest")
        return done(self.add(FileState(summing.name, summing.file, manifest)), None)

    def add(self, state):
        self.drop(state.name)  # another under the same name is no longer to be had
        self.states[state.name] = state
        return state

    def adopt(self, fetch):
        """Serves what was fetched into a file: it is verified, and is not summed again. Raises OSError."""
        state = FileState(fetch.name, Descriptor(fetch.path), fetch.receiver.manifest)
        fetch.free()
        self.used_bytes += state.manifest.length
        state.counted = True
        return self.add(state)

    def drop(self, name):
        """Lets go of a state, also while it is being sent."""
        state = self.states.pop(name, None)
        if state is not None:
            if state.counted:
                self.used_bytes -= state.manifest.length
            for server in list(self.servers):
                server.dropped(state)
            state.close()
        return state is not None

    # ---- fetching

    def fetch(self, name, holders, due_us, expires_us, done, priority=5, alternatives=None, folder=None, keep=False):
        """`alternatives`: see decide.other_ways. `folder`: it lands in a file there; with `keep`, what was verified stays there
        when the fetch fails, or when this agent ends."""
        fetch = Fetch(self, name, holders, due_us, expires_us, done, priority, alternatives, folder, keep)
        self.fetches.add(fetch)
        self.held_back.append(fetch)
        self.admit()
        return fetch

    def admit(self):
        """Starts what waits; not all of it while this box has just started."""
        cold = self.loop.clock.now_us() < self.slow_start_until_us and not self.plain
        running = len(self.fetches) - len(self.held_back)
        if cold:
            self.held_back.sort(key=lambda f: f.due_us)
        for _ in range(decide.admit(running, len(self.held_back), cold)):
            self.loop.soon(self.held_back.pop(0).start)

    def ended(self, fetch):
        self.fetches.discard(fetch)
        if fetch in self.held_back:
            self.held_back.remove(fetch)
        if self.held_back:
            self.loop.soon(self.admit)

    def attach_to_holder(self, holder, fetch):
        """The fetch goes on over the link to a holder, which is opened where there is none."""
        link = self.links.get(holder)
        if link is not None and not link.stream.closed and link.ready:
            return fetch.on_link_ready(link)
        self.waiting.setdefault(holder, []).append(fetch)
        if link is None and holder not in self.dialling:
            self.dialling[holder] = connect(
                self.loop,
                holder,
                1_000_000,
                lambda s, why: self.connected(holder, s, why),
                self.tls.client() if self.tls else Stream,
            )
        return None

    def connected(self, holder, stream, why):
        self.dialling.pop(holder, None)
        if stream is not None:
            self.links[holder] = Link(self, holder, stream)
            return
        for fetch in self.waiting.pop(holder, []):
            fetch.on_link_failed(holder, why)

    def sweep(self):
        self.timer = self.loop.call_later(SWEEP_US, self.sweep)
        for link in list(self.links.values()):
            link.overdue(self.loop.now)
        if not self.plain:
            for fetch in list(self.fetches):
                fetch.look(self.loop.now)
        if self.held_back:
            self.admit()

    closed = False

    def close(self):
        self.closed = True
        self.timer.cancel()
        for fetch in list(self.fetches):
            fetch.cancel()
        for dial in self.dialling.values():
            dial.cancel()
        for peer in [*self.links.values(), *self.servers]:
            peer.stream.abort()
        for state in self.states.values():
            state.close()
        if self.listener:
            self.listener.close()
