#!/usr/bin/env bash
# Runs the main use case on loopback, with three control hosts, two proxies and
# one database of three stand-in targets: applies a manifest, reads a caller's
# own write through the other proxy, kills the primary and waits for the next
# write to succeed. Prints each step with its outcome; exits 1 at the first
# failure.
#
# Usage: Utilities/main-job.sh BUILD_FOLDER
set -euo pipefail

build=${1:?the build folder is missing}
source "$(dirname "$0")/loopback.sh"

step() { printf '\n== %s\n' "$*"; }

step "Starting three control hosts and two proxies"
start_control
start_proxies

step "Applying the manifest"
apply "$(write_manifest 1 4)" --wait || fail "the manifest is not in force"

step "Starting three targets, which announce themselves"
for number in 1 2 3; do start_target $number; done
wait_for all_settled
"$program" status "${control[@]}"

step "A clerk hands a bale over through the first proxy"
statement "$proxy_1" handover --key scan-1 --body "put bale-17 haulier-4" \
  >"$folder/write" || fail "the write did not succeed"
cat "$folder/write"
session=$(sed -n 's/^session //p' "$folder/write")
primary=$(sed -n 's/^served-by primary //p' "$folder/write")

step "The clerk reads it through the second proxy"
statement "$proxy_2" lookup --session "$session" --body "get bale-17" \
  >"$folder/read" || fail "the read did not succeed"
cat "$folder/read"
grep -q '^body haulier-4$' "$folder/read" ||
  fail "the read did not return the write"

step "Killing the primary $primary while a caller writes steadily"
"$caller" gap --proxy "$proxy_1" --proxy "$proxy_2" \
  --database bale-ledger-1 --organisation port-clerks \
  --kind handover --key steady- --body "add scans 1" >"$folder/gap" &
writer=$!
processes+=($writer)
wait_for grep -q "writing to $primary" "$folder/gap"
kill -9 "${process_of[$primary]}"
wait $writer || fail "no write succeeded after the primary was killed"
cat "$folder/gap"

step "The clerk still reads the handover, at the first proxy"
statement "$proxy_1" lookup --session "$session" --body "get bale-17" \
  >"$folder/read" || fail "the read did not succeed"
grep -q '^body haulier-4$' "$folder/read" || fail "the write was lost"
cat "$folder/read"

step "Automatic actions in the audit trail"
audit

step "Done: $(sed -n 's/^gap-ms /failover gap in ms: /p' "$folder/gap")"
