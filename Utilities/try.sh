#!/usr/bin/env bash
# Installs missing packages, builds the program and runs the main use case.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install-dependencies.sh
cmake --preset default
cmake --build --preset default
Utilities/main-job.sh build/default
