#!/usr/bin/env bash
# Installs missing packages, builds with warnings as errors and runs the tests,
# then does the same with the address and undefined behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install-dependencies.sh
for preset in ci sanitize; do
  cmake --preset $preset
  cmake --build --preset $preset
  ctest --preset $preset -j "$(nproc)"
done
