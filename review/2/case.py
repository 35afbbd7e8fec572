"""Usual clients send a request every 0.2 s. With trouble, a number of bad clients send one unreadable request each, at once: a
chunked body of 256 KiB, of line ends only. Each request of a usual client has to get its final answer at the latest half a second
after its deadline, with the 50 ms by which every limit is longer on sockets."""

import asyncio
import time
from pathlib import Path

from standins import ROLES, TROUBLE, Discovery, Fleet, Gateway, read_answer, request, run, settings

USUAL_CLIENTS, DEADLINE_S, LATEST_S = 4, 5.0, 5.0 + 0.5 + 0.05
BAD_CLIENTS, BODY_BYTES, BAD_OWED_S = 150, 256 * 1024, 3.0
TROUBLE_AT_S, LAST_REQUEST_S, GIVE_UP_S = 3.0, 12.0, 40.0


async def usual_client(record, fleet, gateway, number, began, results):
    """Sends one request at a time on a kept connection."""
    reader = writer = None
    count = 0
    while time.monotonic() - began < LAST_REQUEST_S:
        rid = f"u{number}-{count}"
        fleet.sent_ids.add(rid)
        count += 1
        if writer is None:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(request(rid, "What is for lunch? " * 20, DEADLINE_S, key=f"k{number}"))
        await writer.drain()
        sent = time.monotonic()
        record(f"client sends {rid}")
        try:
            status, body, keep = await asyncio.wait_for(read_answer(reader), GIVE_UP_S)
        except (EOFError, asyncio.TimeoutError) as problem:
            status, body, keep = type(problem).__name__, b"", False
        after = time.monotonic() - sent
        record(f"client gets {rid}: {status} after {after:.3f} s")
        results.append((rid, status, after))
        if not keep:
            writer.close()
            writer = None
        await asyncio.sleep(0.2)
    if writer is not None:
        writer.close()


async def bad_client(gateway, number, results):
    """Sends a request that can't be read, and reads whatever comes back."""
    began = time.monotonic()
    got = b""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
            f"Req-Id: bad{number}\r\nReq-Kind: menu-question\r\nReq-Key: bad{number}\r\nReq-Deadline: 4.800\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
        )
        writer.write(head.encode() + b"\n" * BODY_BYTES + b"\r\n0\r\n\r\n")
        got = await asyncio.wait_for(reader.read(4096), GIVE_UP_S)
        writer.close()
    except OSError:
        pass
    except asyncio.TimeoutError:
        got = b"nothing"
    results.append((time.monotonic() - began, got.split(b"\r\n")[0].decode("latin-1")))


async def case(record):
    discovery, fleet = await Discovery(record).start(), Fleet(record)
    for name, role in ROLES:
        server = await fleet.add(name, role)
        discovery.rows[name] = server.row()
    gateway = Gateway(record, discovery, {"cores": 1.0, "memory_mb": 192, "sockets": 512}, settings())
    try:
        if not await gateway.until_ready():
            raise RuntimeError("the gateway did not become ready")
        began, results, bad_results = time.monotonic(), [], []
        tasks = [asyncio.create_task(usual_client(record, fleet, gateway, i, began, results)) for i in range(USUAL_CLIENTS)]
        bad = []
        await asyncio.sleep(TROUBLE_AT_S)
        if TROUBLE:
            record(f"{BAD_CLIENTS} bad clients begin")
            bad = [asyncio.create_task(bad_client(gateway, i, bad_results)) for i in range(BAD_CLIENTS)]
        await asyncio.gather(*tasks)
        for task in bad:
            task.cancel()
    finally:
        gateway.end()
    lost = [row for row in results if row[2] > LATEST_S or not isinstance(row[1], int)]
    answers = {}
    for _, status, _ in results:
        answers[status] = answers.get(status, 0) + 1
    record(f"usual clients: {len(results)} requests, {answers}, slowest {max(row[2] for row in results):.3f} s, lost {len(lost)}")
    for rid, status, after in lost:
        record(f"lost: {rid}: {status} after {after:.3f} s, deadline {DEADLINE_S} s")
    late = sum(after > BAD_OWED_S for after, _ in bad_results)
    record(
        f"bad clients: {len(bad_results)} answered, of these {late} not within {BAD_OWED_S} s; {len(bad) - len(bad_results)} waiting"
    )
    for after, line in sorted(bad_results)[-3:]:
        record(f"bad client: {line!r} after {after:.3f} s")
    print(f"{len(results)} requests of usual clients, {len(lost)} lost; slowest {max(row[2] for row in results):.1f} s")
    return not lost


if __name__ == "__main__":
    run(case, Path(__file__).parent)
