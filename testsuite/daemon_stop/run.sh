#!/usr/bin/env bash
# Guards against a daemon that a signal ends at once: one thread that does not
# block the signals is enough for their default action. SIGHUP must reread the
# settings, SIGTERM must drain, and the log must tell each of them.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
source "$(dirname "$0")/../fleet.sh"
run=$(mktemp -d)
output=$run/output
trap 'stop_all; rm -rf "$run"' EXIT

write_keys
start_platform
name_daemon d1
name_daemon d2
start_daemon d1 dc-a
daemon=${pid_of[d1]}
log=$(ls "$run"/d1.*.log)
wait_until 20 http_ok "http://${admin[d1]}/readyz" ||
    fail "d1 is not ready: $(cat "$run"/d1.*.log)"

has_line() {
    grep -q "^time=[^ ]* level=info $1" "$log"
}
kill -HUP "$daemon"
wait_until 5 has_line "E0103 settings_reloaded" ||
    fail "SIGHUP: $(cat "$log")"
kill -TERM "$daemon"
# Signals that come in the middle of a drain do not cut it short.
kill -HUP "$daemon"
kill -TERM "$daemon"
code=0
wait "$daemon" || code=$?
forget "$daemon"
[ "$code" = 0 ] || fail "exit $code after SIGTERM: $(cat "$log")"
has_line "E0101 process_draining" || fail "no drain: $(cat "$log")"
has_line "E0102 process_stopped" || fail "no end: $(cat "$log")"
