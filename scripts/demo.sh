#!/usr/bin/env bash
# Runs both deployments of examples/ on one machine with stand-ins for platform and endpoints, sends calls through all
# entries and verifies them against the records of the stand-ins. The last line is
#   demo: N answered, L lost, D doubled, W wrong adapter
# and the exit code is 0 only if L, D and W are 0. Stops all processes that it started.
#   --short      fewer calls with less concurrency
#   --calls N    calls per deployment
#   --built DIR  use the programs in DIR instead of setting up and building
#   --drain      drain one engine sidecar and one service sidecar per deployment while the calls run
#   --idle N     stay idle for N seconds before the calls and print the number of key-value calls
set -eu
cd "$(dirname "$0")/.."
calls=400
threads=16
build=build
setup=yes
idle=0
drain=no
while [ $# -gt 0 ]; do
    case $1 in
    --short) calls=64; threads=8 ;;
    --calls) calls=$2; shift ;;
    --built) setup=no; build=$2; shift ;;
    --drain) drain=yes ;;
    --idle) idle=$2; shift ;;
    *) echo "usage: scripts/demo.sh [--short] [--calls N] [--built DIR] [--drain] [--idle N]" >&2; exit 2 ;;
    esac
    shift
done
if [ $setup = yes ]; then
    scripts/setup.sh
    scripts/build.sh "$build"
fi

work=$(mktemp -d)
started=()
daemons=()
stopAll() {
    status=$?
    trap - EXIT
    for pid in "${daemons[@]}" "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${daemons[@]}" "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
    if [ $status = 0 ]; then rm -rf "$work"; else echo "logs are kept in $work" >&2; fi
    exit $status
}
trap stopAll EXIT
trap 'exit 130' INT TERM

# startStandin FILE SUBCOMMAND OPTIONS...: starts a stand-in that writes its port to FILE.port.
startStandin() {
    local file=$1
    shift
    "$build/tests/standins" "$@" --port-file "$file.port" >"$file.log" 2>&1 &
    started+=($!)
}
portOf() {
    for _ in $(seq 1 600); do
        [ -s "$1.port" ] && { cat "$1.port"; return; }
        sleep 0.05
    done
    echo "$1 did not start" >&2
    cat "$1.log" >&2 || true
    return 1
}
urlOf() { echo "http://127.0.0.1:$(portOf "$1")"; }

# startDeployment NAME LOAD_RATE: starts all processes and stores the arguments of anvilctl and the callers in files.
startDeployment() {
    local example=examples/$1 folder=$work/$1 rate=$2 name
    mkdir -p "$folder"
    startStandin "$folder/key-value" key-value
    startStandin "$folder/vm-list" vm-list --lag-ms 200
    startStandin "$folder/weight-store" weight-store --rate "$rate"
    local keyValue vmList weightStore
    keyValue=$(urlOf "$folder/key-value")
    vmList=$(urlOf "$folder/vm-list")
    weightStore=$(urlOf "$folder/weight-store")

    local endpoints=() caller=()
    for file in "$example"/settings/*.json; do
        name=$(basename "$file" .json)
        if grep -q '"endpointKind": "engine"' "$file"; then
            local fencing=ignore
            grep -q '"endpointChecksFence": true' "$file" && fencing=check
            startStandin "$folder/$name.endpoint" engine --fencing $fencing --weight-store "$weightStore" \
                --base-model "$(sed -nE 's/.*"baseModel": "([^"]*)".*/\1/p' "$file")" \
                --slots "$(sed -nE 's/.*"slots": ([0-9]*).*/\1/p' "$file")" --step-us 2000 --sequence-us 100
            endpoints+=("$name=$(urlOf "$folder/$name.endpoint")")
            caller+=(--engine "$(urlOf "$folder/$name.endpoint")")
        elif grep -q '"endpointKind": "service"' "$file"; then
            startStandin "$folder/$name.endpoint" service --name "$name" --delay-ms 5
            endpoints+=("$name=$(urlOf "$folder/$name.endpoint")")
            caller+=(--service-endpoint "$(urlOf "$folder/$name.endpoint")")
        fi
    done

    python3 scripts/demo_files.py settings "$example" "$folder" "$keyValue" "$vmList/vms" "${endpoints[@]}"
    for file in "$example"/settings/*.json; do
        name=$(basename "$file" .json)
        "$build/bin/anvilscaled" --settings "$folder/$name.json" >"$folder/$name.out" 2>&1 &
        daemons+=($!)
    done
    for file in "$example"/settings/*.json; do
        name=$(basename "$file" .json)
        portOf "$folder/$name.control" >/dev/null
        if grep -q '"role": "entry"' "$file"; then caller+=(--entry "$(urlOf "$folder/$name.http")"); fi
    done
    python3 scripts/demo_files.py vms "$example" "$folder" "$vmList/standin"

    local ctl=("$build/bin/anvilctl" --key-value "$keyValue" --vm-list "$vmList/vms" --timeout-ms 60000 --author demo)
    echo "$1: $("${ctl[@]}" config apply "$example/records" | tail -1)"
    echo "$1: $("${ctl[@]}" config wait 1 | tail -1)"

    for route in $(python3 scripts/demo_files.py routes "$example"); do caller+=(--route "$route"); done
    while read -r kind name; do caller+=("--$kind-service" "$name"); done \
        < <(python3 scripts/demo_files.py services "$example")
    printf '%s\n' "${caller[@]}" >"$folder/caller.args"
    printf '%s\n' "${ctl[@]}" >"$folder/ctl.args"
}

# drainSidecars NAME CTL...: drains the first sidecar of each kind once the calls have started.
drainSidecars() {
    local folder=$work/$1 kind file name
    shift
    while ! grep -q '^calls begin' "$folder/caller.out"; do sleep 0.05; done
    for kind in engine service; do
        file=$(grep -l "\"endpointKind\": \"$kind\"" "$folder"/*.json | head -1)
        name=$(basename "$file" .json)
        "$@" drain "$name" --reason demo
    done
}

runCalls() {
    local folder=$work/$1 caller ctl
    mapfile -t caller <"$folder/caller.args"
    mapfile -t ctl <"$folder/ctl.args"
    echo
    "$build/tests/standins" caller --tag "$1" --calls "$calls" --threads "$threads" "${caller[@]}" \
        >"$folder/caller.out" &
    local pid=$!
    started+=($pid)
    if [ $drain = yes ]; then drainSidecars "$1" "${ctl[@]}"; fi
    wait $pid || failed=yes
    grep -v '^RESULT\|^calls begin' "$folder/caller.out" || true
    echo
    "${ctl[@]}" status
}

measureIdle() {
    local name url before
    sleep 15 # lets leases, slots and watches settle
    for name in authority utac; do
        url=$(urlOf "$work/$name/key-value")
        before=$(python3 scripts/demo_files.py calls "$url")
        sleep "$idle"
        echo "$name: $(($(python3 scripts/demo_files.py calls "$url") - before)) calls on the key-value service in $idle s"
    done
}

failed=no
startDeployment authority 4
startDeployment utac 2
[ "$idle" = 0 ] || measureIdle
runCalls authority
runCalls utac

# Every daemon must exit with code 0. Drained daemons have already exited.
for pid in "${daemons[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
for pid in "${daemons[@]}"; do
    wait "$pid" || { echo "a daemon ended with $?" >&2; failed=yes; }
done
daemons=()

echo
read -r answered lost doubled wrong < <(cat "$work"/*/caller.out | awk '/^RESULT/ {n++; a+=$2; l+=$3; d+=$4; w+=$5}
    END {if (n == 2) print a, l, d, w; else print 0, 0, 0, 0}')
[ "$answered" -gt 0 ] || failed=yes
echo "demo: $answered answered, $lost lost, $doubled doubled, $wrong wrong adapter"
[ "$lost$doubled$wrong" = 000 ] && [ $failed = no ]
