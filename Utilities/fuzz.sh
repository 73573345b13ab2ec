#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for some seconds, starting
# from its corpus. New inputs are stored in build/fuzz; the path of a failing
# input is printed. Useful inputs are copied to Tests/Fuzz/Corpus manually.
#
# Usage: Utilities/fuzz.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-5}
# The limit detects decoders that allocate memory by an unchecked length field.
memory_mb=1024
longest_input=4096

cmake --preset fuzz
cmake --build --preset fuzz
for program in build/fuzz/Tests/Fuzz/fuzz-*; do
  target=${program##*fuzz-}
  found=build/fuzz/found/$target
  mkdir -p "$found"
  echo "== $target for $seconds s"
  "$program" -max_total_time="$seconds" -rss_limit_mb=$memory_mb \
    -max_len=$longest_input -print_final_stats=1 \
    -artifact_prefix="$found-failed-" "$found" "Tests/Fuzz/Corpus/$target" \
    >"$found.log" 2>&1 || {
    tail -n 40 "$found.log"
    exit 1
  }
  grep -E 'Done|number_of_executed|peak_rss' "$found.log"
done
