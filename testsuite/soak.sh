#!/usr/bin/env bash
# Runs the fleet of a deployment under load and under faults that are drawn
# from a seed, then checks the histories. Exits 1 on a violation.
# Usage: soak.sh BIN_DIR [--seeds=N] [--first=S]
#                [--deployment=kestrel|delta] [--seconds=T]
#                [--schedule=FILE] [--scale=F]
# --scale multiplies the numbers of daemons and servers.
# A schedule file replaces the drawn faults, to reproduce a part of a run.
set -uo pipefail
bin=$(cd "$1" && pwd)
shift
script_dir=$(cd "$(dirname "$0")" && pwd)
source "$script_dir/lib.sh"
source "$script_dir/fleet.sh"
source "$script_dir/deployments.sh"
source "$script_dir/faults.sh"
trap stop_all EXIT
trap 'exit 130' INT TERM

seeds=2
first=1
deployment=kestrel
seconds=40
schedule=
scale=1
for argument in "$@"; do
    case $argument in
    --seeds=*) seeds=${argument#*=} ;;
    --first=*) first=${argument#*=} ;;
    --deployment=*) deployment=${argument#*=} ;;
    --seconds=*) seconds=${argument#*=} ;;
    --scale=*) scale=${argument#*=} ;;
    --schedule=*) schedule=$(realpath "${argument#*=}") ;;
    *) fail "unknown argument: $argument" ;;
    esac
done

gray_faults=('{"fail_rate":0.6}' '{"slow_factor":8}' '{"cut_answer":0.5}'
    '{"late_answer_ms":4000}' '{"fail_rate":1,"flap_ms":1500}'
    '{"silent_stop":true}' '{"load_lie":0.1,"slow_factor":4}')
# Second answers come while the connection is idle or while a later request
# uses it.
for kind in same split bare undelimited noise; do
    for delay in 1 30; do
        gray_faults+=("{\"second_answer\":0.4,\"second_answer_ms\":$delay,\
\"second_answer_kind\":\"$kind\"}")
    done
done
fault_kinds=(daemon_kill daemon_freeze daemon_stop daemon_signals
    daemon_signals daemon_hup server_kill server_freeze
    server_gray server_gray server_gray server_gray server_drain server_stop platform_mode
    platform_mode platform_lose platform_cut_requests platform_cut_replies
    link_cut link_cut patches patches patches)

# draw N: sets the variable drawn to a random number below N.
draw() { drawn=$((RANDOM % $1)); }

draw_daemon() {
    draw "${#daemons[@]}"
    target=${daemons[drawn]}
}

# draw_target KIND: sets target and extra.
draw_target() {
    extra=-
    case $1 in
    daemon_* | platform_cut_*) draw_daemon ;;
    link_cut | patches)
        draw_daemon
        extra=$target
        while [ "$extra" = "$target" ]; do draw_daemon; done
        ;;
    server_*)
        draw "${#servers[@]}"
        target=${servers[drawn]}
        draw "${#gray_faults[@]}"
        [ "$1" != server_gray ] || extra=${gray_faults[drawn]}
        ;;
    platform_lose)
        target=platform
        extra='{"lose_reply":0.3}'
        ;;
    platform_mode)
        target=platform
        draw 2
        extra='{"mode":"down"}'
        [ "$drawn" = 0 ] || extra='{"mode":"slow","slow_ms":1500}'
        ;;
    esac
}

# resource_of KIND TARGET EXTRA: prints the resource that a fault occupies.
# Faults on one resource do not overlap, so that the end of one does not end
# another.
resource_of() {
    case $1 in
    daemon_* | server_*) echo "$2" ;;
    link_cut) echo "link-$2-$3" ;;
    patches) echo "patches" ;;
    *) echo "$1" ;;
    esac
}

# draw_fault AT_MS: prints one fault that begins then, unless its resource is
# occupied.
draw_fault() {
    local at=$1 kind length resource
    draw "${#fault_kinds[@]}"
    kind=${fault_kinds[drawn]}
    [ "$kind" != link_cut ] || [ -n "${pid_of[link]:-}" ] || kind=patches
    draw_target "$kind"
    draw 14000
    length=$((1000 + drawn))
    resource=$(resource_of "$kind" "$target" "$extra")
    [ "${busy_until[$resource]:-0}" -le "$at" ] || return 0
    [ $((at + length)) -le $((seconds * 1000)) ] ||
        length=$((seconds * 1000 - at))
    busy_until[$resource]=$((at + length + 1))
    echo "$at begin $kind $target $extra"
    echo "$((at + length)) end $kind $target $extra"
}

# draw_schedule SEED: writes schedule.txt with lines
# `MS begin|end KIND TARGET EXTRA` in order of time.
draw_schedule() {
    local -A busy_until=()
    local at=1000
    if [ -n "$schedule" ]; then
        cp "$schedule" "$run/schedule.txt"
        return
    fi
    RANDOM=$1
    while [ "$at" -lt $((seconds * 1000 - 2000)) ]; do
        draw_fault "$at"
        draw 3
        [ "$drawn" != 0 ] || draw_fault "$at"
        draw 2000
        at=$((at + 1000 + drawn))
    done >"$run/drawn.txt"
    sort -n -s -k1,1 "$run/drawn.txt" >"$run/schedule.txt"
}

run_schedule() {
    local begin at action kind target extra wait_ms
    begin=$(now_us)
    while read -r at action kind target extra <&3; do
        wait_ms=$((at - ($(now_us) - begin) / 1000))
        [ "$wait_ms" -le 0 ] ||
            sleep "$((wait_ms / 1000)).$(printf %03d $((wait_ms % 1000)))"
        "${action}_fault" "$kind" "$target" "$extra" ||
            echo "$at $action $kind $target $extra" >>"$run/without_effect.txt"
    done 3<"$run/schedule.txt"
}

highest_accepted() {
    jq -s 'map(select(.event == "accepted").version) | max' \
        "$run/observer.jsonl"
}

finish_run() {
    wait "$load" || echo "the load tool received wrong responses (code $?)"
    unregister_process "$load"
    wait_until 30 all_have_version "$(highest_accepted)" ||
        report_violation \
            "version $(highest_accepted) is not active at all daemons"
    wait_until 30 directory_is_complete ||
        report_violation "not all servers are serving after the faults"
    sleep 1
    kill "$observer"
    wait "$observer" 2>/dev/null
    unregister_process "$observer"
    stop_all
}

report_violation() {
    echo "VIOLATION: $*"
    has_violation=1
}

print_counts() {
    local count
    cat "$run/load.out"
    count=$(wc -l <"$run/schedule.txt")
    echo "faults $((count / 2)), without effect" \
        "$(cat "$run/without_effect.txt" 2>/dev/null | grep -c begin)," \
        "patches accepted $(grep -c ' 200$' "$run/patches.txt" 2>/dev/null)" \
        "refused $(grep -vc ' 200$' "$run/patches.txt" 2>/dev/null)"
    [ ! -e "$run/exits.txt" ] || report_violation "$(cat "$run/exits.txt")"
}

# run_seed SEED: returns 1 on a violation.
run_seed() {
    has_violation=0
    run=$PWD/soak-run/$deployment-$1
    rm -rf "$run"
    mkdir -p "$run"
    daemons=() servers=() start_counts=() peer_bind=() pid_of=()
    select_deployment "$deployment"
    scale_deployment "$scale"
    start_deployment
    draw_schedule "$1"
    echo "seed $1, deployment $deployment, $seconds s; files are in $run"
    cat "$run/schedule.txt"
    observe &
    observer=$!
    started_pids+=("$observer")
    start_load "$((seconds + 5))" "$1"
    run_schedule
    finish_run
    print_counts
    "$bin/gcove_check" --shown=5 --require=I2,I3,I4,I7 "$run"/*.jsonl ||
        has_violation=1
    return "$has_violation"
}

failed_seeds=()
for ((seed = first; seed < first + seeds; ++seed)); do
    run_seed "$seed" || failed_seeds+=("$seed")
done
echo "seeds $first to $((first + seeds - 1)):" \
    "${#failed_seeds[@]} with violations: ${failed_seeds[*]}"
[ "${#failed_seeds[@]}" = 0 ]
