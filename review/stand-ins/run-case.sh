#!/bin/bash
# Runs a case: run-case.sh PROGRAM FOLDER. The record goes into the folder, all else into a temporary one.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
program=target/review-2/release/$1
RECORD=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x "$program" ] || [ ! -x target/release/tamarackdaled ]; then
    echo "the case could not run: build the deploy file and review/build-2.sh first"
    exit 2
fi
FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$FOLDER"' EXIT
export RECORD FOLDER
"$program"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
