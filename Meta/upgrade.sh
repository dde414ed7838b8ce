#!/usr/bin/env bash
# Replaces the daemons of a fleet of 4 by those of another build, host by host, while the fleet serves model jobs, keyed calls and
# catalogue edits. Each daemon keeps its settings file, and the key-value service keeps the records that the old build wrote.
# Usage: Meta/upgrade.sh OLD_BUILD NEW_BUILD [STAND_INS_BUILD]. The stand-ins are of the old build unless another one is named.
set -euo pipefail
cd "$(dirname "$0")/.."
old=$1 new=$2 standIns=${3:-$1}
source Meta/processes.sh

check() { # check TEXT COMMAND...: a step that must succeed
    local text=$1
    shift
    if "$@"; then echo "ok: $text"; else echo "FAILED: $text"; exit 1; fi
}

platformPort=$(freePort)
start platform "$standIns/carawaymill-standin-platform" --port "$platformPort"
await curl -fs "http://127.0.0.1:$platformPort/hosts"
layers=('' '[0, 6]' '[6, 12]' '[0, 7]' '[5, 12]')
enginePorts=('')
for number in 1 2 3 4; do
    enginePorts[$number]=$(freePort)
    cat >"$work/engine-$number.json" <<EOF
{"target": "engine-$number", "microsecondsPerLayerToken": 5, "memory": 16777216, "bytesPerLayer": 1048576,
 "held": [{"model": "glider", "version": "1", "adapter": "", "layers": ${layers[$number]}}]}
EOF
    start "engine-$number" "$standIns/carawaymill-standin-engine" --settings "$work/engine-$number.json" --port "${enginePorts[$number]}"
done
billingPort=$(freePort)
start billing-1 "$standIns/carawaymill-standin-service" --port "$billingPort"

domains=('' fukuoka kumamoto kagoshima fukuoka)
callerPorts=('') operatorPorts=('') peerPorts=('') daemons=('') builds=('') starts=('')
hosts=()
for number in 1 2 3 4; do
    callerPorts[$number]=$(freePort)
    operatorPorts[$number]=$(freePort)
    peerPorts[$number]=$(freePort)
    starts[$number]=0
    hosts+=("{\"host\": \"entry-$number\", \"state\": \"live\", \"peerAddress\": \"tcp://127.0.0.1:${peerPorts[$number]}\", \"failureDomain\": \"${domains[$number]}\", \"region\": \"kyushu\"}")
done
curl -fs -X PUT -d "{\"hosts\": [$(IFS=,; echo "${hosts[*]}")], \"targets\": []}" "http://127.0.0.1:$platformPort/hosts" >/dev/null
for number in 1 2 3 4; do
    cat >"$work/entry-$number.json" <<EOF
{"host": "entry-$number", "failureDomain": "${domains[$number]}", "region": "kyushu",
 "callers": {"address": "127.0.0.1", "port": ${callerPorts[$number]}},
 "operators": {"address": "127.0.0.1", "port": ${operatorPorts[$number]}},
 "peerAddress": "tcp://127.0.0.1:${peerPorts[$number]}", "peerKey": "a key for the upgrade test only",
 "operatorTokenHash": "$(hashOf operator-token)", "firstStartOfDeployment": FIRST,
 "keyValueService": "127.0.0.1:$platformPort", "hostListService": "127.0.0.1:$platformPort"}
EOF
done
printf 'operator-token' >"$work/operator-token"

# run NUMBER BUILD FIRST: starts the daemon of a host.
run() {
    local number=$1 build=$2
    builds[$number]=$build
    starts[$number]=$((starts[$number] + 1))
    sed "s/FIRST/$3/" "$work/entry-$number.json" >"$work/settings-$number.json"
    "$build/carawaymilld" --settings "$work/settings-$number.json" --check >/dev/null 2>&1
    start "entry-$number-${starts[$number]}" "$build/carawaymilld" --settings "$work/settings-$number.json"
    daemons[$number]=${processes[-1]}
}
control() { # control NUMBER ARGUMENT...: the tool of that host's build
    local number=$1
    shift
    "${builds[$number]}/carawaymillctl" --host "127.0.0.1:${operatorPorts[$number]}" --token-file "$work/operator-token" "$@"
}

jobs=0
job() { # job NUMBER: a model job that must be answered. What was refused as not run is sent again.
    local answer
    for _ in $(seq 20); do
        answer=$(curl -sS --max-time 30 -X POST -H 'Authorization: Bearer ridge-token' \
            -d '{"model": "flight-summary", "prompt": "tow release height", "max_tokens": 12}' \
            "http://127.0.0.1:${callerPorts[$1]}/v1/completions") || return 1
        case "$answer" in
        *'"ran":"no"'*) sleep 0.5 ;;
        *'"completion_tokens":12'*)
            jobs=$((jobs + 1))
            return 0
            ;;
        *) break ;;
        esac
    done
    echo "$answer"
    return 1
}
keyed() { # keyed NUMBER KEY: a call that runs at most once; prints the answer's body
    local answer
    for _ in $(seq 20); do
        answer=$(curl -sS --max-time 30 -X POST -H 'Authorization: Bearer ridge-token' -H "Idempotency-Key: $2" -d '{"cents": 8400}' \
            "http://127.0.0.1:${callerPorts[$1]}/v1/services/tow-billing/charges") || return 1
        case "$answer" in *'"ran":"no"'*) sleep 0.5 ;; *) break ;; esac
    done
    echo "$answer"
}
runs() { curl -fsS "http://127.0.0.1:$billingPort/runs" | tr -dc 0-9; }
keys=()
calls() { # calls FROM TO: a new keyed call through one host, its repeat through the other, and all earlier ones again
    local key="charge-${#keys[@]}-$RANDOM" first second before entry
    first=$(keyed "$1" "$key")
    sleep 0.5
    second=$(keyed "$2" "$key")
    [ "$first" = "$second" ] || { echo "$first / $second"; return 1; }
    keys+=("$key $first")
    before=$(runs)
    for entry in "${keys[@]}"; do
        second=$(keyed "$2" "${entry%% *}")
        [ "$second" = "${entry#* }" ] || { echo "${entry%% *}: ${entry#* } / $second"; return 1; }
    done
    [ "$(runs)" = "$before" ] && [ "$before" = "${#keys[@]}" ]
}
inForce() { grep -q 'in force on 4 of 4 hosts' <<<"$1"; }
edit() { # edit NUMBER: a catalogue edit that must be in force on all hosts
    local answer
    answer=$(control "$1" edit entry flight-summary "{\"limits\": {\"requestsPerSecond\": $((50 + RANDOM % 50))}}") && inForce "$answer" || { echo "$answer"; return 1; }
}
settled() { # every host knows all 4 alive, and each ledger shard is served
    local served=0 number shards
    for number in 1 2 3 4; do
        shards=$(control "$number" --json status | python3 -c '
import json, sys
s = json.load(sys.stdin)
assert len(s["hosts"]) == 4 and all(h["state"] == "alive" for h in s["hosts"])
assert s["targets"] and all(t["availability"] == "available" for t in s["targets"])
print(s["ledgerShardsServed"])') || return 1
        served=$((served + shards))
    done
    [ "$served" -eq 8 ]
}
ready() {
    local number
    for number in 1 2 3 4; do curl -fs "http://127.0.0.1:${callerPorts[$number]}/readyz" || return 1; done
}
serveAll() {
    local number
    for number in 1 2 3 4; do check "model job through entry-$number" job "$number"; done
    check "keyed calls through entry-1 and entry-4" calls 1 4
    check "keyed calls through entry-4 and entry-1" calls 4 1
    check "catalogue edit through entry-2" edit 2
    check "catalogue edit through entry-4" edit 4
}

for number in 1 2 3 4; do run "$number" "$old" true; done
for number in 1 2 3 4; do await curl -fs "http://127.0.0.1:${callerPorts[$number]}/healthz"; done
sed -e "s/@RIDGE@/$(hashOf ridge-token)/; s/@HIBANA@/$(hashOf hibana-token)/" \
    -e "s/@ENGINE1@/127.0.0.1:${enginePorts[1]}/; s/@ENGINE2@/127.0.0.1:${enginePorts[2]}/" \
    -e "s/@ENGINE3@/127.0.0.1:${enginePorts[3]}/; s/@ENGINE4@/127.0.0.1:${enginePorts[4]}/" \
    -e "s/@BILLING@/127.0.0.1:$billingPort/" Meta/demo/catalogue.json >"$work/catalogue.json"
await control 1 status
control 1 apply "$work/catalogue.json" >/dev/null
await ready
await settled
echo "== Four hosts of the old build"
serveAll

# Host by host: 4, then 1 (so that two builds share the fleet both ways), then the rest. The stopped host drains under load.
for number in 4 1 3 2; do
    other=$((number % 4 + 1))
    background=()
    for _ in 1 2 3; do
        job "$other" >/dev/null &
        background+=($!)
    done
    kill -TERM "${daemons[$number]}"
    check "model job through entry-$other while entry-$number drains" job "$other"
    status=0
    stopping=$SECONDS
    wait "${daemons[$number]}" || status=$?
    echo "entry-$number has drained for $((SECONDS - stopping)) s"
    check "entry-$number ends with status 0" [ "$status" -eq 0 ]
    run "$number" "$new" false
    await curl -fs "http://127.0.0.1:${callerPorts[$number]}/healthz"
    await ready
    await settled
    for process in "${background[@]}"; do wait "$process" && jobs=$((jobs + 1)); done
    echo "== entry-$number is of the new build"
    serveAll
done

# One host back to the old build, beside three of the new one.
kill -TERM "${daemons[2]}"
check "entry-2 ends with status 0" wait "${daemons[2]}"
run 2 "$old" false
await curl -fs "http://127.0.0.1:${callerPorts[2]}/healthz"
await ready
await settled
echo "== entry-2 is of the old build again"
serveAll

billed() { control 3 --json usage thermal-ridge | python3 -c '
import json, sys
p = json.load(sys.stdin)["periods"]
p = list(p.values()) if isinstance(p, dict) else p
n = sum(x["jobs"] for x in p)
print(n)
sys.exit(0 if n == int(sys.argv[1]) else 1)' "$jobs"; }
await billed || { echo "billed: $(billed || true) of $jobs"; control 3 --json usage thermal-ridge; exit 1; }
echo "ok: $jobs jobs answered, $jobs billed"
if grep -nE 'event=unreadable|Cannot read|unknown message|lost the bill|report of an outcome was dropped' "$work"/entry-*.log; then
    echo "FAILED: a daemon did not understand what another wrote"
    exit 1
fi
echo "ok: no log line of an unreadable message or record"
echo "upgrade: done"
