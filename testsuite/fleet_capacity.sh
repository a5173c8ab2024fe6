#!/usr/bin/env bash
# Measures real daemons on loopback for docs/CAPACITY.md: control traffic,
# processor time and memory for each fleet size, the time until a patch is
# active at all daemons, and the latency and processor time that one and two
# hops add. Usage: fleet_capacity.sh BIN_DIR [SIZE...]
#        fleet_capacity.sh BIN_DIR latency
set -uo pipefail
bin=$(cd "$1" && pwd)
shift
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(6 24 96 160)
script_dir=$(cd "$(dirname "$0")" && pwd)
run=$PWD/capacity-run
rm -rf "$run"
mkdir -p "$run"
source "$script_dir/lib.sh"
source "$script_dir/fleet.sh"
trap stop_all EXIT

# Seconds over which rates are measured.
window=20
ticks_per_s=$(getconf CLK_TCK)
page_kb=$(($(getconf PAGESIZE) / 1024))

write_configuration() {
    local hash i services=""
    hash=$(printf '%s' "$secret" | sha256sum | cut -c1-32)
    for i in $(seq 0 "$1"); do
        services+="\"service-$i\": {\"floor_slots\": 16, \"reserved_slots\": 1,
          \"warmup_ms\": 0, \"priorities\": {\"normal\": {\"min_share\": 0.5}}},"
    done
    cat >"$run/config.json" <<JSON
{"priorities": {"normal": {"rank": 0, "target_ms": 500, "worth": 1}},
 "services": {${services%,}},
 "routes": {"all": {"service": "service-0", "method": "GET", "path": "/*",
     "priority": "normal", "repeatable": true, "timeout_ms": 5000}},
 "accounts": {"demo": {"key_hash": "$hash", "rate": 0, "burst": 0}}}
JSON
}

# start_fleet DAEMONS SERVERS_PER_DAEMON SERVERS_PER_SERVICE
start_fleet() {
    local i name count=0
    daemons=()
    servers=()
    write_keys
    start_platform
    for i in $(seq "$1"); do assign_addresses "daemon-$i"; done
    for name in "${daemons[@]}"; do
        start_daemon "$name" "dc-$((${name#daemon-} % 14))"
    done
    for name in "${daemons[@]}"; do
        wait_until 30 http_ok "http://${admin[$name]}/readyz" ||
            fail "$name is not ready, see $run/$name.1.log"
    done
    for name in "${daemons[@]}"; do
        for i in $(seq "$2"); do
            start_server "server-$count" "service-$((count / $3))" "$count" \
                "${admin[$name]}"
            count=$((count + 1))
        done
    done
    write_configuration $((count / $3))
    patch "${daemons[0]}" 0 "$run/config.json" ||
        fail "configuration refused: $(cat "$run/patch.out")"
    sleep 10
}

read_metric() {
    curl -sf -m 5 "http://${admin[$1]}/metrics" |
        awk -v name="$2" 'index($0, name) == 1 { sum += $NF } END { print sum + 0 }'
}

control_bytes() {
    read_metric "$1" 'gcove_peer_bytes_total{direction="in",kind="control"}'
    read_metric "$1" 'gcove_peer_bytes_total{direction="out",kind="control"}'
}

processor_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kb() { awk -v page="$page_kb" '{ print $2 * page }' "/proc/$1/statm"; }

# measure_rates SIZE: prints control traffic, processor time and memory of three
# daemons.
measure_rates() {
    local name sum_bytes=0 sum_ticks=0 sum_kb=0 sampled
    sampled=("${daemons[0]}" "${daemons[$(($1 / 2))]}"
        "${daemons[$(($1 - 1))]}")
    declare -A bytes ticks
    for name in "${sampled[@]}"; do
        bytes[$name]=$(control_bytes "$name" | paste -sd+ | bc)
        ticks[$name]=$(processor_ticks "${pid_of[$name]}")
    done
    sleep "$window"
    for name in "${sampled[@]}"; do
        local bytes_now ticks_now
        bytes_now=$(control_bytes "$name" | paste -sd+ | bc)
        ticks_now=$(processor_ticks "${pid_of[$name]}")
        sum_bytes=$(bc <<<"$sum_bytes + $bytes_now - ${bytes[$name]}")
        sum_ticks=$((sum_ticks + ticks_now - ${ticks[$name]}))
        sum_kb=$((sum_kb + $(resident_kb "${pid_of[$name]}")))
    done
    echo "$1 $sum_bytes $sum_ticks $sum_kb" |
        awk -v w="$window" -v hz="$ticks_per_s" '{ printf "| %d | %.0f | %.2f | %.1f |", $1,
            $2 / 3 / w, 100 * $3 / 3 / w / hz, $4 / 3 / 1024 }'
}

# in_force_ms VERSION: prints the number of daemons that logged the version as
# active, and the time from the first of these log lines to the last.
in_force_ms() {
    grep -h "E0700 config_in_force.* version=$1\b" "$run"/daemon-*.log |
        awk '{ split($2, t, ":"); s = t[1] * 3600 + t[2] * 60 + t[3]
               if (!n++ || s < first) first = s
               if (s > last) last = s }
             END { printf "%d %.0f", n, (last - first) * 1000 }'
}

measure_fleet() {
    start_fleet "$1" 1 8
    measure_rates "$1"
    echo '{"services": {"service-0": {"floor_slots": 12}}}' >"$run/patch.json"
    patch "${daemons[0]}" 1 "$run/patch.json" || fail "patch refused"
    wait_until 30 all_have_version 2 ||
        fail "version 2 is not active at all daemons"
    read -r count ms <<<"$(in_force_ms 2)"
    echo " $ms ($count daemons) |"
    stop_all
    rm -f "$run"/daemon-*.log
}

write_load() {
    cat >"$run/load.ini" <<INI
[load]
targets = $1
seconds = $3
seed = 1
account = demo
secret = $secret
streams = hop:$2:GET:/x:true:5000
INI
}

# run_load TARGET RATE SECONDS: prints p50 and p99 in milliseconds, and the
# number of requests that ran.
run_load() {
    write_load "$1" "$2" "$3"
    "$bin/gcove_load" --settings "$run/load.ini" --output=json 2>"$run/load.err" |
        jq -r '.streams.hop | "\(.p50_ms) \(.p99_ms) \(.ran)"'
}

# added_ms DAEMON SHARE: prints the upper bound of the lowest bucket that covers
# this share of the added latencies.
added_ms() {
    curl -sf -m 5 "http://${admin[$1]}/metrics" |
        awk -v share="$2" -F'[" ]' '/^gcove_added_latency_seconds_bucket/ {
                le[++n] = $2; count[n] = $NF }
            END { for (i = 1; i <= n; ++i)
                if (count[i] >= share * count[n]) { print le[i] * 1000; exit } }'
}

measure_latency() {
    local rate=100 seconds=20 direct one two before after
    start_fleet 2 1 2
    # The home of server-0 is the first daemon. The other server is stopped, so
    # that the second daemon forwards every request.
    kill -TERM "${pid_of[server-1]}"
    sleep 8
    direct=$(run_load "${server_address[server-0]}" $rate $seconds)
    before=$(processor_ticks "${pid_of[daemon-1]}")
    one=$(run_load "${listen[daemon-1]}" $rate $seconds)
    after=$(processor_ticks "${pid_of[daemon-1]}")
    echo "one hop: $(((after - before) * 1000000 / ticks_per_s / (rate * seconds))) us of processor time a request"
    before=$(processor_ticks "${pid_of[daemon-2]}")
    two=$(run_load "${listen[daemon-2]}" $rate $seconds)
    after=$(processor_ticks "${pid_of[daemon-2]}")
    echo "two hops: $(((after - before) * 1000000 / ticks_per_s / (rate * seconds))) us of processor time a request at the ingress"
    echo "| path | median ms | p99 ms | answered | added, 99 in 100 within ms |"
    echo "|---|---|---|---|---|"
    echo "| direct | ${direct// / | } | |"
    echo "| one hop | ${one// / | } | $(added_ms daemon-1 0.99) |"
    echo "| two hops | ${two// / | } | $(added_ms daemon-2 0.99) |"
    stop_all
}

echo "load average at the start: $(cut -d' ' -f1-3 /proc/loadavg)"
echo "| daemons | control bytes/s in and out | % of a core | resident MB | in force after ms |"
echo "|---|---|---|---|---|"
for size in "${sizes[@]}"; do
    [ "$size" = latency ] && continue
    measure_fleet "$size"
done
measure_latency
