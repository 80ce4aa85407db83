#!/usr/bin/env bash
# Builds the programs that the cases 6 to 10 start: stand-ins for databases, clients, the operator and
# the platform's promotion call, one program for each case. Needs a C++ compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/common-2/*.cpp; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
