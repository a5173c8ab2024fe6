#!/usr/bin/env bash
# Guards against a daemon that crashes or hangs when it is stopped while no
# caller is connected to it: its event loops must outlive the last messages of
# a shutdown. The allocator overwrites freed memory, so that a use of it ends
# the process.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
source "$(dirname "$0")/../fleet.sh"
run=$(mktemp -d)
trap 'stop_all; rm -rf "$run"' EXIT
export MALLOC_ARENA_MAX=1 MALLOC_PERTURB_=165

stops=5
# More than the shutdown of a daemon without requests takes.
stop_limit_s=20

write_keys
start_platform
assign_addresses d1
assign_addresses d2
start_ready_daemons d1 d2
start_server s1 catalogue 1 "${admin[d2]}"
activate_catalogue d1 10000

has_ended() { ! kill -0 "${pid_of[d2]}"; }
for ((i = 1; i <= stops; ++i)); do
    log=$run/d2.$i.log
    kill -TERM "${pid_of[d2]}"
    wait_until "$stop_limit_s" has_ended ||
        fail "stop $i: d2 still runs: $(tail -n 3 "$log")"
    code=0
    wait "${pid_of[d2]}" || code=$?
    unregister_process "${pid_of[d2]}"
    [ "$code" = 0 ] || fail "stop $i: exit $code: $(tail -n 3 "$log")"
    grep -q "E0102 process_stopped" "$log" ||
        fail "stop $i: no stop event: $(tail -n 3 "$log")"
    run_daemon d2
    wait_until 20 http_ok "http://${admin[d2]}/readyz" ||
        fail "d2 is not ready after stop $i"
done
echo "ok"
