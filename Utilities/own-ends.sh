#!/usr/bin/env bash
# Lists the days of journal entries in which processes exited unexpectedly. Such
# an exit violates no rule of the bench, so the result of a run does not show
# it. Prints each day with its crash report if the entry has one; exits 1 if
# there is any.
#
# Usage: Utilities/own-ends.sh [ENTRY...]
# Without arguments, uses the entries that are not committed yet.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=("$@")
[ ${#entries[@]} -gt 0 ] || mapfile -t entries < <(
  git ls-files --others --modified --exclude-standard -- 'journal/*.json')

found=0
for entry in "${entries[@]}"; do
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
echo "${#entries[@]} entries checked"
exit $found
