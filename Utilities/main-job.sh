#!/usr/bin/env bash
# Runs the main job on loopback: three control hosts, two proxies and one
# database of three stand-in targets. A manifest is applied, a caller reads
# its own write at the other proxy, the primary is killed, and the next write
# succeeds. Prints each step with its outcome; exits 1 at the first failure.
#
# Usage: Utilities/main-job.sh BUILD_FOLDER
set -euo pipefail

build=${1:?the build folder is missing}
program=$build/Source/corianderdyke
target=$build/Tests/standin-target
caller=$build/Tests/standin-caller
folder=$(mktemp -d)
processes=()

finish() {
  for process in "${processes[@]}"; do
    kill -9 "$process" 2>/dev/null || true
    wait "$process" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap finish EXIT

step() { printf '\n== %s\n' "$*"; }

fail() {
  printf 'FAILED: %s\n' "$*"
  tail -n 20 "$folder"/*.log
  exit 1
}

mapfile -t port < <("$caller" free-ports 16)
control_at() { echo "127.0.0.1:${port[$1]}"; }

write_settings() { # name, domain, role, callers, operators, peers
  cat >"$folder/$1.toml" <<EOF
[process]
name = "$1"
region = "riga"
failure_domain = "$2"
roles = ["$3"]
data_folder = "$folder/data-$1"

[listen]
callers = "127.0.0.1:$4"
operators = "127.0.0.1:$5"
peers = "127.0.0.1:$6"

[keys]
peers = "a key for peers of the main job"
sessions = "a key for sessions of the main job"
targets = "a key for targets of the main job"
operators = "a key for operators of the main job"

[[control]]
name = "control-1"
peers = "127.0.0.1:${port[0]}"

[[control]]
name = "control-2"
peers = "127.0.0.1:${port[1]}"

[[control]]
name = "control-3"
peers = "127.0.0.1:${port[2]}"
EOF
}

start() { # name of settings
  "$program" run "$folder/$1.toml" 2>"$folder/$1.log" &
  processes+=($!)
}

write_settings control-1 kundzinsala control 1 "${port[3]}" "${port[0]}"
write_settings control-2 daugavgriva control 1 "${port[4]}" "${port[1]}"
write_settings control-3 sarkandaugava control 1 "${port[5]}" "${port[2]}"
write_settings entry-1 kundzinsala proxy "${port[6]}" "${port[7]}" "${port[8]}"
write_settings entry-2 daugavgriva proxy "${port[9]}" "${port[10]}" "${port[11]}"

operators=(--control "$(control_at 3)" --control "$(control_at 4)"
           --control "$(control_at 5)")
proxy_1=127.0.0.1:${port[6]}
proxy_2=127.0.0.1:${port[9]}

export CORIANDERDYKE_OPERATOR_KEY="a key for operators of the main job"

step "Starting three control hosts and two proxies"
for name in control-1 control-2 control-3 entry-1 entry-2; do start $name; done

step "Applying the manifest"
cat >"$folder/manifest.toml" <<EOF
version = 1

[[organisation]]
name = "port-clerks"
share = 4

[[database]]
name = "bale-ledger-1"

[[kind]]
name = "lookup"
access = "read"
accepted_age_ms = 2000

[[kind]]
name = "handover"
access = "write"
repeatable = false
EOF
"$program" manifest apply "$folder/manifest.toml" "${operators[@]}" ||
  fail "the manifest wasn't accepted"

step "Starting three targets, which announce themselves"
declare -A target_process
number=0
for domain in kundzinsala daugavgriva sarkandaugava; do
  number=$((number + 1))
  "$target" --name "ledger-1-$number" --database bale-ledger-1 \
    --address "127.0.0.1:${port[$((11 + number))]}" \
    --proxy "$proxy_1" --proxy "$proxy_2" \
    --target-key "a key for targets of the main job" \
    --region riga --failure-domain $domain --lag-ms 20 \
    2>"$folder/ledger-1-$number.log" &
  processes+=($!)
  target_process[ledger-1-$number]=$!
done

statement=(--database bale-ledger-1 --organisation port-clerks)

step "A clerk hands a bale over through the first proxy"
"$caller" send --proxy "$proxy_1" "${statement[@]}" --kind handover \
  --key scan-1 --body "put bale-17 haulier-4" >"$folder/write" ||
  fail "the write didn't succeed"
cat "$folder/write"
session=$(sed -n 's/^session //p' "$folder/write")
primary=$(sed -n 's/^served-by primary //p' "$folder/write")

step "The clerk reads it through the second proxy"
"$caller" send --proxy "$proxy_2" "${statement[@]}" --kind lookup \
  --session "$session" --body "get bale-17" >"$folder/read" ||
  fail "the read didn't succeed"
cat "$folder/read"
grep -q '^body haulier-4$' "$folder/read" || fail "the write wasn't read"

step "Killing the primary $primary while a caller writes steadily"
"$caller" gap --proxy "$proxy_1" --proxy "$proxy_2" "${statement[@]}" \
  --kind handover --key steady- --body "add scans 1" >"$folder/gap" &
writer=$!
processes+=($writer)
until grep -q "writing to $primary" "$folder/gap"; do sleep 0.02; done
kill -9 "${target_process[$primary]}"
wait $writer || fail "no write succeeded after the primary's death"
cat "$folder/gap"

step "The clerk still reads the handover, at the first proxy"
"$caller" send --proxy "$proxy_1" "${statement[@]}" --kind lookup \
  --session "$session" --body "get bale-17" >"$folder/read" ||
  fail "the read didn't succeed"
grep -q '^body haulier-4$' "$folder/read" || fail "the write was lost"
cat "$folder/read"

step "What the system did by itself, from the audit trail"
"$program" audit "${operators[@]}"

step "Done: $(head -n 1 <(sed -n 's/^gap-ms /failover gap in ms: /p' "$folder/gap"))"
