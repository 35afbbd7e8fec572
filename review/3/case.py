"""Usual clients send a request every 0.2 s. With trouble, some hundreds of bad clients send half a request each: a good head and
all but the last byte of a body of the allowed size, and stay. The platform kills a gateway whose memory exceeds `memory_mb`; only
the process's own anonymous memory is counted here, and a MB is taken as 2^20 bytes."""

import asyncio
import time
from pathlib import Path

from standins import ROLES, TROUBLE, Discovery, Fleet, Gateway, read_answer, request, run, settings

USUAL_CLIENTS, DEADLINE_S = 4, 5.0
MEMORY_MB, SOCKETS = 128, 1024
BAD_CLIENTS, BODY_BYTES = 500, 256 * 1024
TROUBLE_AT_S, LAST_REQUEST_S = 3.0, 12.0


class Platform:
    """Watches the gateway's memory and kills it when that exceeds the limit."""

    def __init__(self, record, gateway):
        self.record, self.gateway, self.peak_mb, self.killed = record, gateway, 0.0, False

    async def watch(self):
        shown = 0.0
        while self.gateway.process.poll() is None:
            mb = self.gateway.memory_mb() * 1000 / 1024
            self.peak_mb = max(self.peak_mb, mb)
            if mb > shown + 10:
                shown = mb
                self.record(f"memory {mb:.1f} MB of {MEMORY_MB}")
            if mb > MEMORY_MB:
                self.record(f"memory {mb:.1f} MB is over {MEMORY_MB}: the platform kills the gateway")
                self.gateway.process.kill()
                self.killed = True
                return
            await asyncio.sleep(0.02)


async def usual_client(record, fleet, gateway, number, began, results):
    """Sends one request at a time on a kept connection, until the gateway is gone."""
    reader = writer = None
    count = 0
    while time.monotonic() - began < LAST_REQUEST_S:
        rid = f"u{number}-{count}"
        fleet.sent_ids.add(rid)
        count += 1
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(request(rid, "What is for lunch? " * 20, DEADLINE_S, key=f"k{number}"))
            await writer.drain()
            record(f"client sends {rid}")
            status, body, keep = await asyncio.wait_for(read_answer(reader), DEADLINE_S + 1)
        except (EOFError, OSError, asyncio.TimeoutError) as problem:
            status, keep = type(problem).__name__, False
        record(f"client gets {rid}: {status}")
        results.append((rid, status))
        if not keep and writer is not None:
            writer.close()
            writer = None
        if gateway.process.poll() is not None:
            return
        await asyncio.sleep(0.2)
    if writer is not None:
        writer.close()


async def bad_client(gateway, number, results):
    """Sends half a request, stays, and reads what comes back."""
    began, got = time.monotonic(), b""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
            f"Req-Id: bad{number}\r\nReq-Kind: menu-question\r\nReq-Key: bad{number}\r\nReq-Deadline: 4.800\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        )
        writer.write(head.encode() + b"x" * (BODY_BYTES - 1))
        got = await asyncio.wait_for(reader.read(4096), 10)
        writer.close()
    except (OSError, asyncio.TimeoutError) as problem:
        got = type(problem).__name__.encode()
    results.append((time.monotonic() - began, got.split(b"\r\n")[0].decode("latin-1") or "closed"))


async def case(record):
    discovery, fleet = await Discovery(record).start(), Fleet(record)
    for name, role in ROLES:
        server = await fleet.add(name, role)
        discovery.rows[name] = server.row()
    gateway = Gateway(record, discovery, {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, settings())
    platform = Platform(record, gateway)
    try:
        if not await gateway.until_ready():
            raise RuntimeError("the gateway did not become ready")
        watch = asyncio.create_task(platform.watch())
        began, results, bad_results = time.monotonic(), [], []
        tasks = [asyncio.create_task(usual_client(record, fleet, gateway, i, began, results)) for i in range(USUAL_CLIENTS)]
        await asyncio.sleep(TROUBLE_AT_S)
        if TROUBLE:
            record(f"{BAD_CLIENTS} bad clients begin; memory {platform.peak_mb:.1f} MB at the most so far")
            tasks += [asyncio.create_task(bad_client(gateway, i, bad_results)) for i in range(BAD_CLIENTS)]
        await asyncio.gather(*tasks)
        watch.cancel()
    finally:
        gateway.end()
    answers = {}
    for _, status in results:
        answers[status] = answers.get(status, 0) + 1
    record(f"usual clients: {len(results)} requests, {answers}")
    bad_answers = {}
    for _, line in bad_results:
        bad_answers[line] = bad_answers.get(line, 0) + 1
    record(f"bad clients: {len(bad_results)}, {bad_answers}")
    record(f"memory at the most: {platform.peak_mb:.1f} MB of {MEMORY_MB}")
    print(f"memory at the most {platform.peak_mb:.1f} MB of {MEMORY_MB}")
    return not platform.killed


if __name__ == "__main__":
    run(case, Path(__file__).parent)
