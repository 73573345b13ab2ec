#!/usr/bin/env bash
# A session picks its ports and starts its processes a moment later. A port that
# the kernel gives to outgoing connections may be taken in between: a target then
# can't listen, and the session waits for it until its time is over.
#
# Usage: Tests/Golden/free-ports.sh BUILD_FOLDER
set -euo pipefail
caller=${1:?the build folder is missing}/Tests/standin-caller
read -r first_outgoing _ </proc/sys/net/ipv4/ip_local_port_range
mapfile -t port < <("$caller" free-ports 18)
[ "${#port[@]}" -eq 18 ]
for each in "${port[@]}"; do
  if [ "$each" -ge "$first_outgoing" ]; then
    echo "port $each may be taken by an outgoing connection"
    exit 1
  fi
done
