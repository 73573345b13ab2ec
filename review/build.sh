#!/usr/bin/env bash
# Builds the program as deploy/system.toml says, if it isn't built yet, and the
# stand-ins of the cases. The results lie under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/Source/corianderdyke ]; then
  cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DCORIANDERDYKE_TESTS=OFF
  cmake --build target -j8
fi
mkdir -p target/review
for folder in review/[0-9]; do
  [ -e "$folder/Case.cpp" ] || continue
  made=target/review/case-$(basename "$folder")
  if [ -n "$(find review/standin "$folder/Case.cpp" -newer "$made" \
    2>/dev/null)" ] || [ ! -x "$made" ]; then
    c++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "$made" \
      review/standin/*.cpp "$folder/Case.cpp"
  fi
done
