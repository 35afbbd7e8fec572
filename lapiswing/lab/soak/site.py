"""The settings of a soak's fleet, as the platform gives them to a gateway."""

import json

CLASSES = {"chat": "retryable", "order": "dedup", "pay": "fragile"}
WINDOW_MS = 1500.0
GRACE_MS, LET_GO_MS, RAMP_MS = 1000.0, 500.0, 6000.0


def settings(number, gateways, second_copies, asked):
    """`asked`: whether changes of the list come only to those who ask."""
    classes = [
        {
            "Name": name,
            "Effect": effect,
            "Group": "all",
            "DeadlineMs": 3000.0,
            "OnTimeMs": 1200.0,
            "LateWorth": 0.3,
            "MemorySpanMs": WINDOW_MS,
            "Stream": True,
            "Value": 1.0,
        }
        for name, effect in CLASSES.items()
    ]
    return {
        "Az": number % 2,
        "Balancers": gateways,
        "Callers": {"MarksRetry": True},
        "Classes": classes,
        "Family": "twostage",
        "FamilyInfo": {
            "AimUsPer1000PromptTokens": [40000.0] * 3,
            "DutyByKind": ["read", "write", "both"],
            "FarPrice": 0.04,
            "KindMemoryTokens": [264519, 156363, 200139],
            "LetGoByMs": LET_GO_MS,
            "MayReserve": True,
            "ReadInPlace": False,
            "Resume": False,
            "TokenAimMs": [60.0] * 3,
        },
        "Kinds": ["read", "write", "both"],
        "Limits": {
            "Cancel": True,
            "ConnIdleMs": 4000.0,
            "ConnectTimeoutMs": 250.0,
            "CpuUsPerS": 500000,
            "MaxAttempts": 6,
            "MaxRetryAfterMs": 1000.0,
            "RetryAfter": True,
            "SecondCopies": second_copies,
            "Probes": True,
        },
        "Me": number,
        "MembershipMode": "subscribe" if asked else "automatic",
        "Penalties": {"CrossZone": 0.02},
        "Report": {"How": "inline", "Names": ["inflight", "queue", "x0", "x1"]},
        "ResolutionMs": 4.0,
        "Rules": {
            "AnswerSlackMs": 16.0,
            "AskWithinMs": 10000.0,
            "ColdFrom": 0.25,
            "FallMultiple": 2.5,
            "OverloadForMs": 1000.0,
            "RampTimeMs": RAMP_MS,
            "StopSendingWithinMs": GRACE_MS,
        },
        "Tenants": [],
        "Zones": ["a", "b"],
    }


def configuration(number, gateways, port, discovery, seed, known, second_copies, asked, sockets):
    return json.dumps(
        {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": discovery,
            "seed": f"{seed:x}",
            "known": known,
            "limits": {"cores": 0.5, "memory_mb": 128, "sockets": sockets},
            "settings": settings(number, gateways, second_copies, asked),
        }
    )
