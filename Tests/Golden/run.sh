#!/usr/bin/env bash
# Runs one golden session and compares its output with expected.txt next to its
# steps. Values that vary between runs are masked: addresses, times, folders,
# session tokens, revisions, terms and names of control hosts.
#
# Usage: Tests/Golden/run.sh BUILD_FOLDER CASE [--update]
set -euo pipefail

build=$(realpath "${1:?the build folder is missing}")
case_folder=$(realpath "$(dirname "$0")/${2:?the case is missing}")
source "$(dirname "$0")/../../Utilities/loopback.sh"
cd "$folder"

say() { printf '== %s\n' "$*"; }

# Runs a command whose failure is part of the session.
try() {
  local code=0
  "$@" 2>&1 || code=$?
  echo "exit code $code"
}

mask() {
  sed -E -e "s#$folder/##g" -e "s#$folder#FOLDER#g" \
    -e 's/[0-9-]{10}T[0-9:.]+Z/TIME/g' \
    -e 's/127\.0\.0\.1:[0-9]+/ADDRESS/g' \
    -e 's/^session .+/session TOKEN/' \
    -e 's/(revision|term) [0-9]+/\1 N/g' -e 's/control-[1-3]/control-N/g' \
    -e 's/\b[0-9]+ ms\b/N ms/g' -e 's/ +/ /g'
}

# Runs in a subshell whose status is read afterwards: in a condition, errexit
# would be disabled.
set +e
(
  trap end_session EXIT
  set -e
  source "$case_folder/steps.sh"
) >"$folder/output" 2>"$folder/errors"
code=$?
set -e
if [ $code -ne 0 ]; then
  cat "$folder/output" "$folder/errors"
  tail -n 20 "$folder"/*.log
  exit 1
fi
mask <"$folder/output" >"$folder/masked"
if [ "${3:-}" = --update ]; then
  cp "$folder/masked" "$case_folder/expected.txt"
else
  diff -u "$case_folder/expected.txt" "$folder/masked"
fi
