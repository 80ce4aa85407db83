#!/usr/bin/env bash
# Runs the script of a case: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$1
command -v python3 >/dev/null || exit 2
cd "$folder" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$folder/../common" timeout -k 5 115 python3 case.py
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
