#!/usr/bin/env bash
# Checks that a process that receives a stop signal during startup stops in
# order with exit code 0, and that one that receives a reload signal continues.
# Guards against the default action of these signals ending the process before
# the handlers are installed.
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

# Starts a process that blocks while it reads its settings.
start() {
  "$build/Source/corianderdyke" run "$folder/settings.toml" \
    >"$folder/output" 2>&1 &
  process=$!
  # Blocks until the process opens the pipe to read them.
  exec 3>"$folder/settings.toml"
}

give_settings() {
  cat "$folder/good.toml" >&3 2>/dev/null || true
  exec 3>&-
}

check_stop() {
  local status=0
  wait "$process" || status=$?
  [ $status -eq 0 ] || fail "expected exit code 0, got $status"
  grep -q "CD101 stopped" "$folder/output" || fail "no event CD101 stopped in the output"
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
  kill -0 "$process" 2>/dev/null || fail "the process ended before it started"
  [ $SECONDS -lt $until ] || fail "the process did not start within $patience s"
  sleep 0.02
done
# The reload reads the settings again.
timeout "$patience" cat "$folder/good.toml" >"$folder/settings.toml" ||
  fail "the process did not reload within $patience s"
kill -TERM "$process"
check_stop
