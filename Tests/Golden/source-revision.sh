#!/usr/bin/env bash
# Guards against a program that was built from other sources than it says: the
# revision follows the contents of the sources, and a build folder under sources
# with older times is built anew.
#
# Usage: source-revision.sh BUILD_FOLDER
set -euo pipefail
build=${1:?the build folder is missing}
script=$(cd "$(dirname "$0")/../.." && pwd)/Utilities/SourceRevision.cmake
program=$build/Source/corianderdyke
fail() {
  echo "source-revision: $1" >&2
  exit 1
}

# The program was built from this checkout.
expected=$(cmake -P "$script")
"$program" version | grep -qF "(revision $expected)" ||
  fail "the program isn't of revision $expected: $("$program" version)"
"$program" version --json | grep -qF "\"revision\": \"$expected\"" ||
  fail "no revision $expected in JSON"

# A small tree with a built program.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
source=$folder/source
mkdir -p "$source/Source" "$source/platform" "$folder/build"
touch "$source/CMakeLists.txt" "$source/Source/CMakeLists.txt" \
  "$source/Source/One.h"
echo "int main() { return 0; }" >"$source/Source/One.cpp"
revise() { # further options
  cmake -D SOURCE="$source" -D RECORD="$folder/build/record" \
    -D OUTPUT="$folder/build/Revision.cpp" -D PROGRAM="$folder/build/program" \
    "$@" -P "$script" >"$folder/output" 2>&1
}
built() {
  touch "$folder/build/One.o" "$folder/build/program"
}
revise -D OBJECTS="$folder/build" || fail "a first build fails"
built
revise || fail "a build without a change fails"
first=$(cat "$folder/build/Revision.cpp")

# Changed as an editor does.
echo "int main() { return 1; }" >"$source/Source/One.cpp"
touch -d "+1 minute" "$source/Source/One.cpp"
revise || fail "a change with a newer time fails"
[ -e "$folder/build/One.o" ] || fail "a newer change removes objects"
[ "$first" != "$(cat "$folder/build/Revision.cpp")" ] ||
  fail "the revision doesn't follow the contents"

# Changed as by an archive.
built
echo "int main() { return 2; }" >"$source/Source/One.cpp"
touch -d "2020-01-01" "$source/Source/One.cpp"
! revise || fail "a build passes over a change with an older time"
grep -q "Source/One.cpp" "$folder/output" || fail "the error names no file"
revise -D OBJECTS="$folder/build" || fail "configuring fails"
[ ! -e "$folder/build/One.o" ] || fail "the old object remains"
revise || fail "the build after it fails"

# A build folder from before the revision existed.
built
rm "$folder/build/record"
revise -D OBJECTS="$folder/build" || fail "configuring without a record fails"
[ ! -e "$folder/build/One.o" ] || fail "an object of unknown sources remains"
echo "source-revision: passed"
