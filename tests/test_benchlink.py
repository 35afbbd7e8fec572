"""Batches of the simulator's protocol fed to the adapter's process, and its replies."""

import json
import subprocess
import sys
from pathlib import Path

SETTINGS = {
    "Az": 0,
    "Balancers": 1,
    "Me": 0,
    "ResolutionMs": 4.0,
    "MembershipMode": "automatic",
    "Tenants": [],
    "Unknown": 1,
    "Classes": [{"Name": "chat", "Effect": "retryable", "Group": "all", "OnTimeMs": 1000.0, "Value": 1.0}],
    "FamilyInfo": {"DutyByKind": ["read", "write"], "KindMemoryTokens": [200000, 150000], "LetGoByMs": 500.0},
    "Limits": {"MaxAttempts": 4, "RetryAfter": True, "MaxRetryAfterMs": 500.0},
    "Penalties": {},
    "Report": {"How": "off"},
    "Rules": {"ColdFrom": 0.25, "RampTimeMs": 12000.0, "FallMultiple": 2.5, "OverloadForMs": 1000.0},
}


def run(*messages):
    text = "".join((m if isinstance(m, str) else json.dumps(m)) + "\n" for m in messages)
    return subprocess.run(
        [sys.executable, "-m", "lapiswing.benchlink"],
        input=text,
        text=True,
        capture_output=True,
        cwd=Path(__file__).parent.parent,
    )


def row(server, kind):
    return {"Server": server, "Dc": 0, "Cell": 0, "Machine": kind, "Heft": 1, "ReadyAtMs": None, "Mode": "ready"}


START = [
    {"t": "Tick", "TimeMs": 4.0},
    {"t": "Hello", "GatewayId": 3, "Prng": 5, "Settings": SETTINGS},
    {"t": "Ledger", "SetId": 0, "RowsIn": [row("a:1", 0), row("b:1", 1)]},
    {"t": "DirectoryUpdate", "GatewayId": 3, "Kind": "restored", "SeqNo": 1, "SetId": 0},
]
CALL = {
    "t": "Call",
    "GatewayId": 3,
    "Req": 9,
    "PromptLen": 500,
    "ExpiresMs": 4000.5,
    "SharedPrefix": None,
    "EstimateMs": None,
    "NPrefix": 0,
    "MaxTokens": 50,
    "Dialogue": "chat/x",
    "StateBits": 0,
    "ClientGroup": 0,
    "Kind": 0,
}
TURN = {"t": "OverToYou"}


def test_a_request_over_the_protocol():
    done = run(
        {"t": "Tick", "TimeMs": 0.0},
        TURN,
        *START,
        CALL,
        TURN,
        {"t": "Tick", "TimeMs": 100.0},
        {
            "t": "Verdict",
            "GatewayId": 3,
            "Req": 9,
            "Try": 0,
            "Server": "a:1",
            "Code": "half_done",
            "LatencyMs": 90.25,
            "Ended": False,
            "Remark": 0,
            "ServerStats": None,
        },
        TURN,
    )
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    sends = [(r["Req"], r["Server"]) for r in replies if r["t"] == "Forward"]
    assert done.returncode == 0 and sends == [(9, "a:1"), (9, "b:1")]
    assert [r["t"] for r in replies].count("Finished") == 3


def test_malformed_lines():
    for line, word in (
        ("{", "JSON"),
        ({"t": "Nonsense", "GatewayId": 3}, "Nonsense"),
        ({"t": "Ring"}, "GatewayId"),
        ({"t": "Ring", "GatewayId": 8}, "8"),
        ({"t": "Call", "GatewayId": 3}, "Req"),
    ):
        done = run(*START, line)
        assert done.returncode == 2 and done.stderr.count("\n") == 1
        assert "line 5" in done.stderr and word in done.stderr
