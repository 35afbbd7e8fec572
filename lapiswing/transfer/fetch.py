"""One state that is being fetched: which holder it is requested from, where it is stored, how the fetch ends."""

import mmap
import os
from errno import EDQUOT, ENOSPC

from lapiswing.transfer import decide
from lapiswing.transfer.machine import Receiver
from lapiswing.transfer.states import MANIFEST_SUFFIX, PART_SUFFIX, PartFile, file_name, read_manifest

MS = 1000
RETRY_PAUSES_US = (0, 20 * MS, 60 * MS, 150 * MS, 400 * MS)  # before the next attempt at a holder, by consecutive failures
RATE_WINDOW_US = 150 * MS  # over which the rate of a fetch is measured


class Fetch:
    """Calls `done(fetch)` once. On success `why` is None and `memory` holds the verified state (with a folder, `path` is its
    file). On failure `why` is the reason and `advice` what the caller should do: 'read anew' (read the prompt again) or
    'elsewhere' (use another write server); all memory is released."""

    def __init__(self, agent, name, holders, due_us, expires_us, done, priority=5, alternatives=None, folder=None, keep=False):
        self.agent, self.name, self.holders, self.done = agent, name, list(holders), done
        self.due_us, self.expires_us, self.priority, self.alternatives = due_us, expires_us, priority, alternatives or {}
        self.folder, self.keep, self.part, self.path = folder, keep, None, None
        self.receiver = Receiver(name, self.allocate)
        self.link = self.why = self.memory = self.advice = self.buffer = self.last_failure = self.check_timer = None
        self.transfer, self.opened, self.is_finished, self.reserved_bytes = 0, False, False, 0
        self.failures, self.corrupt_chunks, self.unavailable = {}, {}, set()  # unavailable: holders that no longer have the state
        self.breaks = self.switches = self.received_bytes = 0
        self.start_us = self.link_joined_us = agent.loop.clock.now_us()
        self.rate_sample = self.start_us, 0
        self.expiry_timer = agent.loop.call_at(expires_us, self.finish, "too late")
        self.retry_timer = None

    # ---- memory and files

    def allocate(self, manifest):
        """Returns a buffer for a state, or None if the agent's limit would be exceeded. A released buffer is reused if it fits,
        because new memory costs a page fault every 4 KiB."""
        agent, length = self.agent, manifest.length
        self.release_buffers()
        if self.folder is not None:
            if agent.used_bytes + length > agent.memory_bytes:
                return None
            try:
                return self.use_part(PartFile(self.base_path(), manifest))
            except OSError as problem:
                if problem.errno not in (ENOSPC, EDQUOT):
                    agent.log("part file", why=str(problem))
                return None
        buffer = min((b for b in agent.free_buffers if length <= len(b) <= 2 * length), key=len, default=None)
        if buffer is not None:
            agent.free_buffers.remove(buffer)
        else:
            while agent.free_buffers and agent.used_bytes + agent.free_buffer_bytes() + length > agent.memory_bytes:
                agent.free_buffers.pop(0)
            if agent.used_bytes + length > agent.memory_bytes:
                return None
            buffer = mmap.mmap(-1, length)  # pages are allocated as chunks arrive; a bytearray would be cleared at once
        self.buffer, self.reserved_bytes = buffer, len(buffer)
        agent.used_bytes += self.reserved_bytes
        return memoryview(buffer)[:length]

    def base_path(self):
        """Path of the complete state's file."""
        return os.path.join(self.folder, file_name(self.name))

    def use_part(self, part):
        """Fetches into a part file. Returns its memory."""
        self.part, self.reserved_bytes = part, part.manifest.length
        self.agent.used_bytes += self.reserved_bytes
        return memoryview(part.map)

    def buffer_for(self, index):
        """The buffer for a chunk, or None if it was not requested or the disk is full."""
        if self.part is not None and not self.part.reserve(index):
            self.finish("no room")
            return None
        return self.receiver.buffer_for(index)

    def release_buffers(self):
        """Returns the memory to the agent; closes the part file, and deletes it unless it is to be kept."""
        self.agent.used_bytes -= self.reserved_bytes
        self.reserved_bytes = 0
        if self.buffer is not None:
            self.agent.free_buffers.append(self.buffer)
            self.buffer = None
        if self.part is not None:
            self.receiver.memory = None
            self.part.close() if self.keep else self.part.delete()
            self.part = None

    # ---- choice of a holder

    def start(self):
        """Continues with the chunks that a previous process left, then with the best option."""
        if self.is_finished:
            return None
        left_manifest = read_manifest(self.base_path() + PART_SUFFIX + MANIFEST_SUFFIX) if self.folder is not None else None
        if (
            left_manifest is None
            or left_manifest.name != self.name
            or self.agent.used_bytes + left_manifest.length > self.agent.memory_bytes
        ):
            return self.try_next()
        try:
            memory = self.use_part(PartFile(self.base_path(), left_manifest))
        except OSError:
            return self.try_next()
        self.check_timer = self.agent.loop.call_later(0, self.check, memory)

    def check(self, memory):
        """Checks the next slice of a part file left by a previous process."""
        if not self.part.step():
            self.check_timer = self.agent.loop.call_later(0, self.check, memory)
            return
        self.check_timer = None
        self.receiver.restore(self.part.manifest, memory, self.part.verified_chunks)
        self.agent.counts["chunks found again"] += self.part.verified_chunks.count(1)
        if not self.receiver.missing:
            return self.complete()
        self.try_next()

    def try_next(self):
        """Continues with the best option, after a pause if the holder has failed before; fails if there is none."""
        option = self.next_option()
        if option is None or option.holder is None:
            return self.finish(self.last_failure or "no holder can give it in time", option and option.what)
        failures = self.failures.get(option.holder, 0)
        self.retry_timer = self.agent.loop.call_later(
            RETRY_PAUSES_US[min(failures, len(RETRY_PAUSES_US) - 1)], self.connect_to, option.holder
        )
        return None

    def options(self, but=None):
        """The usable holders, without `but`, and after a failure what the caller could do instead."""
        agent, missing_bytes, options = self.agent, self.receiver.left(), []
        for holder in self.holders:
            if holder in self.unavailable or holder == but or self.corrupt_chunks.get(holder, 0) >= decide.MAX_FAILURES:
                continue
            window = agent.windows.get(holder)
            options.append(
                decide.RecoveryOption(
                    "resume",
                    missing_bytes or 0,
                    window.rate if window else None,
                    0 if holder in agent.links else 2 * MS,
                    self.failures.get(holder, 0),
                    holder,
                )
            )
        if self.breaks or but is not None:  # a holder is tried first, because the size is unknown before
            worst = max(self.failures, key=self.failures.get, default=None) if but is None else but
            length = self.receiver.manifest.length if self.receiver.manifest else 0
            options += decide.caller_options(
                self.alternatives, length, "holder" if self.is_unavailable() else agent.paths.faulty_side(worst)
            )
        return options

    def is_unavailable(self):
        """Whether no holder has the state any more."""
        return all(h in self.unavailable for h in self.holders)

    def next_option(self):
        """The best option, or None."""
        return decide.choose_option(self.options(), self.agent.loop.clock.now_us(), self.expires_us)

    def connect_to(self, holder):
        """Continues at a holder."""
        if not self.is_finished:
            self.agent.attach_to_holder(holder, self)

    def on_link_ready(self, link):
        """The link to the chosen holder is open."""
        link.add(self)

    def check_speed(self, now):
        """Called periodically: switches to another option if this path is much slower."""
        sampled_us, bytes_before = self.rate_sample
        if self.link is None or not self.opened or now - max(sampled_us, self.link_joined_us) < RATE_WINDOW_US:
            return
        rate = (self.received_bytes - bytes_before) * 1e6 / (now - sampled_us)
        self.rate_sample = now, self.received_bytes
        if self.switches >= decide.MAX_SWITCHES or not self.receiver.missing:
            return
        option = decide.choose_option(self.options(but=self.link.address), now, self.expires_us)
        left_us = self.receiver.left() * 1e6 / max(1.0, rate)
        if option is None or not decide.worth_switching(left_us, decide.estimated_us(option)):
            return
        if option.holder is None and now + left_us < self.expires_us:
            return  # slow but on time: giving up would discard the received chunks and may lead to the same path again
        self.switches += 1
        self.agent.counts["left for another way"] += 1
        self.agent.log(
            "left a slow path",
            state=self.name,
            way=option.what,
            left_ms=round(left_us / MS),
            other_ms=round(decide.estimated_us(option) / MS),
        )
        self.agent.paths.record(self.link.address, False)
        if option.holder is None:
            return self.finish(f"slow path: {option.what}", option.what)
        self.link.drop(self)
        self.connect_to(option.holder)

    def on_link_failed(self, holder, why, final=False):
        """The link to a holder has failed. `final`: the holder does not have the state."""
        if self.is_finished:
            return
        self.breaks += 1
        self.last_failure = why
        if self.agent.plain:
            self.receiver = Receiver(self.name, self.allocate)
        self.failures[holder] = self.failures.get(holder, 0) + 1
        if final:
            self.unavailable.add(holder)
        else:
            self.agent.paths.record(holder, False)
        self.agent.counts["breaks"] += 1
        self.try_next()

    # ---- end of the fetch

    def complete(self):
        """All chunks are verified."""
        if self.part is not None:
            try:
                self.path = self.part.finalize()
            except OSError as problem:
                return self.finish(f"part file: {problem.strerror}")
        self.memory = self.receiver.memory
        self.finish(None)

    def cancel(self):
        """Ends the fetch without calling `done`, and releases its memory."""
        self.done = None
        self.finish("cancelled")

    def finish(self, why, advice=None):
        """Ends the fetch, successfully if `why` is None."""
        if self.is_finished:
            return
        self.is_finished, self.why = True, why
        self.expiry_timer.cancel()
        for timer in (self.retry_timer, self.check_timer):
            if timer:
                timer.cancel()
        if self.link is not None:
            self.link.drop(self)
        agent = self.agent
        for waiting in agent.awaiting_link.values():
            if self in waiting:
                waiting.remove(self)
        if why is not None:
            # If no holder has the state any more or the fault is the holder's, only reading the prompt again helps.
            own = not self.is_unavailable() and (
                why == "no room" or any(agent.paths.faulty_side(h) == "own" for h in self.holders)
            )
            self.advice = advice or ("elsewhere" if own else "read anew")
            self.free()
            self.receiver = Receiver(self.name, lambda manifest: None)
        agent.counts["done" if why is None else "failed"] += 1
        agent.fetch_ended(self)
        done, self.done = self.done, None
        if done:
            done(self)

    def free(self):
        """Releases the memory. The caller that received the state calls this when it no longer needs it. A file stays."""
        self.memory = None
        if self.path is not None:
            self.receiver.memory = None
            self.part.close()
            self.part = None
        self.release_buffers()
