#!/usr/bin/env bash
# Guards against a second SIGTERM that leaves the drain at the time of the first:
# work that the second one should still let finish was cut off. Also guards
# against settings of a shutdown that contradict each other.
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
# The drain ends 3.5 s after a SIGTERM.
daemon_settings[d1]="shutdown_seconds = 4"
start_ready_daemons d1 d2
start_server s1 catalogue 1 "${admin[d1]}"

activate_catalogue d1 20000
d1_lists_s1() {
    admin_get d1 /servers | jq -e '.servers | length == 1' >/dev/null
}
wait_until 20 d1_lists_s1 || fail "d1 does not list the server"

# The server holds the request until 5 s after the first SIGTERM.
kill -STOP "${pid_of[s1]}"
curl -s -m 15 -o "$run/page" -w '%{http_code}' \
    -H "Authorization: Bearer demo:$secret" \
    "http://${listen[d1]}/page?size=100" >"$run/status" &
caller=$!
sleep 0.5
kill -TERM "${pid_of[d1]}"
sleep 2.5
kill -TERM "${pid_of[d1]}"
sleep 2.5
kill -CONT "${pid_of[s1]}"
wait "$caller" || fail "the caller got no response: $(cat "$run"/d1.*.log)"
[ "$(cat "$run/status")" = 200 ] ||
    fail "status $(cat "$run/status"): $(cat "$run/page")"
code=0
wait "${pid_of[d1]}" || code=$?
unregister_process "${pid_of[d1]}"
[ "$code" = 0 ] || fail "d1 ended with $code"
grep -q "E0111 drain_extended" "$run/d1.1.log" ||
    fail "no line about the second signal"
grep -q "E0110 bounds_derived.*drain_limit_ms=3500" "$run/d1.1.log" ||
    fail "no line about the bounds"

expect_exit 2 "$bin/gcove_daemon" --settings "$run/d1.ini" --check_settings \
    --set daemon.drain_seconds=5
expect_output "daemon.drain_seconds: 5 is longer than daemon.shutdown_seconds, 4"
expect_exit 2 "$bin/gcove_daemon" --settings "$run/d1.ini" --check_settings \
    --set daemon.memory_mb=16,daemon.max_body_bytes=16777216
expect_output "daemon.memory_mb: room for answers"
expect_exit 0 "$bin/gcove_daemon" --settings "$run/d1.ini" --check_settings
echo "ok"
