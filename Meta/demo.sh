#!/usr/bin/env bash
# Starts 4 daemons and the stand-ins on free loopback ports, sends a launch log and a handover note, prints each answer and
# the decisions behind it, edits the catalogue, and stops everything that it started. Called by Meta/carawaymill.sh demo.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
source Meta/processes.sh

platformPort=$(freePort)
start platform "$build/carawaymill-standin-platform" --port "$platformPort"
await curl -fs "http://127.0.0.1:$platformPort/hosts"

layers=('' '[0, 6]' '[6, 12]' '[0, 7]' '[5, 12]')
slowness=(0 5 5 10 10)
enginePorts=('')
engineProcesses=('')
for number in 1 2 3 4; do
    enginePorts[$number]=$(freePort)
    cat >"$work/engine-$number.json" <<EOF
{"target": "engine-$number", "microsecondsPerLayerToken": ${slowness[$number]}, "memory": 16777216, "bytesPerLayer": 1048576,
 "held": [{"model": "glider", "version": "1", "adapter": "", "layers": ${layers[$number]}}]}
EOF
    start "engine-$number" "$build/carawaymill-standin-engine" --settings "$work/engine-$number.json" --port "${enginePorts[$number]}"
    engineProcesses[$number]=${processes[-1]}
done

billingPort=$(freePort)
start billing-1 "$build/carawaymill-standin-service" --port "$billingPort"

domains=('' fukuoka kumamoto kagoshima fukuoka)
callerPorts=('')
operatorPorts=('')
peerPorts=('')
hosts=()
for number in 1 2 3 4; do
    callerPorts[$number]=$(freePort)
    operatorPorts[$number]=$(freePort)
    peerPorts[$number]=$(freePort)
    hosts+=("{\"host\": \"entry-$number\", \"state\": \"live\", \"peerAddress\": \"tcp://127.0.0.1:${peerPorts[$number]}\", \"failureDomain\": \"${domains[$number]}\", \"region\": \"kyushu\"}")
done
hostList="{\"hosts\": [$(IFS=,; echo "${hosts[*]}")], \"targets\": []}"
curl -fs -X PUT -d "$hostList" "http://127.0.0.1:$platformPort/hosts" >/dev/null

for number in 1 2 3 4; do
    cat >"$work/entry-$number.json" <<EOF
{"host": "entry-$number", "failureDomain": "${domains[$number]}", "region": "kyushu",
 "callers": {"address": "127.0.0.1", "port": ${callerPorts[$number]}},
 "operators": {"address": "127.0.0.1", "port": ${operatorPorts[$number]}},
 "peerAddress": "tcp://127.0.0.1:${peerPorts[$number]}", "peerKey": "a key for the demonstration only",
 "operatorTokenHash": "$(hashOf operator-token)",
 "firstStartOfDeployment": true, "keyValueService": "127.0.0.1:$platformPort", "hostListService": "127.0.0.1:$platformPort"}
EOF
    start "entry-$number" "$build/carawaymilld" --settings "$work/entry-$number.json"
done
for number in 1 2 3 4; do
    await curl -fs "http://127.0.0.1:${callerPorts[$number]}/healthz"
done

printf 'operator-token' >"$work/operator-token"
control() { "$build/carawaymillctl" --host "127.0.0.1:${operatorPorts[1]}" --token-file "$work/operator-token" "$@"; }

sed -e "s/@RIDGE@/$(hashOf ridge-token)/; s/@HIBANA@/$(hashOf hibana-token)/" \
    -e "s/@ENGINE1@/127.0.0.1:${enginePorts[1]}/; s/@ENGINE2@/127.0.0.1:${enginePorts[2]}/" \
    -e "s/@ENGINE3@/127.0.0.1:${enginePorts[3]}/; s/@ENGINE4@/127.0.0.1:${enginePorts[4]}/" \
    -e "s/@BILLING@/127.0.0.1:$billingPort/" \
    Meta/demo/catalogue.json >"$work/catalogue.json"
echo "== Operators write the catalogue"
await control status
control apply "$work/catalogue.json"
for number in 1 2 3 4; do
    await curl -fs "http://127.0.0.1:${callerPorts[$number]}/readyz"
done

# ask NUMBER TOKEN ENTRY FILE: sends a file's text to a host and prints the answer and the decisions behind it.
ask() {
    local number=$1 token=$2 entry=$3 file=$4 job
    python3 -c 'import json, sys; print(json.dumps({"model": sys.argv[1], "prompt": open(sys.argv[2]).read(), "max_tokens": 24}))' "$entry" "$file" >"$work/body.json"
    curl -fsS -X POST -H "Authorization: Bearer $token" -H 'Content-Type: application/json' --data @"$work/body.json" \
        "http://127.0.0.1:${callerPorts[$number]}/v1/completions" >"$work/answer.json"
    job=$(python3 -c 'import json, sys; print(json.load(open(sys.argv[1]))["id"])' "$work/answer.json")
    echo "== entry-$number answers $entry (job $job)"
    python3 -c 'import json, sys; a = json.load(open(sys.argv[1])); print(a["choices"][0]["text"]); print("usage:", a["usage"])' "$work/answer.json"
    "$build/carawaymillctl" --host "127.0.0.1:${operatorPorts[$number]}" --token-file "$work/operator-token" explain "$job"
}

# Succeeds when a host knows all 4 and some host serves each shard of the ledger.
settled() {
    local served=0 number status
    for number in 1 2 3 4; do
        status=$("$build/carawaymillctl" --host "127.0.0.1:${operatorPorts[$number]}" --token-file "$work/operator-token" --json status)
        served=$((served + $(python3 -c 'import json, sys; s = json.loads(sys.argv[1]); assert len(s["hosts"]) == 4 and all(t["availability"] == "available" for t in s["targets"]); print(s["ledgerShardsServed"])' "$status")))
    done
    [ "$served" -eq 8 ]
}
await settled
ask 1 ridge-token flight-summary Meta/demo/launch-log.txt
ask 3 hibana-token handover-note Meta/demo/handover.txt

# post NUMBER KEY: posts a tow charge to a host. A refusal that says "not run" may safely be sent again, and is.
post() {
    local answer
    for _ in 1 2 3 4 5; do
        answer=$(curl -sS -X POST -H 'Authorization: Bearer ridge-token' -H "Idempotency-Key: $2" -d '{"launch": "0914", "cents": 8400}' \
            "http://127.0.0.1:${callerPorts[$1]}/v1/services/tow-billing/charges")
        echo "$answer"
        case "$answer" in *'"ran":"no"'*) sleep 1 ;; *) return 0 ;; esac
    done
    return 1
}
echo "== A tow charge is posted, and posted again through another host: it runs once"
post 1 charge-0914
sleep 1
post 2 charge-0914
curl -fsS "http://127.0.0.1:$billingPort/runs"
echo

echo "== The connection breaks after the next charge ran: its outcome is unknown, and its repeat does not run"
curl -fsS -X POST -d '{"loseAnswers": 1}' "http://127.0.0.1:$billingPort/faults" >/dev/null
post 3 charge-0931
sleep 1
post 4 charge-0931
curl -fsS "http://127.0.0.1:$billingPort/runs"
echo

echo "== An engine dies: its layers are covered by others"
kill -KILL "${engineProcesses[1]}"
wait "${engineProcesses[1]}" 2>/dev/null || true
ask 2 ridge-token flight-summary Meta/demo/launch-log.txt

echo "== An operator edits an entry while the system runs"
control edit entry flight-summary '{"jobClass": "critical"}'
echo "== Usage (bills are summed up every 10 seconds)"
billed() { control usage thermal-ridge | grep -q '"jobs"'; }
await billed
control usage thermal-ridge
echo "demo: done"
