#!/usr/bin/env bash
# Runs the soak: real processes under drawn faults, some seeds at a time. Keeps
# the logs of each seed that fails and exits 1 if one does.
#
# Usage: Utilities/soak.sh BUILD_FOLDER FIRST_SEED SEEDS [SECONDS] [AT_A_TIME]
#        [OPTION...]
# Further options go to the soak, such as --series and --limits.
set -euo pipefail
build=$(realpath "${1:?the build folder is missing}")
first=${2:?the first seed is missing}
seeds=${3:?how many seeds}
seconds=${4:-10}
at_a_time=${5:-2}
options=${*:6}
kept=$build/soak
mkdir -p "$kept"

one() { # seed
  folder=$kept/$1
  rm -rf "$folder"
  mkdir -p "$folder"
  if "$build/Tests/corianderdyke-soak" --program "$build/Source/corianderdyke" \
    --folder "$folder" --seed "$1" --seconds "$seconds" --verbose \
    $options >"$folder/report.txt" 2>&1; then
    tail -n 1 "$folder/report.txt"
    rm -rf "$folder"
  else
    echo "seed $1 FAILED, logs in $folder"
    grep -E '^(seed|BREACH)' "$folder/report.txt" || tail -n 5 "$folder/report.txt"
    return 1
  fi
}
export -f one
export build kept seconds options
seq "$first" $((first + seeds - 1)) |
  xargs -P "$at_a_time" -I{} bash -c 'one {}'
