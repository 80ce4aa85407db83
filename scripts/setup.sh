#!/usr/bin/env bash
# Installs what is needed and builds the release.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
