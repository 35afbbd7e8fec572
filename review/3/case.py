"""Clients that pipeline: each sends 20 requests at once on one connection, with prompts of 5,120 tokens (the example of the protocol
page), and reads the answers in order. Without trouble the same requests are sent one after the other on the same connections.

A request counts as lost if the gateway has read it (its machine's receive queue for that connection was seen empty after the last
byte had been written) and then closes the connection without an answer to it."""

import asyncio
import time
from pathlib import Path

from standins import TROUBLE, Discovery, Fleet, Gateway, read_answer, request, run, settings

CLIENTS, REQUESTS, PROMPT, DEADLINE_S = 4, 20, "lunch ?  " * 2275, 5.0
GIVE_UP_S = 10.0


def unread_bytes(gateway_port, client_port):
    """-> (bytes that wait at the client's end, bytes that the gateway has not read); None if the connection is not there."""
    ends = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        local, remote = (int(fields[i].split(":")[1], 16) for i in (1, 2))
        sending, receiving = (int(part, 16) for part in fields[4].split(":"))
        if fields[3] == "01":
            ends[local, remote] = sending, receiving
    client, gateway = ends.get((client_port, gateway_port)), ends.get((gateway_port, client_port))
    return None if client is None or gateway is None else (client[0], gateway[1])


async def watch_queue(record, gateway, port, state):
    """Notes when the gateway has read all that the client has written."""
    while not state["read"]:
        found = unread_bytes(gateway.port, port)
        if state["written"] and found is not None and found == (0, 0):
            state["read"] = True
            record(f"connection {port}: the gateway has read all that was sent")
        await asyncio.sleep(0.002)


async def client(record, fleet, gateway, number, results):
    ids = [f"p{number}-{i}" for i in range(REQUESTS)]
    fleet.sent_ids.update(ids)
    messages = [request(rid, PROMPT, DEADLINE_S, key=f"k{number}-{rid}") for rid in ids]
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    port = writer.get_extra_info("sockname")[1]
    state = {"written": False, "read": False}
    watch = asyncio.create_task(watch_queue(record, gateway, port, state))

    async def write_all():
        record(f"connection {port}: sends {len(ids)} requests at once, {sum(map(len, messages))} bytes")
        for part in messages:
            writer.write(part)
            await writer.drain()
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.001)
        state["written"] = True

    began = time.monotonic()
    sending = asyncio.create_task(write_all()) if TROUBLE else None
    ended = None
    for rid, part in zip(ids, messages):
        if not TROUBLE:
            record(f"connection {port}: sends {rid}")
            writer.write(part)
            await writer.drain()
            state["written"] = True
        if ended is None:
            try:
                status, _, keep = await asyncio.wait_for(read_answer(reader), GIVE_UP_S)
                record(f"connection {port}: {rid} gets {status} after {time.monotonic() - began:.3f} s, kept: {keep}")
                results.append((rid, status, state["read"]))
                continue
            except (EOFError, OSError, asyncio.TimeoutError) as problem:
                ended = type(problem).__name__
                record(f"connection {port}: ends ({ended}) after {time.monotonic() - began:.3f} s")
        record(f"connection {port}: {rid} gets no answer; read by the gateway: {state['read']}")
        results.append((rid, None, state["read"]))
    for task in (sending, watch):
        if task is not None:
            task.cancel()
    writer.close()


async def case(record):
    discovery, fleet = await Discovery(record).start(), Fleet(record)
    for name, role in (("r1", "read"), ("r2", "read"), ("w1", "write"), ("w2", "write")):
        server = await fleet.add(name, role, read_s=0.05)
        discovery.rows[name] = server.row()
    gateway = Gateway(record, discovery, {"cores": 1.0, "memory_mb": 192, "sockets": 512}, settings())
    results = []
    try:
        if not await gateway.until_ready():
            raise RuntimeError("the gateway did not become ready")
        await asyncio.gather(*(client(record, fleet, gateway, i, results) for i in range(CLIENTS)))
    finally:
        gateway.end()
    lost = [rid for rid, status, read in results if status is None and read]
    unclear = [rid for rid, status, read in results if status is None and not read]
    answers = {}
    for _, status, _ in results:
        answers[status] = answers.get(status, 0) + 1
    record(f"{len(results)} requests, answers {answers}; read and never answered: {len(lost)}; perhaps not read: {len(unclear)}")
    print(f"{len(results)} requests, read and never answered: {len(lost)}, perhaps not read: {len(unclear)}")
    return not lost


run(case, Path(__file__).parent)
