# Functions to run a small system on loopback: three control hosts, two
# proxies and up to three targets of one database. Sourced by main-job.sh and
# the golden sessions; `build` names the build folder.

program=$build/Source/corianderdyke
target_program=$build/Tests/standin-target
caller=$build/Tests/standin-caller
folder=$(mktemp -d)
processes=()
declare -A process_of
domains=(kundzinsala daugavgriva sarkandaugava)
patience=30 # Timeout in seconds for each condition.
export CORIANDERDYKE_OPERATOR_KEY="a key for operators on loopback"

stop_processes() {
  for process in "${processes[@]}"; do
    kill -9 "$process" 2>/dev/null || true
    wait "$process" 2>/dev/null || true
  done
}

# Ends the processes of a session. If the session has failed, also at a command
# without a message of its own, their metrics are printed before.
end_session() {
  local code=$?
  [ $code -eq 0 ] || [ ${#processes[@]} -eq 0 ] || show_delays >&2
  stop_processes
}

finish() {
  end_session
  rm -rf "$folder"
}
trap finish EXIT

# Prints metrics of the control hosts that distinguish late timers and slow
# disks from colliding elections.
show_delays() {
  uptime
  for each in "${port[@]:3:3}"; do
    echo "control host with operators' port $each:"
    curl -s --max-time 2 "http://127.0.0.1:$each/metrics" |
      grep -E '(timer_delay|disk_sync|elections_total|control_term|leader)' |
      grep -v '^#' || true
  done
}

fail() {
  printf 'FAILED: %s\n' "$*" >&2
  tail -n 20 "$folder"/*.log >&2
  exit 1
}

# Waits until a command succeeds.
wait_for() {
  local until=$((SECONDS + patience))
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $until ] || fail "condition not met within $patience s: $*"
    sleep 0.02
  done
}

mapfile -t port < <("$caller" free-ports 18)
# Ports: peers 0-2 and operators 3-5 of control; callers, operators and peers
# of entry-1 in 6-8 and of entry-2 in 9-11; targets 12-14; 15-17 are free.
proxy_1=127.0.0.1:${port[6]}
proxy_2=127.0.0.1:${port[9]}
operators_1=127.0.0.1:${port[7]}
operators_2=127.0.0.1:${port[10]}
control=(--control "127.0.0.1:${port[3]}" --control "127.0.0.1:${port[4]}"
  --control "127.0.0.1:${port[5]}")

write_settings() { # name, domain, role, callers, operators, peers
  cat >"$folder/$1.toml" <<END
[process]
name = "$1"
region = "riga"
failure_domain = "$2"
roles = ["$3"]
data_folder = "$folder/data-$1"
stop_notice_ms = 100

[listen]
callers = "127.0.0.1:$4"
operators = "127.0.0.1:$5"
peers = "127.0.0.1:$6"

[keys]
peers = "a key for peers on loopback"
sessions = "a key for sessions on loopback"
targets = "a key for targets on loopback"
operators = "$CORIANDERDYKE_OPERATOR_KEY"

[[control]]
name = "control-1"
peers = "127.0.0.1:${port[0]}"

[[control]]
name = "control-2"
peers = "127.0.0.1:${port[1]}"

[[control]]
name = "control-3"
peers = "127.0.0.1:${port[2]}"
END
}

start() { # name of settings
  "$program" run "$folder/$1.toml" >>"$folder/$1.log" 2>&1 &
  processes+=($!)
  process_of[$1]=$!
}

start_control() {
  local number
  for number in 1 2 3; do
    write_settings control-$number "${domains[number - 1]}" control 1 \
      "${port[number + 2]}" "${port[number - 1]}"
    start control-$number
  done
}

start_proxies() {
  write_settings entry-1 kundzinsala proxy "${port[6]}" "${port[7]}" \
    "${port[8]}"
  write_settings entry-2 daugavgriva proxy "${port[9]}" "${port[10]}" \
    "${port[11]}"
  start entry-1
  start entry-2
}

start_target() { # number, more options
  local number=$1
  "$target_program" --name "ledger-1-$number" --database bale-ledger-1 \
    --address "127.0.0.1:${port[11 + number]}" \
    --proxy "$proxy_1" --proxy "$proxy_2" \
    --target-key "a key for targets on loopback" \
    --region riga --failure-domain "${domains[number - 1]}" --lag-ms 20 \
    "${@:2}" 2>"$folder/ledger-1-$number.log" &
  processes+=($!)
  process_of[ledger-1-$number]=$!
}

# Starts one target after another, so that the first primary is always the first
# target.
start_targets() { # more options
  start_target 1 "$@"
  wait_for in_audit "target-joined +ledger-1-1"
  start_target 2 "$@"
  wait_for in_audit "target-promoted +bale-ledger-1"
  start_target 3 "$@"
  wait_for all_settled
}

# Only targets that have caught up are candidates for promotion. If the primary
# failed earlier, the group would correctly wait for them.
all_settled() {
  "$program" status "${control[@]}" --json |
    jq -e '[.groups[].targets[] | select(.settled)] | length == 3'
}

audit() { "$program" audit "${control[@]}" "$@"; }
in_audit() { audit | grep -qE "$1"; } # pattern

write_manifest() { # version, share
  cat >"$folder/manifest-$1-$2.toml" <<END
version = $1

[[organisation]]
name = "port-clerks"
share = $2

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
END
  echo "$folder/manifest-$1-$2.toml"
}

apply() { # manifest, more options
  "$program" manifest apply "$1" "${control[@]}" "${@:2}"
}

# Sends a statement of the organisation port-clerks until it succeeds.
statement() { # proxy, kind, more options
  "$caller" send --proxy "$1" --database bale-ledger-1 \
    --organisation port-clerks --kind "${@:2}"
}

is_ready() { # operators' address
  [ "$(curl -s "http://$1/readyz")" = ready ]
}

start_all() {
  start_control
  start_proxies
  apply "$(write_manifest 1 4)" --wait
  start_targets "$@"
  wait_for is_ready "$operators_1"
  wait_for is_ready "$operators_2"
}
