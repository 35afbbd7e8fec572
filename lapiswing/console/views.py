"""Renders the model as lines of styled text: a list of lines, each a list of (style, text). No I/O; widths are exact.

Styles: '' plain, 'head', 'bad', 'warn', 'good', 'dim', 'pick'. Colour is never the only sign of a state."""

from lapiswing.console.model import SORT_FIELDS, VIEWS
from lapiswing.console.text import age, clean, fit, spark, width

LEVELS = {0: ("good", "OK"), 1: ("good", "OK"), 2: ("warn", "WARNING"), 3: ("bad", "SERIOUS")}
HELP = """\
 1-6, Tab, left, right   views: overview, boxes, reqs, holds, tenants, timeline
 up, down, j, k          move          Space, b, g, G    page, first, last
 s, r                    next sort field, reverse        / search, Esc clear
 Enter                   a req's attempts, reasons       p pause, q quit, ? help
 On the control socket:
 d, t                    boxes: drain the picked one, take it back
 c, u                    tenants: cap the picked one, lift the cap
 a                       acknowledge the first finding
 D                       drain the gateway
 Any key closes this page. What findings mean: docs/oncall.md"""


def render(model, columns, rows, now_ms, plain=False):
    """The whole screen: exactly `rows` lines, each exactly `columns` wide. `plain`: ASCII only."""
    lines = head(model, columns, now_ms)
    foot_lines = footer(model, columns)
    body_rows = max(0, rows - len(lines) - len(foot_lines))
    if model.show_help:
        body = [[("", line)] for line in HELP.split("\n")]
    elif model.snap is None:
        body = [[("", "")], [("", f" Waiting for {clean(model.address)} ...")], [("dim", f" {clean(model.problem or '')}")]]
    elif model.detail is not None:
        body = detail(model, columns)
    else:
        body = {"overview": overview, "boxes": boxes, "reqs": reqs, "holds": holds, "tenants": tenants, "timeline": timeline}[
            model.view
        ](model, columns, body_rows, now_ms, plain)
    lines += (body + [[("", "")]] * body_rows)[:body_rows]
    return [fit_line(line, columns) for line in (lines + foot_lines)[:rows]] + [fit_line([("", "")], columns)] * (
        rows - len(lines) - len(foot_lines)
    )


def fit_line(line, columns):
    """Cuts or pads a line to the width."""
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
    """The title with the views, then the verdict, or the state of the connection."""
    snap = model.snap
    if snap is None:
        return [[("head", fit(f" lapiswing console  {model.connection_state}", columns))]]
    gateway, verdict = snap["gateway"], snap["verdict"]
    style, word = LEVELS[verdict["level"]]
    if model.connection_state == "lost":
        style, word = "bad", "NO CONNECTION"
        text = (
            f"for {age(now_ms - model.state_since_ms)}: {clean(model.problem or '')}; what follows is from "
            f"{age(now_ms - model.snap_at_ms)} ago"
        )
    else:
        text = clean(verdict["text"])
    state = "PAUSED  " if model.paused else "draining  " if gateway["draining"] else ""
    title = f" {clean(gateway['name'])}  up {age(gateway['up_ms'])}  {state}"
    tabs = "  ".join(f"[{view}]" if view == model.view else view for view in VIEWS)
    out = [[("head", fit(title + (tabs if len(title) + len(tabs) < columns else f"[{model.view}]"), columns))]]
    return out + wrap([(style, f" {word}: "), ("", text)], columns, 2)


def wrap(parts, columns, max_lines):
    """Wraps the second part's text after the first part, over at most `max_lines` lines."""
    style, first = parts[0]
    lines, line, used = [], [(style, first)], width(first)
    for word in parts[1][1].split():
        if used + width(word) + 1 > columns and len(lines) < max_lines - 1:
            lines.append(line)
            line, used = [("", "   ")], 3
        line.append((parts[1][0], word + " "))
        used += width(word) + 1
    return lines + [line]


def footer(model, columns):
    """The prompt, the last message, or the most important keys."""
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


def overview(model, columns, body_rows, now_ms, plain):
    """The findings, the main counters, the servers by role and the latest changes."""
    snap, out = model.snap, []
    counts, now = snap.get("counts", {}), snap.get("now", {})
    for finding in snap["findings"]:
        style, word = LEVELS[finding["level"]]
        mark = " (acknowledged)" if finding["acknowledged"] else ""
        about = f"{clean(finding['subject'])}: " if finding["subject"] else ""
        out += wrap(
            [
                ("dim" if finding["acknowledged"] else style, f" {word}{mark} "),
                (
                    "",
                    f"{about}{clean(finding['cause'])}, for {age(snap['unix_ms'] - finding['since_unix_ms'])}. "
                    f"{clean(finding['evidence'])}.",
                ),
            ],
            columns,
            2,
        )
        out += wrap([("dim", "   do: "), ("", clean(finding["do"]))], columns, 2)
    if out:
        out.append([("", "")])
    rate = model.rate("taken")
    spark_columns = max(20, (columns - 30) // 2)
    rows = (
        ("reqs a second", "taken", "-" if rate is None else f"{rate:.1f}"),
        ("pushed back", "pushed back", counts.get("pushed back", 0)),
        ("aborted", "aborted", counts.get("aborted", 0)),
    )
    for label, name, value in rows:
        out.append(
            [
                ("", f" {fit(label, 14)}{fit(str(value), 8, True)}  "),
                ("dim", spark(model.rates(name, spark_columns), spark_columns, plain)),
            ]
        )
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
        running = ", ".join(
            task["name"] for task in tasks.get("running", ()) if task["name"] not in ("snapshot", "scan of holds")
        )
        out.append(
            [
                ("" if store["mode"] == "good" else "bad", f" {fit('memory', 14)}{fit(str(store['keys']), 8, True)}"),
                (
                    "",
                    f"   keys, store {clean(store['mode'])}, {store['bytes'] / 1048576:.1f} MB"
                    + (f"; {clean(running)}" if running else ""),
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
    counts_by_role = {}
    for server in snap.get("boxes", ()):
        row = counts_by_role.setdefault(server["role"], {"ready": 0, "draining": 0, "gone": 0, "suspect": 0, "cold": 0, "out": 0})
        row[server["mode"]] = row.get(server["mode"], 0) + 1
        row["suspect"] += server["suspect"]
        row["cold"] += server["cold"]
        row["out"] += server["out"]
    for role, row in sorted(counts_by_role.items()):
        parts = ", ".join(f"{n} {word}" for word, n in row.items() if n and word not in ("out", "gone"))
        style = "bad" if not row["ready"] else "warn" if row["suspect"] or row["draining"] else ""
        out.append(
            [
                (style, f" {fit({'read': 'readers', 'write': 'writers'}.get(role, 'mixed'), 14)}"),
                ("", f"{parts}; {row['out']} attempts open"),
            ]
        )
    out.append([("", "")])
    for line in list(snap.get("modes", ()))[-max(0, body_rows - len(out)) :][::-1]:
        out.append([("dim", f" {age(snap['unix_ms'] - line['unix_ms']):>8} ago  "), ("", change_text(line))])
    return out


def change_text(line):
    """A change of the feed as text."""
    kind = line["type"]
    if kind == "mode":
        return clean(line["text"])
    if kind == "box":
        return clean(f"{line['box']} {line['mode']}" + (f" ({line['why']})" if line.get("why") else ""))
    if kind == "finding":
        return clean(f"{line['what']}: {line['kind']} {line['subject']}: {line['cause']}")
    return clean(f"{kind}: {line.get('text', '')}" + (f" by {line['who']}" if line.get("who") else ""))


def table(model, columns, body_rows, fields, rows, style_of=lambda row: ""):
    """A table with the selected row in view. `fields`: (title, width or 0 for the remaining width, value of a row, aligned
    right)."""
    fixed_width = sum(w for _, w, _, _ in fields if w) + len(fields)
    rest_width = max(8, columns - fixed_width - 1)
    widths = [w or rest_width for _, w, _, _ in fields]
    sort_fields = SORT_FIELDS.get(model.view)
    out = [[("head", " " + " ".join(fit(t, w, right) for (t, _, _, right), w in zip(fields, widths)))]]
    if not rows:
        return out + [[("dim", " none" + (f" that match {clean(model.search)!r}" if model.search else ""))]]
    visible_rows = max(1, body_rows - 2)
    selected = max(0, min(model.selected, len(rows) - 1))
    first_visible = max(0, min(model.first_visible, selected, len(rows) - visible_rows))
    if selected >= first_visible + visible_rows:
        first_visible = selected - visible_rows + 1
    model.first_visible = first_visible
    for i, row in enumerate(rows[first_visible : first_visible + visible_rows], first_visible):
        text = " ".join(fit(clean(value(row)), w, right) for (_, _, value, right), w in zip(fields, widths))
        out.append([("pick" if i == selected else style_of(row), (">" if i == selected else " ") + text)])
    note = f" {len(rows)} in all" + (
        f", sorted by {sort_fields[model.sort[model.view] % len(sort_fields)].replace('_', ' ')}" if sort_fields else ""
    )
    return out + [[("dim", note)]]


def ms_text(us):
    """Microseconds as text in milliseconds."""
    return "-" if us is None else f"{us / 1000:.0f}"


def percent_text(value):
    """A share from 0 to 1 as text in percent."""
    return "-" if value is None else f"{100 * value:.0f}%"


def server_style(row):
    """The style of a row in the view of servers."""
    return "bad" if row["suspect"] or row["mode"] == "gone" else "warn" if row["mode"] != "ready" or row["cold"] else ""


def server_state(row):
    """The mode of a server with its reason and what limits its use."""
    out = row["mode"] + (f" ({row['why']})" if row["why"] else "")
    return out + (" SUSPECT" if row["suspect"] else "") + (" cold" if row["cold"] else "")


def boxes(model, columns, body_rows, now_ms, plain):
    """The view of the servers."""
    wide = columns >= 100
    fields = [
        ("box", 22, lambda r: r["box"], False),
        ("role", 5, lambda r: r["role"], False),
        ("state", 0, server_state, False),
        ("out", 4, lambda r: r["out"], True),
        ("rd", 4, lambda r: percent_text(r.get("reads")), True),
        ("wr", 4, lambda r: percent_text(r.get("writes")), True),
        ("first", 6, lambda r: ms_text(r["first_us"]), True),
        ("fails", 6, lambda r: sum(r["codes"].get(c, 0) for c in ("error", "reset", "unreachable", "timed_out")), True),
    ]
    if wide:
        fields += [
            ("read", 6, lambda r: ms_text(r["read_us"]), True),
            ("mem", 4, lambda r: percent_text(r["memory"]), True),
            ("kept", 5, lambda r: r["kept_texts"], True),
            ("bad", 5, lambda r: f"{r['bad']:.2f}", True),
            ("up", 8, lambda r: age(r["up_ms"]), True),
        ]
    return table(model, columns, body_rows, fields, model.listed(), server_style)


def reqs(model, columns, body_rows, now_ms, plain):
    """The view of the open requests."""
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
        model,
        columns,
        body_rows,
        fields,
        model.listed(),
        lambda r: "warn" if r["left_ms"] is not None and r["left_ms"] < 500 else "",
    )


def holds(model, columns, body_rows, now_ms, plain):
    """The view of the requests whose state is held without an attempt."""
    limit = model.snap.get("now", {}).get("hold_limit_ms") or 1
    fields = [
        ("req", 8, lambda r: r["req"], True),
        ("held", 8, lambda r: age(r["held_ms"]), True),
        ("of limit", 8, lambda r: percent_text(r["held_ms"] / limit), True),
        ("tenant", 12, lambda r: r["tenant"], False),
        ("holder", 0, lambda r: r["box"] or "-", False),
    ]
    return table(model, columns, body_rows, fields, model.listed(), lambda r: "bad" if r["held_ms"] > limit / 2 else "")


def tenants(model, columns, body_rows, now_ms, plain):
    """The view of the tenants."""

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
    return table(model, columns, body_rows, fields, model.listed(), lambda r: "warn" if r.get("cap") else "")


def timeline(model, columns, body_rows, now_ms, plain):
    """The view of the latest changes, newest first."""
    snapshot_ms = model.snap["unix_ms"]
    fields = [("ago", 9, lambda r: age(snapshot_ms - r["unix_ms"]), True), ("what", 0, change_text, False)]
    return table(model, columns, body_rows, fields, model.listed())


def detail(model, columns):
    """The details of one open request."""
    req = model.detail
    out = [
        [
            (
                "head",
                fit(
                    f" Req {req['req']}: {clean(req['group'])}, tenant {clean(req['tenant'])}, {req['stage']}, age "
                    f"{age(req['age_ms'])}, {req['forwards']} attempts",
                    columns,
                ),
            )
        ]
    ]
    out.append(
        [
            (
                "",
                f" prompt {req['prompt']} tokens, generated {req['tokens']}, "
                + (f"time left {age(req['left_ms'])}" if req["left_ms"] is not None else "its answer has begun"),
            )
        ]
    )
    out += [
        [("dim", f" now on {clean(attempt['box'])}, {attempt['stage']}, for {age(attempt['ms'])}")] for attempt in req["outs"]
    ]
    out.append([("", "")])
    for line in req["reasons"]:
        out += wrap([("", " "), ("", clean(line))], columns, 3)
    return out + [[("", "")], [("dim", " Esc goes back.")]]
