#!/usr/bin/env bash
# Guards against faults that break the invariants, with real processes: injects
# a fixed list of faults into a small fleet under load. Checks safety only: each
# response is complete and belongs to its request, work that was reported as not
# run was not run, non-repeatable work runs once, the floor holds and no version
# reverts. Does not check times, because the machine may be busy.
set -uo pipefail
bin=$1
script_dir=$(cd "$(dirname "$0")/.." && pwd)
run=$(mktemp -d)
source "$script_dir/lib.sh"
source "$script_dir/fleet.sh"
source "$script_dir/deployments.sh"
source "$script_dir/faults.sh"
trap 'stop_all; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM

select_deployment kestrel
daemon_count=4
service_names=(catalogue orders)
service_size=([catalogue]=4 [orders]=4)
service_floor=([catalogue]=8 [orders]=8)
streams="browse:30:GET:/catalogue/page?size=2000:true:3000 \
reprint:30:POST:/orders:false:3000"

# inject_for SECONDS KIND TARGET EXTRA: injects a fault and removes it after
# this time.
inject_for() {
    begin_fault "$2" "$3" "${4:-}" || echo "without effect: $*"
    sleep "$1"
    end_fault "$2" "$3" "${4:-}" || echo "not removed: $*"
}

start_deployment
observe &
observer=$!
started_pids+=("$observer")
start_load 32 1
sleep 1
inject_for 2 server_gray catalogue-1 '{"fail_rate":0.7}'
inject_for 2 daemon_kill daemon-2
begin_fault patches daemon-1 daemon-3
inject_for 3 daemon_freeze daemon-3
begin_fault platform_lose platform '{"lose_reply":0.5}'
inject_for 2 server_freeze orders-1
end_fault platform_lose platform
inject_for 2 platform_mode platform '{"mode":"down"}'
begin_fault server_gray orders-2 '{"cut_answer":0.5}'
inject_for 2 link_cut daemon-1 daemon-4
end_fault server_gray orders-2
inject_for 1 server_kill orders-3
begin_fault patches daemon-2 daemon-4
inject_for 1 daemon_stop daemon-4

inject_for 2 server_gray catalogue-2 \
    '{"second_answer":0.5,"second_answer_ms":1,"second_answer_kind":"bare"}'
begin_fault server_gray catalogue-3 \
    '{"second_answer":0.5,"second_answer_ms":30,"second_answer_kind":"same"}'
inject_for 2 daemon_signals daemon-3
inject_for 1 daemon_hup daemon-1
end_fault server_gray catalogue-3

wait "$load" || fail "wrong responses: $(cat "$run/load.out")"
unregister_process "$load"
kill "$observer"
wait "$observer" 2>/dev/null
unregister_process "$observer"
stop_all
cat "$run/load.out"
# Time bounds that no run exceeds: the soak and the demo check those of I5 and
# I7.
"$bin/gcove_check" --config_bound_ms=3600000 --drain_bound_ms=3600000 \
    --require=I2,I3,I4,I7 "$run"/*.jsonl || fail "an invariant is violated"
echo "ok"
