"""What may reach a terminal, and how wide it is there.

Names come from boxes' lists, settings and clients' models: any of them may hold control characters, and an escape sequence on
the screen of one who has rights is an old attack. Every text goes through `clean`."""

import unicodedata

import urwid

BLOCKS = " ▁▂▃▄▅▆▇█"
ASCII_BLOCKS = " .:-=+*#@"


def clean(value, most=400):
    """A text without anything that moves a cursor, changes direction or takes no place."""
    out = []
    for char in str(value)[:most]:
        kind = unicodedata.category(char)
        # Cc, Cf: control and format (escape, bidirectional marks); Cs, Co, Cn: surrogates, private, unassigned; Z: line ends
        out.append(
            char if kind[0] not in "CMZ" or char == " " else " " if kind[0] == "Z" else char if kind[0] == "M" and out else "·"
        )
    return "".join(out)


def width(text):
    return urwid.calc_width(text, 0, len(text))


def fit(text, columns, right=False):
    """Exactly `columns` wide: cut with '…', or padded."""
    if columns <= 0:
        return ""
    have = width(text)
    if have > columns:
        used, out = 0, []
        for char in text:
            w = width(char)
            if used + w > columns - 1:
                break
            out.append(char)
            used += w
        text, have = "".join(out) + "…", used + 1
    pad = " " * (columns - have)
    return pad + text if right else text + pad


def spark(values, columns, plain=False):
    """The last values as bars."""
    blocks = ASCII_BLOCKS if plain else BLOCKS
    values = [v or 0 for v in values[-columns:]]
    most = max(values, default=0) or 1
    return "".join(blocks[min(8, round(8 * v / most)) if v else 0] for v in values)


def age(ms):
    """A time span for people: 180 ms, 4.2 s, 3:07, 2 h 05."""
    if ms is None:
        return "-"
    if ms < 1000:
        return f"{round(ms)} ms"
    if ms < 60_000:
        return f"{ms / 1000:.1f} s"
    if ms < 3_600_000:
        return f"{int(ms // 60_000)}:{int(ms % 60_000 // 1000):02d}"
    if ms < 86_400_000 * 2:
        return f"{int(ms // 3_600_000)} h {int(ms % 3_600_000 // 60_000):02d}"
    return f"{int(ms // 86_400_000)} days"
