#!/usr/bin/env python3
"""Runs clang-tidy on source files and remembers which are clean.

scripts/tidy.py [--jobs N] BUILD FILE...   paths are relative to the root of the repository

A file is checked again when its text, a project header that it includes (also indirectly), its
compiler options, .clang-tidy or the version of clang-tidy has changed. Records of clean files lie
in $XDG_CACHE_HOME/sedgechute/tidy; a file with a finding is never recorded.
"""

import argparse
import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

INCLUDE = re.compile(rb'^[ \t]*#[ \t]*include[ \t]*"([^"]+)"', re.MULTILINE)
FINDING = re.compile(r"(?:warning|error):")


def cache_folder():
    base = os.environ.get("XDG_CACHE_HOME") or os.path.join(os.path.expanduser("~"), ".cache")
    return pathlib.Path(base) / "sedgechute" / "tidy"


def compile_commands(build):
    """Maps the absolute path of each source file to its compiler command."""
    path = build / "compile_commands.json"
    commands = {}
    for entry in json.loads(path.read_text()) if path.exists() else []:
        text = entry.get("command") or " ".join(entry["arguments"])
        commands[os.path.normpath(os.path.join(entry["directory"], entry["file"]))] = text
    return commands


def include_folders(command):
    return re.findall(r"-(?:I|isystem) ?(\S+)", command)


@functools.lru_cache(maxsize=None)
def read_file(path):
    """Returns the digest of a file and the names that it includes in quotes."""
    data = pathlib.Path(path).read_bytes()
    return hashlib.sha256(data).hexdigest(), tuple(
        name.decode("utf-8", "replace") for name in INCLUDE.findall(data))


def project_files(source, folders):
    """Returns the source file and the headers that it includes in quotes, also indirectly."""
    found, pending = set(), [source]
    while pending:
        path = pending.pop()
        if path in found:
            continue
        found.add(path)
        for name in read_file(path)[1]:
            candidates = (os.path.join(folder, name) for folder in (os.path.dirname(path), *folders))
            header = next((one for one in candidates if os.path.isfile(one)), None)
            if header:
                pending.append(os.path.normpath(header))
    return sorted(found)


def key_of(source, command, root, build, configuration):
    """Returns a digest of all that a check of the file depends on, the same in every checkout."""
    folders = include_folders(command)
    relative = command.replace(str(build), "BUILD").replace(str(root), "ROOT")
    digest = hashlib.sha256(configuration)
    digest.update(relative.encode())
    for path in project_files(str(source), folders):
        name = os.path.relpath(path, root)
        digest.update(f"{name} {read_file(path)[0]}\n".encode())
    return digest.hexdigest()


def check(source, build):
    """Returns whether clang-tidy finds nothing in the file, and the lines of its findings."""
    run = subprocess.run(["clang-tidy", "--quiet", "-p", str(build), str(source)],
                         capture_output=True, text=True, errors="replace", check=False)
    findings = [line for line in run.stdout.splitlines() if FINDING.search(line)]
    if run.returncode != 0 and not findings:
        findings = [f"{source}: error: clang-tidy exited with {run.returncode}"]
    return run.returncode == 0 and not findings, findings


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("files", nargs="*")
    options = parser.parse_args()
    root, build = pathlib.Path.cwd().resolve(), options.build.resolve()
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    configuration = version + (root / ".clang-tidy").read_bytes()
    commands = compile_commands(build)
    records = cache_folder()
    records.mkdir(parents=True, exist_ok=True)

    def check_unless_clean(name):
        source = root / name
        record = records / key_of(source, commands.get(str(source), ""), root, build, configuration)
        if record.exists():
            return True, []
        clean, findings = check(source, build)
        if clean:
            record.touch()
        return clean, findings

    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(check_unless_clean, options.files))
    for line in sorted({line for _, findings in results for line in findings}):
        print(line)
    return 0 if all(clean for clean, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main())
