#!/usr/bin/env bash
# The one script for people. Usage: Meta/carawaymill.sh demo|test|lint|bench|soak [--seeds N] [--from S]|build|soak [--seeds N] [--from S]
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
    if [ -e KNOWN-RED.txt ]; then
        echo "Tests that are passed over, see KNOWN-RED.txt:"
        cat KNOWN-RED.txt
    fi
    ctest --test-dir "$build" --output-on-failure
    ;;
lint)
    buildAll
    Meta/lint.sh "$build"
    ;;
bench)
    buildAll
    for program in "$build"/carawaymill-bench-* "$build"/quarantineBench "$build"/bench/membership/membershipBench "$build"/bench/admission/admissionBench; do
        echo "== $(basename "$program")"
        "$program"
    done
    ;;
soak)
    shift
    seeds=1000 from=1
    while [ $# -gt 1 ]; do
        case "$1" in
        --seeds) seeds=$2 ;;
        --from) from=$2 ;;
        *) break ;;
        esac
        shift 2
    done
    [ $# -eq 0 ] || { echo "soak: unknown option $1" >&2; exit 2; }
    buildAll
    CARAWAYMILL_SOAK_SEEDS=$seeds CARAWAYMILL_SOAK_FROM=$from "$build/src/historyTest" \
        --test-case="no promise is broken under any drawn plan of faults"
    ;;
*)
    sed -n '2p' "$0" | sed 's/^# //'
    exit 2
    ;;
esac
