#!/usr/bin/env python3
"""Runs clang-tidy in parallel over the compilation database of a build directory.

A file that passed is not checked again until it, a project header or the configuration changes.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "oleanderledge-tidy"


def digest(paths):
    total = hashlib.sha256()
    for path in paths:
        total.update(pathlib.Path(path).read_bytes())
    return total.hexdigest()


def main():
    root = pathlib.Path.cwd()
    build = pathlib.Path(sys.argv[1])
    with open(build / "compile_commands.json", encoding="utf-8") as database:
        sources = sorted({entry["file"] for entry in json.load(database)})
    sources = [s for s in sources if str(root) in s and "_autogen" not in s]
    headers = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.hpp"],
        capture_output=True, text=True, check=True).stdout.split()
    common = digest(sorted(h for h in headers if os.path.exists(h)) + [".clang-tidy"])
    CACHE.mkdir(parents=True, exist_ok=True)
    pending = []
    for source in sources:
        mark = CACHE / hashlib.sha256(
            (common + digest([source]) + os.path.relpath(source)).encode()).hexdigest()
        if not mark.exists():
            pending.append((source, mark))

    def check(item):
        source, mark = item
        result = subprocess.run(["clang-tidy", "--quiet", "-p", str(build), source],
                                capture_output=True, text=True, check=False)
        if result.returncode == 0:
            mark.touch()
        return source, result

    failed = 0
    jobs = int(os.environ.get("LINT_JOBS", os.cpu_count() or 2))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for source, result in pool.map(check, pending):
            if result.returncode != 0:
                failed += 1
                print(result.stdout, result.stderr, file=sys.stderr)
                print(f"lint: {os.path.relpath(source)} failed", file=sys.stderr)
    print(f"lint: {len(sources)} files, {len(pending)} checked, {failed} failed")
    return 1 if failed else 0


sys.exit(main())
