#!/usr/bin/env bash
# Builds the program as deploy/system.toml says, and the stand-ins of the cases.
# Builds only what has changed. The results lie under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCORIANDERDYKE_TESTS=OFF
cmake --build target -j8
mkdir -p target/review
for folder in review/[0-9]; do
  made=target/review/case-$(basename "$folder")
  if [ ! -x "$made" ] ||
    [ -n "$(find review/standin "$folder/Case.cpp" -newer "$made")" ]; then
    c++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "$made" \
      review/standin/*.cpp "$folder/Case.cpp"
  fi
done
