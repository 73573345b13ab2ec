#!/usr/bin/env bash
# Makes a copy of the tree whose deploy file builds the program with the address
# and undefined sanitizers linked in, so that a bench which preloads a library
# can run it. A process takes about 80 MB then; processor time isn't
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
