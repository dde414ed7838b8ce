#!/usr/bin/env bash
# The one script for people. Usage: Meta/carawaymill.sh build|test|lint
set -euo pipefail
cd "$(dirname "$0")/.."
build=${CARAWAYMILL_BUILD:-build}

buildAll() {
    Meta/install.sh
    cmake -S . -B "$build" -G Ninja >/dev/null
    cmake --build "$build"
}

case "${1:-}" in
build) buildAll ;;
test)
    buildAll
    ctest --test-dir "$build" --output-on-failure
    ;;
lint)
    buildAll
    Meta/lint.sh "$build"
    ;;
*)
    sed -n '2p' "$0" | sed 's/^# //'
    exit 2
    ;;
esac
