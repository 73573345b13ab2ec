#!/usr/bin/env bash
# Checks the models in Specification/ with spin: each model unchanged, which
# must pass, and once without each safeguard, which spin must refute.
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

# Searches all states; prints the number of errors and the number of states.
search() {
  local model=$1
  shift
  spin "$@" -a "$here/Specification/$model.pml" >/dev/null
  cc -O2 -w -DSAFETY -o pan pan.c
  ./pan -m1000000 >out.txt
  if grep -q 'max search depth too small\|out of memory' out.txt; then
    echo "$model $*: the search is not complete" >&2
    exit 1
  fi
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out.txt)
  states=$(sed -n 's/^ *\([0-9e+.]*\) states, stored.*/\1/p' out.txt)
  echo "$errors $states"
}

failed=0
check() {
  local model=$1 errors states
  shift
  read -r errors states <<<"$(search "$model")"
  echo "$model: $errors errors in $states states"
  [ "$errors" = 0 ] || failed=1
  for safeguard in "$@"; do
    read -r errors states <<<"$(search "$model" "-D$safeguard")"
    if [ "$errors" = 0 ]; then
      echo "$model with $safeguard: NOT REFUTED in $states states"
      failed=1
    else
      echo "$model with $safeguard: refuted after $states states"
    fi
  done
}

check Failover NO_LEASE NO_IN_FORCE NO_COPIES NO_READINGS NO_LOG_TERM \
  NO_SETTLED
check Manifest NO_QUORUM_READ NO_REQUIRED_REVISION NO_MONOTONE NO_WAIT_OUT \
  NO_UP_TO_DATE_VOTE
check Keys NO_KEY_IN_LOG KEY_AFTER_WRITE
exit $failed
