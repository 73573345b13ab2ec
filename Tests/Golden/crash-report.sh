#!/usr/bin/env bash
# Checks that a process that receives a fatal signal writes one log line with
# the signal, the accessed address and the call stack, and then ends by that
# signal, so that a supervisor does not take the crash for a planned stop.
#
# Usage: crash-report.sh BUILD_FOLDER
set -euo pipefail
build=$(realpath "${1:?the build folder is missing}")
program=$build/Source/corianderdyke
crashing=$build/Tests/crashing-program
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# Otherwise the sanitizer runtime handles the signal and writes its own report.
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
    fail "expected exactly one line of event CD108"
  grep -q "CD108 crashed signal=\"$(kill -l "$1")\"" "$folder/output" ||
    fail "the report does not name signal SIG$1"
  [ "$(grep -oE '[" ]0x[0-9a-f]+' <<<"$(sed 's/.*calls=//' "$folder/output")" |
    wc -l)" -ge 2 ] || fail "the report has fewer than two call addresses"
}

# Resolves the offsets of the report and expects a call of the function. The
# calls are return addresses, so each is looked up by the byte before it, and
# functions that the compiler inlined at an address are included. Only function
# names are compared, since source paths may contain the same letters, and
# without the suffixes of parts that the compiler split off.
check_call() { # program, function
  local counter calls offsets names
  # Empty if the program counter is in a library.
  counter=$(grep -oP 'counter="\K0x[0-9a-f]+' "$folder/output" || true)
  calls=$(sed 's/.*calls=//' "$folder/output" | grep -oP '[" ]\K0x[0-9a-f]+')
  offsets=$counter
  for each in $calls; do
    offsets+=$(printf " %#x" $((each - 1)))
  done
  names=$(addr2line -f -i -C -e "$1" $offsets | awk 'NR % 2 == 1' |
    sed -E 's/(\.(cold|part|isra|constprop)(\.[0-9]+)*)+$//')
  grep -qE "(^|::)$2(\(|$)" <<<"$names" ||
    fail "function $2 is not among the calls"
}

crash() { # kind, option
  status=0
  # The group hides the message of the shell about the signal.
  { "$crashing" "$@" >"$folder/output" 2>"$folder/errors"; } 2>/dev/null ||
    status=$?
}

crash access
check_end $status SEGV
check_line SEGV
grep -q 'address="0x1234"' "$folder/output" || fail "the report does not name address 0x1234"
check_call "$crashing" main

crash stack
check_end $status SEGV
check_line SEGV
check_call "$crashing" exhaustStack

crash abort
check_end $status ABRT
check_line ABRT
check_call "$crashing" main

# The run-time checks of the library (CORIANDERDYKE_HARDENING). Its message,
# which names the violated condition, must stay beside the report.
crash empty
check_end $status ABRT
check_line ABRT
check_call "$crashing" firstOf
grep -q "Assertion '.*empty.*' failed" "$folder/errors" ||
  fail "the message of the library is missing"

crash access --json
check_end $status SEGV
jq -e '.event == 108 and .name == "crashed" and .address == "0x1234"' \
  "$folder/output" >/dev/null || fail "expected a JSON line of event CD108"

# The real program, while it waits for its settings.
mkfifo "$folder/settings.toml"
"$program" run "$folder/settings.toml" >"$folder/output" 2>"$folder/errors" &
process=$!
# Blocks until the process opens the pipe to read its settings.
exec 3>"$folder/settings.toml"
kill -SEGV "$process"
status=0
wait "$process" 2>/dev/null || status=$?
exec 3>&-
check_end $status SEGV
check_line SEGV
check_call "$program" main
