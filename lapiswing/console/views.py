"""The model as lines of styled text: a list of lines, each a list of (style, text). Pure; widths are exact.

Styles: '' plain, 'head', 'bad', 'warn', 'good', 'dim', 'pick'. Nothing is told by colour alone."""

from lapiswing.console.model import SORTS, VIEWS
from lapiswing.console.text import age, clean, fit, spark, width

LEVELS = {0: ("good", "OK"), 1: ("good", "OK"), 2: ("warn", "WARNING"), 3: ("bad", "SERIOUS")}
HELP = """\
 1-6, Tab, left, right   views: overview, boxes, reqs, holds, tenants, timeline
 up, down, j, k          move          Space, b, g, G    page, first, last
 s, r                    next sort field, reverse        / search, Esc clear
 Enter                   a req's trail and reasons       p pause, q quit, ? help
 On the control socket:
 d, t                    boxes: drain the picked one, take it back
 c, u                    tenants: cap the picked one, lift the cap
 a                       acknowledge the first finding
 D                       drain the gateway
 Any key closes this page. What findings mean: docs/oncall.md"""


def render(model, columns, rows, now_ms, plain=False):
    """Exactly `rows` lines, each exactly `columns` wide."""
    lines = head(model, columns, now_ms)
    foot = footer(model, columns)
    room = max(0, rows - len(lines) - len(foot))
    if model.help:
        body = [[("", line)] for line in HELP.split("\n")]
    elif model.snap is None:
        body = [[("", "")], [("", f" Waiting for {clean(model.where)} ...")], [("dim", f" {clean(model.problem or '')}")]]
    elif model.detail is not None:
        body = detail(model, columns)
    else:
        body = {"overview": overview, "boxes": boxes, "reqs": reqs, "holds": holds, "tenants": tenants, "timeline": timeline}[
            model.view
        ](model, columns, room, now_ms, plain)
    lines += (body + [[("", "")]] * room)[:room]
    return [exact(line, columns) for line in (lines + foot)[:rows]] + [exact([("", "")], columns)] * (
        rows - len(lines) - len(foot)
    )


def exact(line, columns):
    out, used = [], 0
    for style, text in line:
        if used >= columns:
            break
        if used + width(text) > columns:
            text = fit(text, columns - used)
        out.append((style, text))
        used += width(text)
    if used < columns:
        out.append(("", " " * (columns - used)))
    return out


def head(model, columns, now_ms):
    snap = model.snap
    if snap is None:
        return [[("head", fit(f" lapiswing console  {model.link}", columns))]]
    g, v = snap["gateway"], snap["verdict"]
    style, word = LEVELS[v["level"]]
    if model.link == "lost":
        style, word = "bad", "NO CONNECTION"
        text = (
            f"for {age(now_ms - model.since_ms)}: {clean(model.problem or '')}; what follows is from "
            f"{age(now_ms - model.snap_at_ms)} ago"
        )
    else:
        text = clean(v["text"])
    state = "PAUSED  " if model.paused else "draining  " if g["draining"] else ""
    title = f" {clean(g['name'])}  up {age(g['up_ms'])}  {state}"
    tabs = "  ".join(f"[{n}]" if n == model.view else n for n in VIEWS)
    out = [[("head", fit(title + (tabs if len(title) + len(tabs) < columns else f"[{model.view}]"), columns))]]
    return out + wrap([(style, f" {word}: "), ("", text)], columns, 2)


def wrap(parts, columns, most):
    """Words over at most `most` lines; the first part stays in front."""
    style, first = parts[0]
    lines, line, used = [], [(style, first)], width(first)
    for word in parts[1][1].split():
        if used + width(word) + 1 > columns and len(lines) < most - 1:
            lines.append(line)
            line, used = [("", "   ")], 3
        line.append((parts[1][0], word + " "))
        used += width(word) + 1
    return lines + [line]


def footer(model, columns):
    if model.prompt is not None:
        return [[("head", fit(" " + clean(model.prompt[0]) + clean(model.prompt[1]) + "_", columns))]]
    if model.message:
        return [[("head", fit(" " + clean(model.message), columns))]]
    return [
        [
            (
                "dim",
                fit(
                    " 1-6 views  / search  s sort  Enter why  p pause  ? help  q quit"
                    + (f"   search: {clean(model.search)}" if model.search else ""),
                    columns,
                ),
            )
        ]
    ]


def overview(model, columns, room, now_ms, plain):
    snap, out = model.snap, []
    counts, now = snap.get("counts", {}), snap.get("now", {})
    for f in snap["findings"]:
        style, word = LEVELS[f["level"]]
        mark = " (acknowledged)" if f["acknowledged"] else ""
        about = f"{clean(f['subject'])}: " if f["subject"] else ""
        out += wrap(
            [
                ("dim" if f["acknowledged"] else style, f" {word}{mark} "),
                ("", f"{about}{clean(f['cause'])}, for {age(snap['unix_ms'] - f['since_unix_ms'])}. {clean(f['evidence'])}."),
            ],
            columns,
            2,
        )
        out += wrap([("dim", "   do: "), ("", clean(f["do"]))], columns, 2)
    if out:
        out.append([("", "")])
    rate = model.rate("taken")
    cell = max(20, (columns - 30) // 2)
    rows = (
        ("reqs a second", "taken", "-" if rate is None else f"{rate:.1f}"),
        ("pushed back", "pushed back", counts.get("pushed back", 0)),
        ("aborted", "aborted", counts.get("aborted", 0)),
    )
    for label, name, value in rows:
        out.append([("", f" {fit(label, 14)}{fit(str(value), 8, True)}  "), ("dim", spark(model.rates(name, cell), cell, plain))])
    out.append(
        [
            (
                "",
                f" {fit('open', 14)}{fit(str(now.get('open', '-')), 8, True)}   done {counts.get('done', 0)}, left "
                f"{counts.get('left', 0)}, not taken {counts.get('not taken', 0)}, resumed {counts.get('resumed', 0)}",
            )
        ]
    )
    out.append(
        [
            (
                "",
                f" {fit('held', 14)}{fit(str(now.get('holds', '-')), 8, True)}   oldest "
                f"{age(now.get('oldest_hold_ms'))} of {age(now.get('hold_limit_ms'))}",
            )
        ]
    )
    out.append(
        [
            (
                "",
                f" {fit('first token', 14)}{fit(age(now.get('first_p50_ms')), 8, True)}   slow ones "
                f"{age(now.get('first_p99_ms'))}; reads {now.get('read_wait_ms', 0):.0f} ms, waits for a writer "
                f"{now.get('write_wait_ms', 0):.0f} ms",
            )
        ]
    )
    sessions = snap.get("sessions", {})
    out.append([("", f" {fit('sessions', 14)}{fit(str(sessions.get('open', 0)), 8, True)}   away {sessions.get('away', 0)}")])
    store, tasks = snap.get("store"), snap.get("tasks") or {}
    if store:
        work = ", ".join(t["name"] for t in tasks.get("running", ()) if t["name"] not in ("snapshot", "scan of holds"))
        out.append(
            [
                ("" if store["mode"] == "good" else "bad", f" {fit('memory', 14)}{fit(str(store['keys']), 8, True)}"),
                (
                    "",
                    f"   keys, store {clean(store['mode'])}, {store['bytes'] / 1048576:.1f} MB"
                    + (f"; {clean(work)}" if work else ""),
                ),
            ]
        )
    for source in (snap.get("records") or {}).get("sources", ()):
        out.append(
            [
                ("" if source["state"] == "good" else "warn", f" {fit('records', 14)}{fit(str(source['boxes']), 8, True)}"),
                ("", f"   boxes, {clean(source['state'])}: {clean(source['source'])}"),
            ]
        )
    out.append([("", "")])
    by = {}
    for b in snap.get("boxes", ()):
        row = by.setdefault(b["role"], {"ready": 0, "draining": 0, "gone": 0, "suspect": 0, "cold": 0, "out": 0})
        row[b["mode"]] = row.get(b["mode"], 0) + 1
        row["suspect"] += b["suspect"]
        row["cold"] += b["cold"]
        row["out"] += b["out"]
    for role, row in sorted(by.items()):
        parts = ", ".join(f"{n} {word}" for word, n in row.items() if n and word not in ("out", "gone"))
        style = "bad" if not row["ready"] else "warn" if row["suspect"] or row["draining"] else ""
        out.append(
            [
                (style, f" {fit({'read': 'readers', 'write': 'writers'}.get(role, 'mixed'), 14)}"),
                ("", f"{parts}; {row['out']} forwards out"),
            ]
        )
    out.append([("", "")])
    for line in list(snap.get("modes", ()))[-max(0, room - len(out)) :][::-1]:
        out.append([("dim", f" {age(snap['unix_ms'] - line['unix_ms']):>8} ago  "), ("", told(line))])
    return out


def told(line):
    kind = line["type"]
    if kind == "mode":
        return clean(line["text"])
    if kind == "box":
        return clean(f"{line['box']} {line['mode']}" + (f" ({line['why']})" if line.get("why") else ""))
    if kind == "finding":
        return clean(f"{line['what']}: {line['kind']} {line['subject']}: {line['cause']}")
    return clean(f"{kind}: {line.get('text', '')}" + (f" by {line['who']}" if line.get("who") else ""))


def table(model, columns, room, fields, rows, style_of=lambda row: ""):
    """`fields`: (title, width or 0 for the rest, value, right)."""
    fixed = sum(w for _, w, _, _ in fields if w) + len(fields)
    rest = max(8, columns - fixed - 1)
    widths = [w or rest for _, w, _, _ in fields]
    field = SORTS.get(model.view)
    out = [[("head", " " + " ".join(fit(t, w, right) for (t, _, _, right), w in zip(fields, widths)))]]
    if not rows:
        return out + [[("dim", " none" + (f" that match {clean(model.search)!r}" if model.search else ""))]]
    show = max(1, room - 2)
    at = max(0, min(model.at, len(rows) - 1))
    top = max(0, min(model.top, at, len(rows) - show))
    if at >= top + show:
        top = at - show + 1
    model.top = top
    for i, row in enumerate(rows[top : top + show], top):
        text = " ".join(fit(clean(value(row)), w, right) for (_, _, value, right), w in zip(fields, widths))
        out.append([("pick" if i == at else style_of(row), (">" if i == at else " ") + text)])
    note = f" {len(rows)} in all" + (
        f", sorted by {field[model.sort[model.view] % len(field)].replace('_', ' ')}" if field else ""
    )
    return out + [[("dim", note)]]


def ms_of(us):
    return "-" if us is None else f"{us / 1000:.0f}"


def part(value):
    return "-" if value is None else f"{100 * value:.0f}%"


def box_style(row):
    return "bad" if row["suspect"] or row["mode"] == "gone" else "warn" if row["mode"] != "ready" or row["cold"] else ""


def box_state(row):
    out = row["mode"] + (f" ({row['why']})" if row["why"] else "")
    return out + (" SUSPECT" if row["suspect"] else "") + (" cold" if row["cold"] else "")


def boxes(model, columns, room, now_ms, plain):
    wide = columns >= 100
    fields = [
        ("box", 22, lambda r: r["box"], False),
        ("role", 5, lambda r: r["role"], False),
        ("state", 0, box_state, False),
        ("out", 4, lambda r: r["out"], True),
        ("rd", 4, lambda r: part(r.get("reads")), True),
        ("wr", 4, lambda r: part(r.get("writes")), True),
        ("first", 6, lambda r: ms_of(r["first_us"]), True),
        ("fails", 6, lambda r: sum(r["codes"].get(c, 0) for c in ("error", "reset", "unreachable", "timed_out")), True),
    ]
    if wide:
        fields += [
            ("read", 6, lambda r: ms_of(r["read_us"]), True),
            ("mem", 4, lambda r: part(r["memory"]), True),
            ("kept", 5, lambda r: r["kept_texts"], True),
            ("bad", 5, lambda r: f"{r['bad']:.2f}", True),
            ("up", 8, lambda r: age(r["up_ms"]), True),
        ]
    return table(model, columns, room, fields, model.listed(), box_style)


def reqs(model, columns, room, now_ms, plain):
    fields = [
        ("req", 8, lambda r: r["req"], True),
        ("stage", 6, lambda r: r["stage"], False),
        ("age", 7, lambda r: age(r["age_ms"]), True),
        ("left", 7, lambda r: age(r["left_ms"]), True),
        ("fwd", 3, lambda r: r["forwards"], True),
        ("prompt", 6, lambda r: r["prompt"], True),
        ("tokens", 6, lambda r: r["tokens"], True),
        ("tenant", 10, lambda r: r["tenant"], False),
        ("box", 0, lambda r: r["box"] or "-", False),
    ]
    return table(
        model, columns, room, fields, model.listed(), lambda r: "warn" if r["left_ms"] is not None and r["left_ms"] < 500 else ""
    )


def holds(model, columns, room, now_ms, plain):
    limit = model.snap.get("now", {}).get("hold_limit_ms") or 1
    fields = [
        ("req", 8, lambda r: r["req"], True),
        ("held", 8, lambda r: age(r["held_ms"]), True),
        ("of limit", 8, lambda r: part(r["held_ms"] / limit), True),
        ("tenant", 12, lambda r: r["tenant"], False),
        ("holder", 0, lambda r: r["box"] or "-", False),
    ]
    return table(model, columns, room, fields, model.listed(), lambda r: "bad" if r["held_ms"] > limit / 2 else "")


def tenants(model, columns, room, now_ms, plain):
    def cap(row):
        return f"{row['cap']['rps']:g}/s for {age(row['cap']['left_ms'])}" if row.get("cap") else "-"

    fields = [
        ("tenant", 0, lambda r: r["tenant"], False),
        ("open", 5, lambda r: r.get("open", 0), True),
        ("taken", 8, lambda r: r.get("taken", 0), True),
        ("done", 8, lambda r: r.get("done", 0), True),
        ("pushed", 7, lambda r: r.get("pushed back", 0), True),
        ("aborted", 7, lambda r: r.get("aborted", 0), True),
        ("quota", 7, lambda r: f"{r['quota_rps']:g}" if r.get("quota_rps") else "-", True),
        ("cap", 18, cap, False),
    ]
    return table(model, columns, room, fields, model.listed(), lambda r: "warn" if r.get("cap") else "")


def timeline(model, columns, room, now_ms, plain):
    at = model.snap["unix_ms"]
    fields = [("ago", 9, lambda r: age(at - r["unix_ms"]), True), ("what", 0, told, False)]
    return table(model, columns, room, fields, model.listed())


def detail(model, columns):
    d = model.detail
    out = [
        [
            (
                "head",
                fit(
                    f" Req {d['req']}: {clean(d['group'])}, tenant {clean(d['tenant'])}, {d['stage']}, age "
                    f"{age(d['age_ms'])}, {d['forwards']} forwards",
                    columns,
                ),
            )
        ]
    ]
    out.append(
        [
            (
                "",
                f" prompt {d['prompt']} tokens, written {d['tokens']}, "
                + (f"time left {age(d['left_ms'])}" if d["left_ms"] is not None else "its answer has begun"),
            )
        ]
    )
    out += [[("dim", f" now at {clean(o['box'])}, {o['stage']}, for {age(o['ms'])}")] for o in d["outs"]]
    out.append([("", "")])
    for line in d["reasons"]:
        out += wrap([("", " "), ("", clean(line))], columns, 3)
    return out + [[("", "")], [("dim", " Esc goes back.")]]
