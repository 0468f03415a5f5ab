#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into
# review/bin/. They need a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
  c++ -std=c++20 -O1 -g1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -I. "$source" -o "bin/case_$(dirname "$source")"
done
