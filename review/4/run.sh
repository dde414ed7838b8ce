#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
case=4
program=target/review/case-$case
for file in "$program" target/build/carawaymilld; do
    [ -x "$file" ] || { echo "$file is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 "$program" "review/$case" "$work"
status=$?
[ "$status" -le 1 ] || { echo "the case could not run, status $status"; tail -n 3 "review/$case/record.txt"; exit 2; }
exit "$status"
