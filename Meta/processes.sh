# Functions for scripts that start daemons and stand-ins; to be sourced. Everything started is stopped at the exit.
# shellcheck shell=bash
work=$(mktemp -d)
processes=()
script=$(basename "$0" .sh)

stopAll() {
    local status=$?
    for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
    for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
    if [ "$status" -ne 0 ]; then
        echo "$script: failed; the last lines of the logs:"
        tail -n 5 "$work"/*.log || true
    fi
    [ -n "${CARAWAYMILL_KEEP_LOGS:-}" ] || rm -rf "$work"
}
trap stopAll EXIT

# Starts a program in the background, keeps its id and its log: start NAME PROGRAM [ARGUMENT...]
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    processes+=($!)
}

# Repeats a command until it succeeds, for at most 20 seconds.
await() {
    for _ in $(seq 200); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "$script: gave up waiting for: $*"
    return 1
}

# A port that was free a moment ago.
freePort() { python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'; }
hashOf() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
