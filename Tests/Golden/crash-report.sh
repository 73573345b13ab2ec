#!/usr/bin/env bash
# A process that a fatal signal ends writes one log line with the signal, the
# address accessed and the calls that led to it, and still ends by that signal:
# whoever watches it must not take the end for a planned one.
#
# Usage: crash-report.sh BUILD_FOLDER
set -euo pipefail
build=$(realpath "${1:?the build folder is missing}")
program=$build/Source/corianderdyke
crashing=$build/Tests/crashing-program
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# Without it the sanitizers' own report takes the signal.
export ASAN_OPTIONS=handle_segv=0:handle_abort=0:allow_user_segv_handler=1

fail() {
  echo "$*:"
  cat "$folder/output" "$folder/errors"
  exit 1
}

check_end() { # status, signal's name
  [ "$1" -eq $((128 + $(kill -l "$2"))) ] ||
    fail "ended with $1 and not by SIG$2"
}

check_line() { # signal's name
  [ "$(grep -c "CD108 crashed" "$folder/output")" -eq 1 ] ||
    fail "isn't one line of the event"
  grep -q "CD108 crashed signal=\"$(kill -l "$1")\"" "$folder/output" ||
    fail "names another signal"
  [ "$(grep -oE '[" ]0x[0-9a-f]+' <<<"$(sed 's/.*calls=//' "$folder/output")" |
    wc -l)" -ge 2 ] || fail "doesn't say which calls led to it"
}

# What one of the offsets belongs to, as the report is used.
check_call() { # program, function
  local offsets
  offsets=$(sed 's/.*counter=//' "$folder/output" |
    grep -oE '[" ]0x[0-9a-f]+' | tr -d '" ')
  grep -q "$2" <<<"$(addr2line -f -C -e "$1" $offsets)" ||
    fail "$2 isn't among the calls"
}

crash() { # kind, option
  status=0
  # The shell says itself how it ended.
  { "$crashing" "$@" >"$folder/output" 2>"$folder/errors"; } 2>/dev/null ||
    status=$?
}

crash access
check_end $status SEGV
check_line SEGV
grep -q 'address="0x1234"' "$folder/output" || fail "names another address"
check_call "$crashing" main

crash stack
check_end $status SEGV
check_line SEGV
check_call "$crashing" exhaustStack

crash abort
check_end $status ABRT
check_line ABRT
check_call "$crashing" main

crash access --json
check_end $status SEGV
jq -e '.event == 108 and .name == "crashed" and .address == "0x1234"' \
  "$folder/output" >/dev/null || fail "isn't a JSON line of the event"

# The program itself, while it waits for its settings.
mkfifo "$folder/settings.toml"
"$program" run "$folder/settings.toml" >"$folder/output" 2>"$folder/errors" &
process=$!
# Opens once the process reads its settings.
exec 3>"$folder/settings.toml"
kill -SEGV "$process"
status=0
wait "$process" 2>/dev/null || status=$?
exec 3>&-
check_end $status SEGV
check_line SEGV
check_call "$program" main
