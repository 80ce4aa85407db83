#!/usr/bin/env bash
# Runs the script of a case: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$1" || exit 2
for python in python3 /usr/bin/python3 none; do
  "$python" -c 'import asyncio, tomllib; asyncio.timeout' 2>/dev/null && break
done
[ "$python" != none ] || { echo "needs Python 3.11" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common timeout -k 5 115 "$python" case.py
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
