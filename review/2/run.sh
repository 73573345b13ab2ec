#!/usr/bin/env bash
# Case 2: a proxy gets SIGTERM. Exits with 1 if the rule
# was broken, with 0 if it held and with 2 if the case couldn't run. With
# TROUBLE=0 it does the same without this disruption. Writes record.txt here.
set -euo pipefail
TROUBLE=${TROUBLE:-1}
[ "$TROUBLE" = 0 ] || TROUBLE=1
exec "$(dirname "$0")/../run-case.sh" 2 "$TROUBLE"
