#!/usr/bin/env python3
"""Switches one mechanism off in a copy of the sources: switch_off.py NAME COPY; --check tries all."""

import pathlib
import sys
import tomllib

HERE = pathlib.Path(__file__).resolve().parent


def switches():
    with open(HERE / "switches.toml", "rb") as table:
        return {one["name"]: one for one in tomllib.load(table)["switch"]}


def switched(one, copy):
    """Returns the changed text of the switch's file; raises LookupError where the text is not there once."""
    text = (copy / one["file"]).read_text()
    if text.count(one["old"]) != 1:
        raise LookupError(f"{one['file']}: the text of switch {one['name']} stands there {text.count(one['old'])} times")
    return text.replace(one["old"], one["new"])


def main(arguments):
    if arguments == ["--check"]:
        for one in switches().values():
            switched(one, HERE.parent.parent)
        return 0
    if len(arguments) != 2 or arguments[0] not in switches():
        print(__doc__, "Names:", ", ".join(switches()), file=sys.stderr)
        return 2
    one, copy = switches()[arguments[0]], pathlib.Path(arguments[1])
    (copy / one["file"]).write_text(switched(one, copy))
    print(f"off: {one['off']}")
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main(sys.argv[1:]))
    except (LookupError, OSError) as failure:
        print(f"switch_off: {failure}", file=sys.stderr)
        sys.exit(1)
