#!/usr/bin/env bash
# A process that a fatal signal ends says which calls led to it, and still ends
# by that signal: whoever watches it must not take the end for a planned one.
#
# Usage: crash-report.sh BUILD_FOLDER
set -euo pipefail
program=$(realpath "${1:?the build folder is missing}")/Source/corianderdyke
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

mkfifo "$folder/settings.toml"
"$program" run "$folder/settings.toml" 2>"$folder/errors" &
process=$!
# Opens once the process reads its settings; it then waits for their content.
exec 3>"$folder/settings.toml"
kill -SEGV "$process"
status=0
wait "$process" 2>/dev/null || status=$?
exec 3>&-

if [ "$status" -ne $((128 + $(kill -l SEGV))) ]; then
  echo "ended with $status and not by the signal"
  exit 1
fi
if ! grep -q "fatal signal" "$folder/errors" ||
  [ "$(grep -c "corianderdyke" "$folder/errors")" -lt 2 ]; then
  echo "doesn't say which calls led to it:"
  cat "$folder/errors"
  exit 1
fi
