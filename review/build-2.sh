#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 6 to 10 start, in build/review-2/.
# They are the clients, upstreams and the platform's store of the cases; nothing but a
# C++ compiler is needed. The daemon is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p build/review-2
common=(review/common-2/harness.cc review/common-2/small_deployment.cc)
for case in review/[6-9]/case.cc review/10/case.cc; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    "$case" "${common[@]}" -o "build/review-2/case$number"
done
