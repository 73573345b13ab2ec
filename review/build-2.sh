#!/usr/bin/env bash
# Builds the programs of cases 4 to 8 into target/review-2, with their stand-ins.
# They need the C++ compiler alone.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for folder in [4-8]; do
  [ -f "$folder/Case.cpp" ] || continue
  "${CXX:-g++}" -std=c++17 -O1 -g -Wall -Wextra -pthread "$folder/Case.cpp" \
    -o "$out/case-$folder"
done
