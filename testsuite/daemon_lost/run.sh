#!/usr/bin/env bash
# Guards against backend servers that stay unreachable after their home daemon
# was killed: they must announce themselves to the next daemon, which then
# sends them work.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
source "$(dirname "$0")/../fleet.sh"
run=$(mktemp -d)
output=$run/output
trap 'stop_all; rm -rf "$run"' EXIT

write_keys
start_platform
assign_addresses d1
assign_addresses d2
start_ready_daemons d1 d2
start_server s1 catalogue 1 "${admin[d1]}" "${admin[d2]}"
start_server s2 catalogue 2 "${admin[d1]}" "${admin[d2]}"

activate_catalogue d1 10000

# servers_are_homed_at NAME: true when d2 lists both servers as homed at NAME.
servers_are_homed_at() {
    admin_get d2 /servers | jq -e --arg home "$1" \
        '[.servers[] | select(.home_name == $home and .state == "serving")]
         | length == 2'
}
wait_until 20 servers_are_homed_at d1 || fail "the servers are not homed at d1"

cat >"$run/load.ini" <<INI
[load]
targets = ${listen[d2]}
streams = browse:20:GET:/page?size=100:true:0
seconds = 2
account = demo
secret = $secret
history = $run/load.jsonl
INI
load=("$bin/gcove_load" --settings "$run/load.ini" --output json)
all_ran() { jq -e '.streams.browse | .sent > 0 and .ran == .sent' "$output"; }

expect_exit 0 "${load[@]}"
all_ran >/dev/null || fail "before the loss: $(cat "$output")"
kill -KILL "${pid_of[d1]}"
wait_until 30 servers_are_homed_at d2 || fail "the servers have not moved to d2"
expect_exit 0 "${load[@]}" --set load.seed=2
all_ran >/dev/null || fail "after the loss: $(cat "$output")"
expect_exit 0 "$bin/gcove_check" --require=I2 "$run/load.jsonl" \
    "$run"/s[12].*.jsonl
echo "ok"
