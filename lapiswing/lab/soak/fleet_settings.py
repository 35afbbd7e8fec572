"""Configuration files of the soak's gateways, in the format in which the platform provides them."""

import json

CLASS_EFFECTS = {"chat": "retryable", "order": "dedup", "pay": "fragile"}  # request class -> effect
REPEAT_WINDOW_MS = 1500.0
DEADLINES_MS = (3000.0, 3000.0, 1500.0, 500.0)  # the longest of a day's clients, by seed
DRAIN_GRACE_MS, RELEASE_MS, SLOW_START_MS = 1000.0, 500.0, 6000.0


def settings(number, gateways, second_copies, subscribed, deadline_ms):
    """Settings of gateway `number`. `subscribed`: whether the gateway has to subscribe to receive server list updates."""
    classes = [
        {
            "Name": name,
            "Effect": effect,
            "Group": "all",
            "DeadlineMs": deadline_ms,
            "OnTimeMs": 1200.0,
            "LateWorth": 0.3,
            "MemorySpanMs": REPEAT_WINDOW_MS,
            "Stream": True,
            "Value": 1.0,
        }
        for name, effect in CLASS_EFFECTS.items()
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
            "LetGoByMs": RELEASE_MS,
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
        "MembershipMode": "subscribe" if subscribed else "automatic",
        "Penalties": {"CrossZone": 0.02},
        "Report": {"How": "inline", "Names": ["inflight", "queue", "x0", "x1"]},
        "ResolutionMs": 4.0,
        "Rules": {
            "AnswerSlackMs": 16.0,
            "AskWithinMs": 10000.0,
            "ColdFrom": 0.25,
            "FallMultiple": 2.5,
            "OverloadForMs": 1000.0,
            "RampTimeMs": SLOW_START_MS,
            "StopSendingWithinMs": DRAIN_GRACE_MS,
        },
        "Tenants": [],
        "Zones": ["a", "b"],
    }


def configuration(number, gateways, port, discovery, seed, known, second_copies, subscribed, sockets, deadline_ms):
    """Text of the configuration file (RELAY_CONFIG) of gateway `number`."""
    return json.dumps(
        {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": discovery,
            "seed": f"{seed:x}",
            "known": known,
            "limits": {"cores": 0.5, "memory_mb": 128, "sockets": sockets},
            "settings": settings(number, gateways, second_copies, subscribed, deadline_ms),
        }
    )
