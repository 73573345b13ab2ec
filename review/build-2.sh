#!/usr/bin/env bash
# Builds the programs of cases 4 to 8 into target/review-2, with their stand-ins,
# which lie in standin-2/, and the entry point in standin/. They need the C++
# compiler alone.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for folder in [4-8]; do
  [ -f "$folder/Case.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -g -Wall -Wextra -pthread standin/Main.cpp \
    "$folder/Case.cpp" -o "$out/case-$folder"
done
