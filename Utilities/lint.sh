#!/usr/bin/env bash
# Checks the format and runs the linter. Requires the build folder of the ci
# preset for the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
git ls-files '*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/ci 2>/dev/null
