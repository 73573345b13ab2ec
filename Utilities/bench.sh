#!/usr/bin/env bash
# Compares a proxy on loopback with the direct path to its target, with three
# control hosts, two proxies and three stand-in targets that answer immediately.
# Prints CSV; takes about half a minute.
#
# Usage: Utilities/bench.sh BUILD_FOLDER [OPTIONS OF bench-proxy]
set -euo pipefail

build=${1:?the build folder is missing}
shift
source "$(dirname "$0")/loopback.sh"

start_control
start_proxies
manifest=$(write_manifest 1 4)
sed -i 's/^name = "bale-ledger-1"/&\nconnections_per_target = 64\nslots_per_target = 16/' \
  "$manifest"
apply "$manifest" --wait >/dev/null
start_targets --slots 64 --connections 200 --service-ms 0
wait_for is_ready "$operators_1"
statement "$proxy_1" handover --key first --body "put bale haulier" >/dev/null

# The first target is the primary; the second is a replica.
"$build/Utilities/Bench/bench-proxy" --proxy "$proxy_1" \
  --target "127.0.0.1:${port[13]}" --proxy-process "${process_of[entry-1]}" "$@"
