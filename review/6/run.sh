#!/usr/bin/env bash
# Case 6; TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../run-case-2.sh" 6
