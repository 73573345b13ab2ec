#!/usr/bin/env bash
# Checks that Utilities/own-ends.sh finds exits in staged and committed entries,
# and that it does not succeed when it has checked nothing.
#
# Usage: own-ends.sh
set -euo pipefail
script=$(realpath "$(dirname "$0")/../../Utilities/own-ends.sh")
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
git init --quiet
git config user.name test
git config user.email test@localhost
mkdir Utilities journal
cp "$script" Utilities/

entry() { # name, restarts
  printf '{"cmd":"run","site":"s","head":"0123456789","digest":"%s","days":%s}' \
    'a ended by itself' "[{\"name\":\"day-$1\",\"seed\":7,\"restarts\":$2}]" \
    >"journal/$1.json"
}

expect() { # exit code, text, arguments
  local code=0
  Utilities/own-ends.sh "${@:3}" >output 2>&1 || code=$?
  if [ "$code" -ne "$1" ] || ! grep -qF -- "$2" output; then
    echo "expected exit code $1 and '$2' for '${*:3}', got exit code $code:"
    cat output
    exit 1
  fi
}

entry old 0
git add journal
git commit --quiet --message base
expect 2 "nothing to check"
expect 2 "no such revision: gone" --since gone

entry clean 0
expect 0 "1 entries with 1 days checked"
git add journal
expect 0 "1 entries with 1 days checked"

entry ended 2
expect 1 "day-ended seed 7: 2 ended"
git add journal
expect 1 "day-ended seed 7: 2 ended"
git commit --quiet --message entries
expect 2 "nothing to check"
expect 1 "day-ended seed 7: 2 ended" --since HEAD~1
expect 1 "a ended by itself" journal/ended.json
expect 0 "1 entries with 1 days checked" journal/old.json

echo '{"cmd":"build","days":null}' >journal/build.json
expect 2 "nothing to check" journal/build.json
