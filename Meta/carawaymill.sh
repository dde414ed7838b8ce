#!/usr/bin/env bash
# The one script for people. Usage: Meta/carawaymill.sh demo|test|lint|build
set -euo pipefail
cd "$(dirname "$0")/.."
build=${CARAWAYMILL_BUILD:-build}

buildAll() {
    Meta/install.sh
    cmake -S . -B "$build" -G Ninja >/dev/null
    cmake --build "$build"
}

case "${1:-}" in
demo)
    buildAll
    Meta/demo.sh "$build"
    ;;
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
