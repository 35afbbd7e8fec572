"""Makes text safe for a terminal and fits it to a width.

Names come from server lists, settings and clients' models. Any of them may contain control characters, and an escape sequence in
the terminal of a privileged operator is a known attack. So every text that is shown goes through `clean`."""

import unicodedata

import urwid

BLOCKS = " ▁▂▃▄▅▆▇█"
ASCII_BLOCKS = " .:-=+*#@"


def clean(value, max_chars=400):
    """The value as text, with '·' in place of characters that move the cursor, change the direction or have no width."""
    out = []
    for char in str(value)[:max_chars]:
        category = unicodedata.category(char)
        # Cc, Cf: control and format (escape, bidirectional marks); Cs, Co, Cn: surrogates, private use, unassigned;
        # M: combining marks, which need a character before them; Z: separators, which become spaces
        out.append(
            char
            if category[0] not in "CMZ" or char == " "
            else " "
            if category[0] == "Z"
            else char
            if category[0] == "M" and out
            else "·"
        )
    return "".join(out)


def width(text):
    """The number of terminal columns that a text takes."""
    return urwid.calc_width(text, 0, len(text))


def fit(text, columns, right=False):
    """The text at a width of exactly `columns`: cut with '…', or padded with spaces, on the left if `right`."""
    if columns <= 0:
        return ""
    text_width = width(text)
    if text_width > columns:
        used, out = 0, []
        for char in text:
            char_width = width(char)
            if used + char_width > columns - 1:
                break
            out.append(char)
            used += char_width
        text, text_width = "".join(out) + "…", used + 1
    pad = " " * (columns - text_width)
    return pad + text if right else text + pad


def spark(values, columns, plain=False):
    """The last values as a line of bars, scaled to the largest."""
    blocks = ASCII_BLOCKS if plain else BLOCKS
    values = [value or 0 for value in values[-columns:]]
    largest = max(values, default=0) or 1
    return "".join(blocks[min(8, round(8 * value / largest)) if value else 0] for value in values)


def age(ms):
    """A time span as readable text: 180 ms, 4.2 s, 3:07, 2 h 05; "-" for None."""
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
