#!/usr/bin/env bash
# Checks that the ports chosen for sessions are not ephemeral ports. A session
# chooses its ports before it starts its processes; an outgoing connection may
# take an ephemeral port in between, so that a target cannot listen and the
# session waits for it until the timeout.
#
# Usage: Tests/Golden/free-ports.sh BUILD_FOLDER
set -euo pipefail
caller=${1:?the build folder is missing}/Tests/standin-caller
read -r first_outgoing _ </proc/sys/net/ipv4/ip_local_port_range
mapfile -t port < <("$caller" free-ports 18)
[ "${#port[@]}" -eq 18 ]
for each in "${port[@]}"; do
  if [ "$each" -ge "$first_outgoing" ]; then
    echo "port $each is in the range of ephemeral ports, from $first_outgoing"
    exit 1
  fi
done
