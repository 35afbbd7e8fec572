"""The settings of the cases' small deployments: the rules, limits and classes of the site files that the claims name."""

from rig import settings

TRAM_TICKETS = [
    ("seat-question", 3500, "retryable", "all", 1500, 1500, 1),
    ("seat-reservation", 4000, "dedup", "all", 1500, 1800, 3),
    ("refund-letter", 5000, "fragile", "all", 1500, 2000, 4),
]
OBEDAR_CHAT = [
    ("menu-question", 5000, "retryable", "all", 5000, 1200, 1),
    ("order-set", 7500, "retryable", "all", 5000, 1500, 2),
]


def tram_tickets():
    return settings(
        TRAM_TICKETS,
        MembershipMode="subscribe",
        Zones=["depot"],
        Limits__Cancel=False,
        Limits__SecondCopies=False,
        Limits__RetryAfter=False,
        Limits__Probes=False,
        Limits__MaxAttempts=3,
        Rules__StopSendingWithinMs=250.0,
        FamilyInfo__LetGoByMs=700.0,
    )


def obedar_chat():
    return settings(OBEDAR_CHAT, Zones=["ba-ruzinov", "ba-petrzalka"])


def suva_catchup():
    return settings(
        [("catchup-chat", 6000, "retryable", "all", 5000, 1500, 1)],
        Zones=["walu-bay"],
        Kinds=["prefill", "decode"],
        FamilyInfo__DutyByKind=["read", "write"],
        FamilyInfo__KindMemoryTokens=[230000, 155000],
        FamilyInfo__LetGoByMs=300.0,
        FamilyInfo__Resume=True,
        Rules__StopSendingWithinMs=500.0,
        Rules__ColdFrom=0.26,
        Rules__FallMultiple=4.0,
        Rules__OverloadForMs=3000.0,
        Rules__RampTimeMs=13000.0,
    )
