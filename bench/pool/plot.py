#!/usr/bin/env python3
"""Draws the modelled pool against load: plot.py RUN FOLDER    RUN is the output of scripts/measure pool"""
import json, os, sys

WIDTH, HEIGHT, LEFT, RIGHT, TOP, BOTTOM = 640, 400, 84, 24, 84, 56
COLOURS = {"shipped": "#1b6ca8", "round_robin": "#c2571a", "least_outstanding": "#3a7d44",
           "prefix_least_wait": "#7a4b9e", "oracle": "#555555"}


def worth(run, kind):
    return run["worth"]


def wait(run, kind):
    return next(k for k in run["kinds"] if k["kind"] == kind)["first_ms_p99"]


PLOTS = [  # file, title, y axis, figure, kind, most or None
    ("pool-worth", "Worth earned of worth owed", "part", worth, None, 1.0),
    ("pool-wait-chat", "Wait for a chat's first event, p99", "ms", wait, "chat", 2000),
    ("pool-wait-draft", "Wait for a draft's first event, p99", "ms", wait, "draft", 5000),
]


def lines_of(runs, figure, kind):
    lines = {}
    for run in runs:
        if run["scenario"].startswith("load "):
            lines.setdefault(run["policy"], []).append((float(run["scenario"][5:]), figure(run, kind)))
    return lines


def draw(title, y_name, lines, y_most):
    loads = sorted({x for points in lines.values() for x, _ in points})
    x_least, x_most = loads[0], loads[-1]
    at = lambda x, y: (LEFT + (x - x_least) / (x_most - x_least) * (WIDTH - LEFT - RIGHT),
                       HEIGHT - BOTTOM - min(y, y_most) / y_most * (HEIGHT - TOP - BOTTOM))
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" height="{HEIGHT}" '
           'font-family="sans-serif" font-size="13" fill="#222">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>', f'<text x="{LEFT}" y="22" font-size="16">{title}</text>']
    for i in range(6):
        x, y = at(x_least, y_most * i / 5)
        out += [f'<path d="M{x} {y:.1f}H{WIDTH - RIGHT}" stroke="#ddd"/>',
                f'<text x="{x - 8}" y="{y + 4:.1f}" text-anchor="end">{y_most * i / 5:g}</text>']
    for load in loads:
        x, y = at(load, 0)
        out.append(f'<text x="{x:.1f}" y="{y + 20}" text-anchor="middle">{load:g}</text>')
    out += [f'<text x="{(LEFT + WIDTH - RIGHT) / 2}" y="{HEIGHT - 12}" text-anchor="middle">load, times the usual</text>',
            f'<text transform="translate(20 {(TOP + HEIGHT - BOTTOM) / 2}) rotate(-90)" text-anchor="middle">{y_name}</text>']
    for i, (policy, points) in enumerate(lines.items()):
        colour = COLOURS[policy]
        path = "L".join(f"{x:.1f} {y:.1f}" for x, y in (at(*p) for p in sorted(points)))
        out.append(f'<path d="M{path}" stroke="{colour}" stroke-width="2" fill="none"/>')
        out += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3.5" fill="{colour}"/>' for x, y in (at(*p) for p in points)]
        x, y = LEFT + i % 3 * 180, 42 + i // 3 * 20
        out += [f'<circle cx="{x + 5}" cy="{y}" r="5" fill="{colour}"/>',
                f'<text x="{x + 15}" y="{y + 5}">{policy.replace("_", " ")}</text>']
    return "\n".join(out + ["</svg>"]) + "\n"


def main():
    run, folder = sys.argv[1:]
    runs = json.loads(open(run).read().strip().splitlines()[-1])["runs"]
    for name in sorted({r["deployment"] for r in runs}):
        for file, title, y_name, figure, kind, most in PLOTS:
            lines = lines_of([r for r in runs if r["deployment"] == name], figure, kind)
            with open(os.path.join(folder, f"{file}-{name}.svg"), "w") as out:
                out.write(draw(f"{title} ({name})", y_name, lines, most))


main()
