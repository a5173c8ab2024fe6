#!/usr/bin/env bash
# Guards the invariants against single faults with real processes: a small
# fleet under load meets a fixed list of faults. Only safety decides: each
# response is own and complete, work that was told not run was not run,
# non-repeatable work runs once, the floor holds and no version reverts. How
# fast something happens does not, because the machine may be busy.
set -uo pipefail
bin=$1
here=$(cd "$(dirname "$0")/.." && pwd)
run=$(mktemp -d)
source "$here/lib.sh"
source "$here/fleet.sh"
source "$here/deployments.sh"
source "$here/faults.sh"
trap 'stop_all; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM

choose_deployment kestrel
daemon_count=4
service_names=(catalogue orders)
service_size=([catalogue]=4 [orders]=4)
service_floor=([catalogue]=8 [orders]=8)
streams="browse:30:GET:/catalogue/page?size=2000:true:3000 \
reprint:30:POST:/orders:false:3000"

# for_a_while SECONDS KIND TARGET EXTRA
for_a_while() {
    begin_fault "$2" "$3" "${4:-}" || echo "without effect: $*"
    sleep "$1"
    end_fault "$2" "$3" "${4:-}" || echo "not taken back: $*"
}

start_deployment
observe &
observer=$!
started_pids+=("$observer")
start_load 24 1
sleep 1
for_a_while 2 server_gray catalogue-1 '{"fail_rate":0.7}'
for_a_while 2 daemon_kill daemon-2
begin_fault patches daemon-1 daemon-3
for_a_while 3 daemon_freeze daemon-3
begin_fault platform_lose platform '{"lose_reply":0.5}'
for_a_while 2 server_freeze orders-1
end_fault platform_lose platform
for_a_while 2 platform_mode platform '{"mode":"down"}'
begin_fault server_gray orders-2 '{"cut_answer":0.5}'
for_a_while 2 link_cut daemon-1 daemon-4
end_fault server_gray orders-2
for_a_while 1 server_kill orders-3
begin_fault patches daemon-2 daemon-4
for_a_while 1 daemon_stop daemon-4

wait "$load" || fail "wrong responses: $(cat "$run/load.out")"
forget "$load"
kill "$observer"
wait "$observer" 2>/dev/null
forget "$observer"
stop_all
cat "$run/load.out"
# The bounds of time for I5 and I7 are those of the soak and the demo.
"$bin/gcove_check" --config_bound_ms=3600000 --drain_bound_ms=3600000 \
    --require=I2,I3,I4,I7 "$run"/*.jsonl || fail "an invariant is broken"
echo "ok"
