#!/usr/bin/env bash
# Plays replacements of two control hosts followed by the loss of two disks,
# with real processes and times and orders drawn from seeds. Keeps the logs of
# each failing seed; exits 1 if a seed fails.
#
# Usage: Utilities/replacements.sh BUILD_FOLDER FIRST_SEED SEEDS [AT_A_TIME]
#        [OPTION...]
# Further options are passed to the program, such as --loss-after-stops.
# PROGRAM and SLOW_PROGRAM name other programs to test than those of the build
# folder; an empty SLOW_PROGRAM leaves the slow disks out.
set -euo pipefail
build=$(realpath "${1:?the build folder is missing}")
first=${2:?the first seed is missing}
seeds=${3:?the number of seeds is missing}
at_a_time=${4:-4}
options=${*:5}
program=${PROGRAM:-$build/Source/corianderdyke}
slow_program=${SLOW_PROGRAM-$build/Tests/corianderdyke-slow-disks}
logs_folder=$build/replacements
mkdir -p "$logs_folder"

play_seed() { # seed
  folder=$logs_folder/$1
  if "$build/Tests/corianderdyke-replacement" --program "$program" \
    --slow-program "$slow_program" --folder "$folder" \
    --seed "$1" $options >"$folder.txt" 2>&1; then
    tail -n 1 "$folder.txt"
    rm -rf "$folder" "$folder.txt"
  else
    tail -n 1 "$folder.txt"
    echo "seed $1 FAILED, logs in $folder, steps in $folder.txt"
    return 1
  fi
}
export -f play_seed
export build logs_folder options program slow_program
seq "$first" $((first + seeds - 1)) |
  xargs -P "$at_a_time" -I{} bash -c 'play_seed {}'
