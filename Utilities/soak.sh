#!/usr/bin/env bash
# Runs the soak test: real processes with random faults, several seeds at a
# time. Keeps the logs of each failing seed; exits 1 if a seed fails.
#
# Usage: Utilities/soak.sh BUILD_FOLDER FIRST_SEED SEEDS [SECONDS] [AT_A_TIME]
#        [OPTION...]
# Further options are passed to the soak test, such as --series and --limits.
set -euo pipefail
build=$(realpath "${1:?the build folder is missing}")
first=${2:?the first seed is missing}
seeds=${3:?the number of seeds is missing}
seconds=${4:-10}
at_a_time=${5:-2}
options=${*:6}
logs_folder=$build/soak
mkdir -p "$logs_folder"

run_seed() { # seed
  folder=$logs_folder/$1
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
export -f run_seed
export build logs_folder seconds options
seq "$first" $((first + seeds - 1)) |
  xargs -P "$at_a_time" -I{} bash -c 'run_seed {}'
