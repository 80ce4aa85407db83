#!/usr/bin/env bash
# Installs the packages that the build and the tests need. Skips the download if all are present.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy python3
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libmsgpack-cxx-dev libboost-dev
  libyaml-cpp-dev libgflags-dev libspdlog-dev librapidcheck-dev catch2 libpq-dev libsqlite3-dev
  postgresql-client curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" = 0 ] && exit 0
as_root=()
[ "$(id -u)" = 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
