"""Streams of the chat gateway's engines that go on without bringing the answer on, behind each of its fronts."""

import json

import pytest
from gateway_site import GatewaySite, chat, words
from test_gateway import send
from test_websocket import frame, opened

from lapiswing.chat.events import encode_event

IDLE_MS = 300
FILLERS = {
    "comments": b": ping\n\n",
    "empty lines": b"\n\n",
    "events without choices": encode_event({"choices": [], "usage": None}),
    "events without content": encode_event({"choices": [{"index": 0, "delta": {}, "finish_reason": None}]}),
    "events with a role only": encode_event({"choices": [{"index": 0, "delta": {"role": "assistant"}}], "usage": None}),
    "a part of an event": b"x",
}


def call_over_http(site, stream):
    return send(site, chat(tokens=60, stream=stream))


def call_over_websocket(site, stream):
    raw = opened(site)
    call = {"type": "call", "id": "a", "body": chat(tokens=60, stream=stream)}
    raw.sock.sendall(frame(1, json.dumps(call).encode()))
    return raw


CALLS = {"HTTP": call_over_http, "WebSocket": call_over_websocket}


@pytest.fixture(params=["resumed", "not resumed"])
def site(request):
    resume = "true" if request.param == "resumed" else "false"
    with GatewaySite(resume=resume) as site:
        for group in site.core.class_settings:
            group.stream_idle_ms = IDLE_MS
        yield site


CASES = [(filler, "HTTP", True) for filler in FILLERS] + [
    ("events without content", "HTTP", False),
    ("events without content", "WebSocket", True),
    ("comments", "WebSocket", False),
]


@pytest.mark.parametrize("filler, front, stream", CASES)
def test_a_stream_without_content_is_ended_or_resumed_in_time(site, filler, front, stream):
    raw = CALLS[front](site, stream)
    site.until(lambda: site.rows("first"))
    site.turn_for(20)
    (server,) = [server for server in site.fleet.boxes.values() if server.running]
    server.faults.filler = FILLERS[filler]
    site.until(lambda: site.core.counts["done"] or site.core.counts["aborted"], 3)
    if site.core.class_settings[0].resume:
        assert site.core.counts["resumed"] == site.core.counts["done"] == 1
    else:
        assert site.core.counts["aborted"] == 1
        raw.until(lambda got: b"broke off" in got)


def test_an_engine_that_writes_slowly_is_not_cut():
    with GatewaySite(resume="false", step_ms=200.0) as site:
        for group in site.core.class_settings:
            group.stream_idle_ms = IDLE_MS
        assert len(words(send(site, chat(tokens=8)).until()).split()) == 8
