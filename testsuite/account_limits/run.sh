#!/usr/bin/env bash
# Guards against an account that gets its limit once at each daemon, and against
# a limit that is lost when a daemon stops.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
source "$(dirname "$0")/../fleet.sh"
run=$(mktemp -d)
output=$run/output
trap 'stop_all; rm -rf "$run"' EXIT

write_keys
start_platform
for name in d1 d2 d3; do
    assign_addresses "$name"
    daemon_settings[$name]="account_limits = fleet"
done
start_ready_daemons d1 d2 d3
server_slots=40
start_server s1 catalogue 1 "${admin[d1]}"
activate_catalogue d1 3000
echo '{"accounts": {"demo": {"rate": 20, "burst": 20}}}' >"$run/limit.json"
accept_patch d1 1 "$run/limit.json" || fail "patch: $(cat "$run/patch.out")"
wait_until 10 all_have_version 2 || fail "the limit is not active"
listed() { [ -n "$(directory_entry s1)" ]; }
wait_until 20 listed || fail "the server is not listed"
sleep 4

# load NAME: sends 120 requests a second to all daemons for 5 s and prints the
# number that the server started.
load() {
    local before after
    before=$(cat "$run"/s1.*.jsonl | jq -s 'map(select(.event == "start")) | length')
    cat >"$run/load.ini" <<INI
[load]
targets = $(for name in "${daemons[@]}"; do echo -n "${listen[$name]} "; done)
streams = browse:120:GET:/page/1?size=100:true:0
seconds = 5
account = demo
secret = $secret
history = $run/$1.jsonl
INI
    "$bin/gcove_load" --settings "$run/load.ini" >"$run/$1.out" 2>&1 || true
    after=$(cat "$run"/s1.*.jsonl | jq -s 'map(select(.event == "start")) | length')
    echo $((after - before))
}
is_within() { [ "$1" -ge 80 ] && [ "$1" -le 152 ]; }

count=$(load all)
is_within "$count" || fail "three daemons started $count requests, not 80 to 152"
stop_daemon d3 || true
sleep 3
count=$(load rest)
is_within "$count" || fail "two daemons started $count requests, not 80 to 152"
echo "the limit holds over all daemons"
