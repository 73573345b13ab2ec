#!/usr/bin/env bash
# Checks the documentation against the program: targets of relative links exist,
# tables match those of the program, commands and their options exist, example
# files parse, and named tests exist. Prints every error; exits 1 if there is
# one.
#
# Usage: Utilities/check-docs.sh BUILD_FOLDER
set -euo pipefail

build=$(realpath "${1:?the build folder is missing}")
program=$build/Source/corianderdyke
tests=$build/Tests/corianderdyke-tests
cd "$(dirname "$0")/.."
pages=$(find README.md Help docs -name '*.md')
errors=$(mktemp)
trap 'rm -f "$errors"' EXIT

check_links() { # page
  { grep -oE '\]\([^)#]+' "$1" || true; } | sed 's/^](//' | while read -r link; do
    case $link in http:* | https:*) continue ;; esac
    [ -e "$(dirname "$1")/$link" ] || echo "$1: no such file: $link"
  done
}

# The table on the page must be identical to that of the program.
check_table() { # page, name of the catalogue
  diff <("$program" catalogue "$2") <(grep '^|' "$1") >/dev/null ||
    echo "$1: its table differs from the output of 'corianderdyke catalogue $2'"
}

# Commands are code: between backticks or on an indented line.
check_commands() { # page
  { grep -oE '(`|^    (\$ )?)corianderdyke [a-z]+( [a-z]+)?[^`]*' "$1" ||
      true; } | sed -E 's/^[` $]+//' | sort -u | while read -r _ first second rest; do
    help=$("$program" "$first" --help 2>/dev/null)
    # The program prints its general help for an unknown command.
    grep -q "^Usage: corianderdyke $first" <<<"$help" || {
      echo "$1: no such command: corianderdyke $first"
      continue
    }
    case $first in manifest | drain | control)
      help=$("$program" "$first" "$second" --help 2>/dev/null)
      grep -q "^Usage: corianderdyke $first $second" <<<"$help" || {
        echo "$1: no such command: corianderdyke $first $second"
        continue
      } ;;
    esac
    for option in $(grep -oE -- '--[a-z-]+' <<<"$second $rest" || true); do
      grep -q -- "$option" <<<"$help" ||
        echo "$1: 'corianderdyke $first' has no option $option"
    done
  done
}

# Each test named on the page must exist in the test program.
check_test_names() { # page
  # The program's exit code is the number of tests.
  names=$("$tests" --list-test-names-only || true)
  tr '\n' ' ' <"$1" | tr -s ' ' | grep -oE '"[A-Z][^"]+"' | tr -d '"' |
    while read -r name; do
      grep -qxF -- "$name" <<<"$names" || echo "$1: no such test: $name"
    done
}

{
  check_test_names docs/promises.md
  for page in $pages; do
    check_links "$page"
    check_commands "$page"
  done
  check_table Help/settings.md settings
  check_table Help/manifest.md manifest
  check_table Help/log-events.md events
  check_table Help/metrics.md metrics
  for file in Examples/*/*.toml; do
    option=()
    [ "$(basename "$file")" = manifest.toml ] && option=(--manifest)
    "$program" check "${option[@]}" "$file" 2>&1 >/dev/null || true
  done
} >"$errors"

cat "$errors"
[ ! -s "$errors" ]
