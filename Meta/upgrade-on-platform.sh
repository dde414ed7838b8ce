#!/usr/bin/env bash
# Replaces the daemons of a fleet on the platform's stand-in by those of this build, host by host, and one of them back, under load.
# Usage: Meta/upgrade-on-platform.sh BUILD COMMIT...: BUILD is a folder with the new build, each COMMIT is built from history as the old one.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
shift
work=$(mktemp -d)
trap 'git worktree prune; rm -rf "$work"' EXIT
for commit in "$@"; do
    source=$work/source-$commit
    git worktree add -q --detach "$source" "$commit"
    cmake -S "$source" -B "$source/build" -G Ninja -DCARAWAYMILL_TESTS=OFF >/dev/null
    cmake --build "$source/build" --target carawaymilld >/dev/null
    knows=()
    grep -q relayPort "$source/deploy/settings.json.template" || knows+=(--old-without-relays)
    [ -e "$source/src/quarantine/CrashAttribution.h" ] || knows+=(--old-without-attribution)
    mkdir "$work/run-$commit"
    echo "== $commit"
    "$build/carawaymill-mixed-fleet" --old "$source/build/carawaymilld" --new "$build/carawaymilld" \
        --work "$work/run-$commit" "${knows[@]}"
    git worktree remove --force "$source"
done
