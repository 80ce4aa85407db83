#!/usr/bin/env bash
# Configures and builds everything into build/ (Release).
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -- -j "${BUILD_JOBS:-$(nproc)}"
