#!/usr/bin/env bash
# Lists the days of journal entries in which processes exited unexpectedly. Such
# an exit violates no rule of the bench, so the result of a run does not show
# it. Prints each day with its crash report if the entry has one.
#
# Usage: Utilities/own-ends.sh [--since REVISION | ENTRY...]
# Without arguments, uses the entries that are not committed yet; with --since,
# all entries that REVISION does not contain.
#
# Exit codes: 0 no such exit, 1 at least one, 2 nothing to check.
set -euo pipefail
cd "$(dirname "$0")/.."

new_entries() { # revision
  git diff --name-only --diff-filter=d "$1" -- 'journal/*.json'
  git ls-files --others --exclude-standard -- 'journal/*.json'
}

if [ "${1:-}" = --since ]; then
  since=$(git rev-parse --verify --quiet "${2:-}^{commit}") || {
    echo "no such revision: ${2:-}" >&2
    exit 2
  }
  mapfile -t entries < <(new_entries "$since")
elif [ $# -gt 0 ]; then
  entries=("$@")
else
  mapfile -t entries < <(new_entries HEAD)
fi

found=0
played=0
for entry in "${entries[@]}"; do
  played=$((played + $(jq '(.days // []) | length' "$entry")))
  days=$(jq -r '(.days // [])[] | select((.restarts // 0) > 0) |
    "  \(.name // "day") seed \(.seed // "-"): \(.restarts) ended"' "$entry")
  [ -n "$days" ] || continue
  found=1
  echo "$entry: $(jq -r '"\(.cmd) \(.site) at \(.head[0:8])"' "$entry")"
  echo "$days"
  jq -r '.digest | tostring' "$entry" |
    grep -E 'ended by itself|CD108|"event":108' | cut -c1-1000 | sed 's/^/  /' ||
    true
done
echo "${#entries[@]} entries with $played days checked"
[ "$played" -gt 0 ] || {
  echo "nothing to check: no entry has a played day" >&2
  exit 2
}
exit $found
