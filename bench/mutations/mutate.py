#!/usr/bin/env python3
"""Shows that tests notice deliberate faults in the program's code.

Each mutation of the table replaces some text of one source file. The changed file is compiled with
the build's options, and linked into the test program in place of the one in its library; the
sources and the build stay as they are. A mutation counts as noticed when a test case named in the
table fails, where the program without it passes the same ones. A program that crashes or does not
end has noticed nothing. The last line is one JSON object.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import shlex
import subprocess
import sys
import tomllib
import xml.etree.ElementTree as xml

root = pathlib.Path(__file__).resolve().parents[2]
build = root / os.environ.get("BUILD_DIR", "build")
# One file is compiled for a few runs of a test: half the time of a release build.
faster_compilation = ["-O1", "-g0"]
# The slowest of the test cases takes some seconds where nothing else runs.
longest_test_s = 120


class refused(Exception):
    """A mutation that does not fit the sources, or does not build."""


def run(command, folder):
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    if done.returncode != 0:
        raise refused((done.stderr or done.stdout)[-2000:])
    return done.stdout


def changed_source(mutation):
    text = (root / mutation["file"]).read_text()
    found = text.count(mutation["old"])
    if found != 1:
        raise refused(f"{mutation['file']} has the text to replace {found} times, not once")
    return text.replace(mutation["old"], mutation["new"])


def fits(mutation):
    try:
        changed_source(mutation)
        return True
    except (OSError, refused) as reason:
        print(f"{mutation['name']}: DOES NOT FIT, {reason}", flush=True)
        return False


def compile_changed(mutation, commands, folder):
    original = str(root / mutation["file"])
    source = folder / pathlib.Path(mutation["file"]).name
    source.write_text(changed_source(mutation))
    entry = commands[original]
    words = shlex.split(entry["command"])
    compiled = folder / "changed.o"
    words[words.index("-o") + 1] = str(compiled)
    words[words.index(original)] = str(source)
    run(words + faster_compilation, entry["directory"])
    return compiled


def link_with(compiled, test, folder):
    """The changed object comes before the libraries, so that theirs is not taken."""
    last = run(["ninja", "-t", "commands", f"bin/test_{test}"], build).strip().splitlines()[-1]
    words = shlex.split(last.removeprefix(": &&").removesuffix("&& :"))
    program = folder / f"test_{test}"
    at = words.index("-o")
    words[at:at + 2] = [str(compiled), "-o", str(program)]
    run(words, build)
    return program


def failed_cases(program, cases):
    """The test cases that fail of those named; all are run when none is named."""
    names = ",".join(case.replace(",", "\\,") for case in cases)
    command = [str(program), "-r=junit"] + ([f"-tc={names}"] if cases else [])
    environment = {"RC_PARAMS": "seed=20261202", **os.environ}
    try:
        done = subprocess.run(command, cwd=root, capture_output=True, text=True, errors="replace",
                              timeout=longest_test_s, env=environment)
    except subprocess.TimeoutExpired:
        raise refused(f"does not end within {longest_test_s} s")
    if done.returncode < 0:
        raise refused(f"ends by signal {-done.returncode}")
    try:
        suite = xml.fromstring(done.stdout[done.stdout.index("<?xml"):])
    except (ValueError, xml.ParseError):
        raise refused("the test program's report cannot be read")
    ran = [case for case in suite.iter("testcase")]
    missing = set(cases) - {case.get("name") for case in ran}
    if missing:
        raise refused(f"no test case \"{missing.pop()}\"")
    return {case.get("name") for case in ran
            if case.find("failure") is not None or case.find("error") is not None}


def try_mutation(mutation, commands, discover):
    folder = build / "mutations" / mutation["name"]
    folder.mkdir(parents=True, exist_ok=True)
    program = link_with(compile_changed(mutation, commands, folder), mutation["test"], folder)
    failed = failed_cases(program, [] if discover else mutation["noticed_by"])
    program.unlink()
    return failed


def show(mutation, commands, discover):
    """Prints what became of one mutation; true when a test case noticed it."""
    try:
        failed = try_mutation(mutation, commands, discover)
    except refused as reason:
        print(f"{mutation['name']}: NOT TRIED, {reason}", flush=True)
        return False
    if not failed:
        print(f"{mutation['name']}: NOT NOTICED ({mutation['fault']})", flush=True)
        return False
    cases = sorted(failed) if discover else [c for c in mutation["noticed_by"] if c in failed]
    print(f"{mutation['name']}: noticed by " + "; ".join(f'"{case}"' for case in cases), flush=True)
    return True


def check_unchanged(mutations):
    """The test cases must pass without any mutation, or their failures would say nothing."""
    for test in sorted({mutation["test"] for mutation in mutations}):
        cases = sorted({case for m in mutations if m["test"] == test for case in m["noticed_by"]})
        failed = failed_cases(build / "bin" / f"test_{test}", cases)
        if failed:
            raise refused(f"test_{test} fails without a mutation: {sorted(failed)}")


def main():
    global build
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("names", nargs="*", help="mutations to try; all when none is named")
    options.add_argument("--table", default=str(root / "bench/mutations/platform.toml"))
    options.add_argument("--build", help="folder of the build; else $BUILD_DIR, or build")
    options.add_argument("--quick", action="store_true", help="only those marked quick")
    options.add_argument("--fits", action="store_true",
                         help="only look whether each text to replace stands once in its file")
    options.add_argument("--jobs", type=int, default=3, help="mutations tried at a time")
    options.add_argument("--discover", action="store_true",
                         help="run all test cases of a group and show which ones fail")
    given = options.parse_args()
    if given.build:
        build = pathlib.Path(given.build)
    table = tomllib.loads(pathlib.Path(given.table).read_text())["mutation"]
    chosen = [m for m in table if (not given.quick or m.get("quick"))
              and (not given.names or m["name"] in given.names)]
    if given.fits:
        missed = sum(not fits(mutation) for mutation in chosen)
        print(json.dumps({"mutations": len(chosen), "missed": missed}))
        return 0 if chosen and missed == 0 else 1
    commands = {entry["file"]: entry
                for entry in json.loads((build / "compile_commands.json").read_text())}
    try:
        if not given.discover:
            check_unchanged(chosen)
    except refused as reason:
        print(f"{reason}\n" + json.dumps({"mutations": len(chosen), "missed": len(chosen)}))
        return 1
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        noticed = sum(pool.map(lambda m: show(m, commands, given.discover), chosen))
    missed = len(chosen) - noticed
    print(json.dumps({"mutations": len(chosen), "missed": missed}))
    return 0 if chosen and missed == 0 else 1


sys.exit(main())
