#!/usr/bin/env bash
# Checks format and lint. `scripts/lint.sh --fix` formats in place. Lint results are cached by content.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
[ "${1:-}" = --format-only ] && exit 0
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
python3 scripts/run_clang_tidy.py build
