#!/usr/bin/env python3
"""Draws slopes as SVG: plot.py RUN FOLDER        RUN is the last line of scripts/measure slopes"""
import json, os, sys

WIDTH, HEIGHT, LEFT, RIGHT, TOP, BOTTOM = 640, 400, 84, 24, 64, 56
COLOURS = ["#1b6ca8", "#c2571a", "#3a7d44", "#7a4b9e"]
PLOTS = [  # file, title, x axis, y axis, factor, (series, label)..., limit or None
    ("state", "Memory of the replica against budgets", "budgets", "MB", 1e-6,
     [("contract_state_bytes", "contracts"), ("budget_state_bytes", "budgets")], (64, "64 MB for all of control")),
    ("checkpoint", "Checkpoint: peak of memory, and size, against budgets", "budgets", "MB", 1e-6,
     [("checkpoint_read_peak_bytes", "peak, reading"), ("checkpoint_write_peak_bytes", "peak, writing"),
      ("checkpoint_bytes", "whole"), ("checkpoint_compressed_bytes", "compressed")], (64, "64 MB for all of control")),
    ("membership", "Membership: traffic of one host against hosts", "hosts", "KB/s sent", 1e-3,
     [("member_bytes_per_s", "no failures")], None),
    ("membership-cpu", "Membership: processor time of one host against hosts", "hosts", "% of a core", 1e-4,
     [("member_cpu_us_per_s", "no failures")], None),
    ("shares", "Planning one pool's shares against hosts that report", "hosts", "us each second", 1,
     [("share_plan_us", "plan")], None),
    ("calls", "Processor time of messages between hosts, both ends", "messages", "ms", 1e-3,
     [("call_cpu_us", "a gRPC call each"), ("datagram_cpu_us", "a datagram each")], None),
    ("epochs", "Memory of live epochs by role", "live epochs", "MB", 1e-6,
     [("holder_epoch_bytes", "held here"), ("witness_epoch_bytes", "witnessed here"), ("replica_epoch_bytes", "elsewhere")], None),
    ("loads", "One batch of endpoints' loads against endpoints", "endpoints", "KB", 1e-3,
     [("load_report_bytes", "load reports"), ("use_report_bytes", "use reports")], None),
]


def ticks(most):
    step = 10 ** len(str(int(most))) / 10 if most >= 1 else 0.1
    while most / step > 6:
        step *= 2
    while most / step < 3:
        step /= 2
    return [step * i for i in range(int(most / step) + 2)]


def short(value):
    return f"{value / 1000:g} k" if value >= 10_000 else f"{value:g}"


def draw(plot, slopes):
    _, title, x_name, y_name, factor, lines, limit = plot
    data = [(label, slopes[name], [(x, y * factor) for x, y in slopes[name]["points"]]) for name, label in lines]
    x_most = max(x for _, _, points in data for x, _ in points)
    y_most = max([y for _, _, points in data for _, y in points] + ([limit[0]] if limit else []))
    x_ticks = [t for t in ticks(x_most) if t <= x_most * 1.001]
    y_ticks = ticks(y_most * 1.05)
    at = lambda x, y: (LEFT + x / x_most * (WIDTH - LEFT - RIGHT), HEIGHT - BOTTOM - y / y_ticks[-1] * (HEIGHT - TOP - BOTTOM))
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" height="{HEIGHT}" '
           'font-family="sans-serif" font-size="13" fill="#222">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>', f'<text x="{LEFT}" y="22" font-size="16">{title}</text>']
    for t in y_ticks:
        x, y = at(0, t)
        out += [f'<path d="M{x} {y:.1f}H{WIDTH - RIGHT}" stroke="#ddd"/>', f'<text x="{x - 8}" y="{y + 4:.1f}" text-anchor="end">{short(t)}</text>']
    for t in x_ticks:
        x, y = at(t, 0)
        out.append(f'<text x="{x:.1f}" y="{y + 20}" text-anchor="middle">{short(t)}</text>')
    out += [f'<text x="{(LEFT + WIDTH - RIGHT) / 2}" y="{HEIGHT - 12}" text-anchor="middle">{x_name}</text>',
            f'<text transform="translate(20 {(TOP + HEIGHT - BOTTOM) / 2}) rotate(-90)" text-anchor="middle">{y_name}</text>']
    if limit:
        x, y = at(0, limit[0])
        out += [f'<path d="M{x} {y:.1f}H{WIDTH - RIGHT}" stroke="#b00020" stroke-dasharray="6 4"/>',
                f'<text x="{WIDTH - RIGHT}" y="{y - 5:.1f}" text-anchor="end" fill="#b00020">{limit[1]}</text>']
    for i, (label, fitted, points) in enumerate(data):
        colour = COLOURS[i]
        start = max(0.0, fitted["intercept"] * factor)
        (x1, y1), (x2, y2) = at(0, start), at(points[-1][0], max(0.0, (fitted["intercept"] + fitted["slope"] * points[-1][0]) * factor))
        out.append(f'<path d="M{x1:.1f} {y1:.1f}L{x2:.1f} {y2:.1f}" stroke="{colour}" stroke-width="2"/>')
        out += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="4" fill="{colour}"/>' for x, y in (at(*p) for p in points)]
        x = LEFT + i * 138
        out += [f'<circle cx="{x + 5}" cy="42" r="5" fill="{colour}"/>', f'<text x="{x + 15}" y="47">{label}</text>']
    return "\n".join(out + ["</svg>"]) + "\n"


def main():
    run, folder = sys.argv[1:]
    slopes = {s["name"]: s for s in json.loads(open(run).read().strip().splitlines()[-1])["slopes"]}
    for plot in PLOTS:
        with open(os.path.join(folder, plot[0] + ".svg"), "w") as out:
            out.write(draw(plot, slopes))


main()
