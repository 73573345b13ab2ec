#!/usr/bin/env bash
# Case 8; TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../run-case-2.sh" 8
