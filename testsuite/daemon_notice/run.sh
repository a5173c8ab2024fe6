#!/usr/bin/env bash
# Guards against a sound backend server without requests while its home shuts
# down: the home must serve the requests of other daemons until its notice ends.
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
daemon_settings[d1]="drain_notice_ms = 4000"
start_ready_daemons d1 d2
start_server s1 catalogue 1 "${admin[d1]}"

activate_catalogue d1 10000
d2_lists_s1() {
    admin_get d2 /servers | jq -e '.servers | length == 1' >/dev/null
}
wait_until 20 d2_lists_s1 || fail "d2 does not list the server"

cat >"$run/load.ini" <<INI
[load]
targets = ${listen[d2]}
streams = browse:20:GET:/page?size=100:true:0
seconds = 2
account = demo
secret = $secret
history = $run/load.jsonl
INI
kill -TERM "${pid_of[d1]}"
expect_exit 0 "$bin/gcove_load" --settings "$run/load.ini" --output json
jq -e '.streams.browse | .sent > 0 and .ran == .sent' "$output" >/dev/null ||
    fail "in the notice of d1: $(cat "$output")"
code=0
wait "${pid_of[d1]}" || code=$?
unregister_process "${pid_of[d1]}"
[ "$code" = 0 ] || fail "d1 ended with $code"
echo "ok"
