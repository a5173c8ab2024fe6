#!/usr/bin/env bash
# Shows the fleet on one machine: 6 daemons in 3 data centres, 2 services with
# 6 backend servers each, under load, with a gray server, patches, a drain and
# a graceful stop. Checks the histories and exits 1 when a check failed.
# Usage: demo.sh BIN_DIR
set -uo pipefail
bin=$(cd "$1" && pwd)
script_dir=$(cd "$(dirname "$0")" && pwd)
run=$PWD/demo-run
rm -rf "$run"
mkdir -p "$run"
source "$script_dir/lib.sh"
source "$script_dir/fleet.sh"
trap stop_all EXIT
failed=0

print_line() { echo "$*" | tee -a "$run/page.txt"; }

# report_check STATUS TEXT: prints the result of a check, which passed when
# STATUS is 0.
report_check() {
    local mark="passed"
    if [ "$1" != 0 ]; then
        mark="FAILED"
        failed=1
    fi
    print_line "$mark  $2"
}

ms_since() { echo $((($(now_us) - $1) / 1000)); }

write_configuration() {
    local hash
    hash=$(printf '%s' "$secret" | sha256sum | cut -c1-32)
    cat >"$run/config.json" <<JSON
{"priorities": {
   "urgent": {"rank": 0, "target_ms": 500, "worth": 10},
   "browsing": {"rank": 1, "target_ms": 2000, "worth": 1}},
 "services": {
   "catalogue": {"floor_slots": 16, "reserved_slots": 1, "warmup_ms": 0,
     "priorities": {"urgent": {"min_share": 0}, "browsing": {"min_share": 0.5}}},
   "orders": {"floor_slots": 16, "reserved_slots": 1, "warmup_ms": 0,
     "priorities": {"urgent": {"min_share": 0.5}, "browsing": {"min_share": 0.1}}}},
 "routes": {
   "browse": {"service": "catalogue", "method": "GET", "path": "/catalogue/*",
     "priority": "browsing", "repeatable": true, "timeout_ms": 2000},
   "order": {"service": "orders", "method": "POST", "path": "/orders",
     "priority": "urgent", "repeatable": false, "timeout_ms": 3000}},
 "accounts": {"demo": {"key_hash": "$hash", "rate": 0, "burst": 0}}}
JSON
    cat >"$run/patch.json" <<'JSON'
{"services": {"catalogue": {"floor_slots": 12}}}
JSON
}

start_fleet() {
    local data_centres=(dc-a dc-b dc-c) i name all=()
    write_keys
    start_platform
    for i in 1 2 3 4 5 6; do
        assign_addresses "daemon-$i"
        all+=("${admin[daemon-$i]}")
    done
    for i in 1 2 3 4 5 6; do
        start_daemon "daemon-$i" "${data_centres[$(((i - 1) / 2))]}"
    done
    for name in "${daemons[@]}"; do
        wait_until 15 http_ok "http://${admin[$name]}/readyz" ||
            fail "$name is not ready, see $run/$name.1.log"
    done
    for i in 1 2 3 4 5 6; do
        # The home daemon first, then the others in turn.
        local order=("${all[@]:i-1}" "${all[@]:0:i-1}")
        start_server "catalogue-$i" catalogue "$i" "${order[@]}"
        start_server "orders-$i" orders "$((10 + i))" "${order[@]}"
    done
}

# directory_is_complete: true when every daemon lists all servers.
directory_is_complete() {
    local name listed
    for name in "${daemons[@]}"; do
        listed=$(admin_get "$name" /servers | jq '.servers | length')
        [ "${listed:-0}" = 12 ] || return 1
    done
}

configure_fleet() {
    accept_patch daemon-1 0 "$run/config.json" ||
        fail "the first patch was refused: $(cat "$run/patch.out")"
    wait_until 10 all_have_version 1 ||
        fail "version 1 is not active at all daemons"
    wait_until 15 directory_is_complete ||
        fail "not all servers are listed at every daemon"
    observe &
    observer=$!
    started_pids+=("$observer")
}

start_load() {
    cat >"$run/load.ini" <<INI
[load]
targets = ${listen[*]}
streams = browse:120:GET:/catalogue/page?size=2000:true:2000 order:30:POST:/orders:false:3000
seconds = $1
seed = 1
retries = 3
account = demo
secret = $secret
history = $run/load.jsonl
INI
    start "$run/load.out" "$bin/gcove_load" --settings "$run/load.ini"
    load=$last_pid
}

inject_gray_failure() {
    local at
    curl -sf -d '{"fail_rate":0.8}' -o /dev/null \
        "http://${server_address[catalogue-2]}/faults"
    at=$(now_us)
    wait_until 15 is_ejected catalogue-2
    report_check $? "catalogue-2 fails 80% of its work while its probe returns \
200: ejected after $(ms_since "$at") ms"
}

apply_patch() {
    local at took
    at=$(now_us)
    accept_patch daemon-3 1 "$run/patch.json" ||
        print_line "patch refused: $(cat "$run/patch.out")"
    until all_have_version 2 || [ "$(ms_since "$at")" -gt 10000 ]; do
        sleep 0.02
    done
    took=$(ms_since "$at")
    [ "$took" -le 3000 ]
    report_check $? "a patch at daemon-3 is active at all 6 daemons after $took \
ms (bound 3000 ms)"
    ! patch daemon-5 1 "$run/patch.json"
    report_check $? "a patch against version 1 is refused when version 2 \
is active"
    [ "$(version_of daemon-5)" = 2 ]
    report_check $? "the refused patch changed nothing"
}

drain_by_operator() {
    drain_server orders-3
    report_check $? "orders-3 is drained by the operator"
    record drain 'server="orders-3"' "time_us=$(now_us)"
}

drain_by_signal() {
    local code=0 remaining=() name
    kill -TERM "${pid_of[orders-4]}"
    wait "${pid_of[orders-4]}" || code=$?
    for name in "${servers[@]}"; do
        [ "$name" = orders-4 ] || remaining+=("$name")
    done
    servers=("${remaining[@]}")
    report_check "$code" "orders-4 drains on SIGTERM and exits with code $code"
}

stop_daemon_by_signal() {
    stop_daemon daemon-6
    report_check "$stop_code" "daemon-6 is stopped gracefully and exits with code \
$stop_code"
}

count_false_ejections() {
    sort -u "$run/ejected.txt" 2>/dev/null | grep -vcx catalogue-2
}

finish() {
    local code=0
    wait "$load" || code=$?
    report_check "$code" "the load tool received no wrong, truncated or \
misrouted response"
    sleep 1
    kill "$observer" 2>/dev/null
    wait "$observer" 2>/dev/null
    stop_in_order
    report_check $? "all servers and daemons stop gracefully with code 0"
    print_line ""
    print_line "$(cat "$run/load.out")"
    print_line ""
    print_line "healthy servers that were ejected: $(count_false_ejections)"
    print_line ""
    code=0
    "$bin/gcove_check" --require=I1,I2,I3,I4,I5,I6,I7 "$run"/*.jsonl \
        >"$run/check.out" 2>&1 || code=$?
    print_line "$(cat "$run/check.out")"
    report_check "$code" "the histories satisfy the invariants I1 to I7"
}

main() {
    local begin
    begin=$(now_us)
    write_configuration
    start_fleet
    configure_fleet
    print_line "6 daemons in 3 data centres, 12 backend servers of 2 services"
    start_load 30
    sleep 4
    inject_gray_failure
    apply_patch
    drain_by_operator
    sleep 4
    drain_by_signal
    stop_daemon_by_signal
    finish
    print_line "took $(($(ms_since "$begin") / 1000)) s; files are in $run"
    exit "$failed"
}
main
