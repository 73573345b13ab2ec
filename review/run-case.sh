#!/usr/bin/env bash
# Builds and runs the program of one case, for its run.sh.
#
# Usage: review/run-case.sh NUMBER TROUBLE
# NUMBER is that of the case; TROUBLE is 0 to leave the disruption out, else 1.
# KEEP_LOGS names a folder for the logs of the processes.
set -euo pipefail
cd "$(dirname "$0")/.."
review/build.sh >&2 || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
code=0
TROUBLE=$2 "target/review/case-$1" target/Source/corianderdyke "$folder" \
  "review/$1/record.txt" || code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"/
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
