#!/usr/bin/env bash
# Runs the script of one case, named by its number. Exits with 1 if the rule was
# broken, with 0 if it held and with 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. KEEP_LOGS names a folder for the processes' logs.
set -euo pipefail
cd "$(dirname "$0")/.."
review/build.sh >&2 || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
code=0
"target/review/case-$1" target/Source/corianderdyke "$folder" \
  "review/$1/record.txt" || code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"/
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
