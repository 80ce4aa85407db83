#!/usr/bin/env python3
"""Checks that docs/result-codes.md and docs/log-events.md match the tables in the sources.

Fails if an entry has no row, a row has no entry, a row is given twice, or the number, name, SQLSTATE,
run state or level of a row differs from the sources.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BASE = ROOT / "src/oleanderledge/base"
RUN_STATES = {"NotRun": "not run", "Ran": "ran", "Unknown": "unknown"}


def enum_values(path, enum):
    """Values of a scoped enumeration by enumerator name."""
    body = re.search(rf"enum class {enum}\b[^{{]*\{{(.*?)\}};", path.read_text(), re.S)
    if body is None:
        sys.exit(f"check_tables: {path}: no enum {enum}")
    return {name: int(number) for name, number in re.findall(r"(\w+)\s*=\s*(\d+)", body[1])}


def source_rows(enum, entry, decode):
    """The first columns that the documentation must show, by number."""
    numbers = enum_values(BASE / f"{enum}.hpp", enum)
    path = BASE / f"{enum}.cpp"
    text = path.read_text()
    entries = re.findall(entry, text)
    # Guards against an entry that the pattern does not recognise.
    if not entries or len(entries) != len(re.findall(rf"{enum}Info\s*\{{", text)):
        sys.exit(f"check_tables: {path}: entries of an unknown form")
    problems = [f"{path}: {name} has no entry" for name in numbers.keys() - {e[0] for e in entries}]
    rows = {numbers[found[0]]: (str(numbers[found[0]]), *decode(found)) for found in entries}
    return rows, problems


def documented_rows(path, problems):
    """Cells of the rows that start with a number, by number."""
    rows = {}
    for line in path.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|") or not cells[0].isdigit():
            continue
        number = int(cells[0])
        if number in rows:
            problems.append(f"{path}: {number} has two rows")
        rows[number] = tuple(cells)
    return rows


def compare(document, columns, expected, problems):
    path = ROOT / "docs" / document
    rows = documented_rows(path, problems)
    for number in sorted(expected.keys() | rows.keys()):
        if number not in rows:
            problems.append(f"{path}: {number} {expected[number][1]} has no row")
        elif number not in expected:
            problems.append(f"{path}: the row of {number} has no entry in the sources")
        elif rows[number][: len(expected[number])] != expected[number]:
            problems.append(f"{path}: the row of {number} differs, expected {expected[number]}")
        elif len(rows[number]) != columns or not all(rows[number]):
            problems.append(f"{path}: the row of {number} needs {columns} filled columns")


def main():
    codes, problems = source_rows(
        "ResultCode",
        r'ResultCodeInfo\{\s*ResultCode::(\w+),\s*"(\w+)",\s*"(\w{5})",\s*(\w+),',
        lambda found: (found[1], found[2], RUN_STATES[found[3]]),
    )
    events, event_problems = source_rows(
        "LogEvent",
        r'LogEventInfo\{\s*LogEvent::(\w+),\s*"(\w+)",\s*(\w+)\s*\}',
        lambda found: (found[1], found[2].lower()),
    )
    problems += event_problems
    compare("result-codes.md", 6, codes, problems)
    compare("log-events.md", 5, events, problems)
    for problem in problems:
        print(f"check_tables: {problem}", file=sys.stderr)
    if problems:
        return 1
    print(f"check_tables: {len(codes)} result codes and {len(events)} log events match")
    return 0


if __name__ == "__main__":
    sys.exit(main())
