#!/usr/bin/env bash
# Guards against a daemon that a signal ends at once, which happens when one
# thread does not block the signals and their default action applies. SIGHUP
# must reload the settings, SIGTERM must drain, and the log must contain an
# event for each of them.
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
start_daemon d1 dc-a
daemon=${pid_of[d1]}
# The log of the first start; the process may not have created it yet.
log=$run/d1.1.log
wait_until 20 http_ok "http://${admin[d1]}/readyz" ||
    fail "d1 is not ready: $(cat "$log")"

has_line() {
    grep -q "^time=[^ ]* level=info $1" "$log"
}
kill -HUP "$daemon"
wait_until 5 has_line "E0103 settings_reloaded" ||
    fail "SIGHUP: $(cat "$log")"
kill -TERM "$daemon"
# Signals during a drain must not shorten it.
kill -HUP "$daemon"
kill -TERM "$daemon"
code=0
wait "$daemon" || code=$?
unregister_process "$daemon"
[ "$code" = 0 ] || fail "exit $code after SIGTERM: $(cat "$log")"
has_line "E0101 process_draining" || fail "no drain event: $(cat "$log")"
has_line "E0102 process_stopped" || fail "no stop event: $(cat "$log")"
