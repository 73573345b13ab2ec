#!/usr/bin/env bash
# A process that is asked to stop while it starts stops as planned, with exit
# code 0; one that is asked to reload goes on. Guards against ends by these
# signals before their handlers are there.
#
# Usage: start-signals.sh BUILD_FOLDER
set -euo pipefail
build=$(realpath "${1:?the build folder is missing}")
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mapfile -t port < <("$build/Tests/standin-caller" free-ports 5)
patience=30 # s

cat >"$folder/good.toml" <<END
[process]
name = "proxy-1"
failure_domain = "here"
host = "127.0.0.1"
roles = ["proxy"]
leadership = "targets"
stop_within = "1s"
[listen]
operators = "127.0.0.1:${port[0]}"
sessions = "127.0.0.1:${port[1]}"
readiness = "127.0.0.1:${port[2]}"
peers = "127.0.0.1:${port[3]}"
relay = "127.0.0.1:${port[4]}"
[keys]
peers = "a key for tests alone"
[group]
seeds = ["127.0.0.1:1"]
END
mkfifo "$folder/settings.toml"

fail() {
  echo "$*:"
  cat "$folder/output"
  exit 1
}

# Starts a process that waits for the content of its settings.
start() {
  "$build/Source/corianderdyke" run "$folder/settings.toml" \
    >"$folder/output" 2>&1 &
  process=$!
  # Opens once the process reads them.
  exec 3>"$folder/settings.toml"
}

give_settings() {
  cat "$folder/good.toml" >&3 2>/dev/null || true
  exec 3>&-
}

check_stop() {
  local status=0
  wait "$process" || status=$?
  [ $status -eq 0 ] || fail "ended with $status"
  grep -q "CD101 stopped" "$folder/output" || fail "didn't stop as planned"
}

start
kill -TERM "$process"
give_settings
check_stop

start
kill -HUP "$process"
give_settings
until=$((SECONDS + patience))
until grep -q "CD100 started" "$folder/output"; do
  kill -0 "$process" 2>/dev/null || fail "ended on its own"
  [ $SECONDS -lt $until ] || fail "never started"
  sleep 0.02
done
# The reload reads the settings again.
timeout "$patience" cat "$folder/good.toml" >"$folder/settings.toml" ||
  fail "never reloaded"
kill -TERM "$process"
check_stop
