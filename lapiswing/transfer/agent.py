"""The transfer agent beside a model server: serves its states to other agents and fetches states for it.

    agent = Agent(loop, "server-1", keys)          # keys: bytes; the first one is used, all are accepted
    agent.listen("127.0.0.1", 9100)
    agent.put("state-17", memory)                  # serves it
    agent.fetch("state-17", [("10.0.0.4", 9100)], due_us, expires_us, done)

`done` is called with a `fetch.Fetch`."""

from lapiswing.loop import Listener, connect, listen_socket
from lapiswing.loop.stream import Stream
from lapiswing.transfer import decide
from lapiswing.transfer.fetch import Fetch
from lapiswing.transfer.peers import Link, ServingPeer
from lapiswing.transfer.states import FileState, ManifestBuilder, MemoryState, OpenFile

MS = 1000
CHUNK_BYTES = 1 << 20
SWEEP_US = 50 * MS  # interval of the checks for stalled links and slow fetches
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
    """Serves and fetches states. `memory_bytes` bounds the memory of fetched states."""

    def __init__(self, loop, name, keys=(), memory_bytes=1 << 30, chunk=CHUNK_BYTES, log=None, plain=False, tls=None):
        """`plain` is a baseline for measurements: first come, first served, and no resumption. `tls` has `server()` and
        `client()`, which return stream factories for Listener and connect."""
        self.plain, self.tls = plain, tls
        self.loop, self.name, self.keys, self.memory_bytes, self.chunk = loop, name, list(keys), memory_bytes, chunk
        self.states, self.servers, self.links, self.awaiting_link, self.fetches = {}, set(), {}, {}, set()
        self.free_buffers = []  # released buffers, kept for reuse
        self.windows, self.used_bytes, self.listener, self.on_taken = {}, 0, None, None
        self.paths, self.queued_fetches, self.slow_start_until_us = decide.PathHealth(), [], 0
        self.log = log or (lambda event, **fields: None)
        self.counts = dict.fromkeys(COUNTS, 0)
        self.connecting = {}
        self.timer = loop.call_later(SWEEP_US, self.sweep)

    def free_buffer_bytes(self):
        """Size of the buffers that are kept for reuse."""
        return sum(map(len, self.free_buffers))

    # ---- serving

    def listen(self, host, port):
        """Listens for other agents and returns the address. Raises OSError."""
        self.listener = Listener(self.loop, listen_socket(host, port), self.accept, make_stream=self.make_server)
        return self.listener.address

    def make_server(self, *args, **more):
        """The stream of an accepted connection."""
        # Looked up for each connection because certificates can be reloaded.
        return (self.tls.server() if self.tls else Stream)(*args, **more)

    def accept(self, stream, _peer):
        """Another agent has connected."""
        self.servers.add(ServingPeer(self, stream))

    def put(self, name, memory):
        """Serves a state from memory, which must not change any more."""
        return self.add_state(MemoryState(name, memory, self.chunk))

    def put_file(self, name, path, done, manifest=None):
        """Serves a file, which must not change any more. Its checksums are computed in slices; then `done(state, None)` or
        `done(None, why)` is called. With `manifest`, a file that does not match it is refused."""
        try:
            file = OpenFile(path)
            builder = ManifestBuilder(name, file, manifest.chunk if manifest else self.chunk)
        except (OSError, ValueError) as problem:
            return self.loop.soon(done, None, str(problem))
        self.loop.soon(self.continue_manifest, builder, manifest, done)

    def continue_manifest(self, builder, wanted, done):
        """Reads the next slice of a file whose manifest is being built."""
        try:
            manifest = builder.step()
        except (OSError, ValueError) as problem:
            return done(None, str(problem))
        if manifest is None:
            return self.loop.soon(self.continue_manifest, builder, wanted, done)
        if wanted is not None and wanted.root != manifest.root:
            return done(None, "the file does not fit its manifest")
        return done(self.add_state(FileState(builder.name, builder.file, manifest)), None)

    def add_state(self, state):
        """Serves a state whose manifest is known."""
        self.drop(state.name)  # replaces a state of the same name
        self.states[state.name] = state
        return state

    def adopt(self, fetch):
        """Serves a state that was fetched into a file, without computing its checksums again. Raises OSError."""
        state = FileState(fetch.name, OpenFile(fetch.path), fetch.receiver.manifest)
        fetch.free()
        self.used_bytes += state.manifest.length
        state.counted = True
        return self.add_state(state)

    def drop(self, name):
        """Stops serving a state, also while it is being sent. Returns whether it was known."""
        state = self.states.pop(name, None)
        if state is not None:
            if state.counted:
                self.used_bytes -= state.manifest.length
            for server in list(self.servers):
                server.state_dropped(state)
            state.close()
        return state is not None

    # ---- fetching

    def fetch(self, name, holders, due_us, expires_us, done, priority=5, alternatives=None, folder=None, keep=False):
        """Fetches a state from one of its holders. `alternatives`: see decide.caller_options. `folder`: the state is written to a
        file there; with `keep`, verified chunks stay in the folder when the fetch fails or this agent ends."""
        fetch = Fetch(self, name, holders, due_us, expires_us, done, priority, alternatives, folder, keep)
        self.fetches.add(fetch)
        self.queued_fetches.append(fetch)
        self.start_queued()
        return fetch

    def start_queued(self):
        """Starts queued fetches: only a few at once during the slow start of this server, otherwise all."""
        in_slow_start = self.loop.clock.now_us() < self.slow_start_until_us and not self.plain
        running = len(self.fetches) - len(self.queued_fetches)
        if in_slow_start:
            self.queued_fetches.sort(key=lambda f: f.due_us)
        for _ in range(decide.admitted_moves(running, len(self.queued_fetches), in_slow_start)):
            self.loop.soon(self.queued_fetches.pop(0).start)

    def fetch_ended(self, fetch):
        """A fetch has succeeded, failed or been cancelled."""
        self.fetches.discard(fetch)
        if fetch in self.queued_fetches:
            self.queued_fetches.remove(fetch)
        if self.queued_fetches:
            self.loop.soon(self.start_queued)

    def attach_to_holder(self, holder, fetch):
        """Continues a fetch on the link to a holder; the link is opened if there is none."""
        link = self.links.get(holder)
        if link is not None and not link.stream.closed and link.ready:
            return fetch.on_link_ready(link)
        self.awaiting_link.setdefault(holder, []).append(fetch)
        if link is None and holder not in self.connecting:
            self.connecting[holder] = connect(
                self.loop,
                holder,
                1_000_000,
                lambda stream, why: self.on_connected(holder, stream, why),
                self.tls.client() if self.tls else Stream,
            )
        return None

    def on_connected(self, holder, stream, why):
        """A connection attempt to a holder has ended; `stream` is None if it failed."""
        self.connecting.pop(holder, None)
        if stream is not None:
            self.links[holder] = Link(self, holder, stream)
            return
        for fetch in self.awaiting_link.pop(holder, []):
            fetch.on_link_failed(holder, why)

    def sweep(self):
        """Periodic check for stalled links and slow fetches."""
        self.timer = self.loop.call_later(SWEEP_US, self.sweep)
        for link in list(self.links.values()):
            link.check_stalled(self.loop.now)
        if not self.plain:
            for fetch in list(self.fetches):
                fetch.check_speed(self.loop.now)
        if self.queued_fetches:
            self.start_queued()

    closed = False

    def close(self):
        """Cancels all fetches and closes all connections and files."""
        self.closed = True
        self.timer.cancel()
        for fetch in list(self.fetches):
            fetch.cancel()
        for attempt in self.connecting.values():
            attempt.cancel()
        for peer in [*self.links.values(), *self.servers]:
            peer.stream.abort()
        for state in self.states.values():
            state.close()
        if self.listener:
            self.listener.close()
