#!/usr/bin/env bash
# Runs the script of one case: run-case-2.sh NUMBER. Exits with 1 if the rule
# was broken, 0 if it held and 2 if the case couldn't run.
number=${1:?the number of the case is missing}
here=$(cd "$(dirname "$0")" && pwd)
program=$here/../target/Source/corianderdyke
case_program=$here/../target/review-2/case-$number
record=$here/$number/record.txt
if [ ! -x "$program" ] || [ ! -x "$case_program" ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 "$case_program" "$program" "$folder" "$record"
code=$?
[ $code -le 1 ] && exit $code
exit 2
