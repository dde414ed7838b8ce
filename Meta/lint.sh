#!/usr/bin/env bash
# Checks formatting and lint of every C++ file under src/ and bench/. Usage: Meta/lint.sh [BUILD_FOLDER] [FILE...]
# With files named, only these are linted. `--fix-format` as the first word rewrites the formatting instead.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = "--fix-format" ]; then
    git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.h' 'bench/*.cpp' 'bench/*.h' | xargs -r clang-format -i
    exit 0
fi

build=${1:-build}
shift || true
git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.h' 'bench/*.cpp' 'bench/*.h' | xargs -r clang-format --dry-run --Werror

# A lint result depends on the file's preprocessed text and the rules only, so a clean one is remembered by their hash.
remembered=${CARAWAYMILL_LINT_CACHE:-$build/lint-clean}
mkdir -p "$remembered"
export build remembered
lintOne() {
    local file=$1 key
    key=$({
        clang-tidy --version
        cat .clang-tidy "$file"
        g++ -std=c++20 -E -P -DBOOST_ALLOW_DEPRECATED_HEADERS -Isrc "$file" 2>/dev/null || date +%N
    } | sha256sum | cut -d' ' -f1)
    [ -e "$remembered/$key" ] && return 0
    if clang-tidy --quiet -p "$build" "$file" 2>"$remembered/$key.log"; then
        rm -f "$remembered/$key.log"
        touch "$remembered/$key"
    else
        echo "lint: $file"
        grep -v 'warnings generated' "$remembered/$key.log" || true
        rm -f "$remembered/$key.log"
        return 1
    fi
}
export -f lintOne
if [ $# -gt 0 ]; then
    printf '%s\n' "$@"
else
    git ls-files -co --exclude-standard 'src/*.cpp' 'bench/*.cpp'
fi | xargs -r -P "$(nproc)" -I{} bash -c 'lintOne {}'
