#!/usr/bin/env bash
# Installs what is missing, builds with warnings as errors and passes the
# tests, then once more under the address and undefined sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install-dependencies.sh
for preset in ci sanitize; do
  cmake --preset $preset
  cmake --build --preset $preset
  ctest --preset $preset -j "$(nproc)"
done
