#!/usr/bin/env bash
# Installs the missing packages to build and test the project on Debian 12.
set -euo pipefail

packages=(build-essential cmake ninja-build ccache pkg-config git
  clang-format clang-tidy clang libclang-rt-14-dev
  libsigc++-3.0-dev libevent-dev libcereal-dev prometheus-cpp-dev
  libcli11-dev libspdlog-dev libexpected-dev catch2 libtomlplusplus-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev libbenchmark-dev
  librapidcheck-dev spin gnuplot-nox curl jq)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}"
