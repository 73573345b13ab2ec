#!/usr/bin/env bash
# Copies the tree and changes its deploy file to link the address and undefined
# behaviour sanitizers statically, so that a bench that preloads a library can
# run the program. A process then uses about 80 MB; its processor time is not
# comparable.
#
# Usage: Utilities/sanitized-copy.sh FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:?the folder of the copy is missing}
git clone --quiet . "$folder"
git ls-files --modified --others --exclude-standard |
  xargs -r -I{} cp --parents {} "$folder"
sed -i "s/-DCMAKE_BUILD_TYPE=Release/-DCMAKE_BUILD_TYPE=RelWithDebInfo\
 -DCORIANDERDYKE_SANITIZE=ON -DCORIANDERDYKE_SANITIZE_STATIC=ON/" \
  "$folder/deploy/system.toml"
git -C "$folder" add --all
git -C "$folder" -c user.name=copy -c user.email=copy@localhost \
  commit --quiet --message "Build with sanitizers"
