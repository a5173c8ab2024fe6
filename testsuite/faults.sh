# shellcheck shell=bash
# Faults of a running fleet. begin_fault KIND TARGET EXTRA injects a fault and
# end_fault KIND TARGET EXTRA removes it. Needs lib.sh and fleet.sh.

post_body() {
    curl -sf -m 3 -o /dev/null -d "$2" "http://$1"
}

platform_faults() {
    post_body "127.0.0.1:$platform_port/faults" "$1"
}

record_daemon_stop() {
    record daemon_stop "daemon=\"$1\"" "address=\"${listen[$1]}\"" \
        "graceful=$2" "time_us=$(now_us)"
}

record_daemon_start() {
    record daemon_start "daemon=\"$1\"" "time_us=$(now_us)"
}

# kill_process NAME: sends SIGKILL and waits, so that the port is free again.
kill_process() {
    kill -KILL "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null
    unregister_process "${pid_of[$1]}"
}

# wait_for_exit NAME: waits for the exit after SIGTERM and records an exit
# code other than 0 in exits.txt.
wait_for_exit() {
    exit_code=0
    wait "${pid_of[$1]}" || exit_code=$?
    unregister_process "${pid_of[$1]}"
    [ "$exit_code" = 0 ] || echo "$1 exited with code $exit_code" \
        >>"$run/exits.txt"
}

# The server stops starting work shortly before it is killed, so that its
# history contains all work that it ran. Callers receive no response in either
# case.
kill_server() {
    post_body "${server_address[$1]}/faults" '{"silent_stop":true}'
    sleep 0.2
    kill_process "$1"
}

# send_signals NAME SIGNAL...: 50 ms apart, so that one arrives while the daemon
# still handles those before it.
send_signals() {
    local signal pid=${pid_of[$1]}
    shift
    for signal in "$@"; do
        kill "-$signal" "$pid" 2>/dev/null || return 0
        sleep 0.05
    done
}

begin_fault() {
    local kind=$1 target=$2 extra=${3:-}
    case $kind in
    daemon_kill)
        record_daemon_stop "$target" false
        kill_process "$target"
        ;;
    daemon_freeze)
        record_daemon_stop "$target" false
        kill -STOP "${pid_of[$target]}"
        ;;
    daemon_stop)
        record_daemon_stop "$target" true
        kill -TERM "${pid_of[$target]}"
        ;;
    daemon_signals)
        record_daemon_stop "$target" true
        send_signals "$target" HUP TERM HUP TERM
        ;;
    daemon_hup) send_signals "$target" HUP HUP HUP ;;
    server_kill) kill_server "$target" ;;
    server_freeze) kill -STOP "${pid_of[$target]}" ;;
    server_stop) kill -TERM "${pid_of[$target]}" ;;
    server_gray) post_body "${server_address[$target]}/faults" "$extra" ;;
    server_drain) drain_anywhere "$target" ;;
    platform_mode | platform_lose | platform_restore) platform_faults "$extra" ;;
    platform_cut_requests) platform_faults "{\"cut_requests\":[\"$target\"]}" ;;
    platform_cut_replies) platform_faults "{\"cut_replies\":[\"$target\"]}" ;;
    link_cut) link_command "cut $target $extra" ;;
    patches) send_concurrent_patches "$target" "$extra" ;;
    esac
}

end_fault() {
    local kind=$1 target=$2 extra=${3:-}
    case $kind in
    daemon_kill)
        run_daemon "$target"
        record_daemon_start "$target"
        ;;
    daemon_freeze)
        kill -CONT "${pid_of[$target]}"
        record_daemon_start "$target"
        ;;
    daemon_stop | daemon_signals)
        wait_for_exit "$target"
        run_daemon "$target"
        record_daemon_start "$target"
        ;;
    daemon_hup) true ;;
    server_kill) run_server "$target" ;;
    server_freeze) kill -CONT "${pid_of[$target]}" ;;
    server_stop)
        wait_for_exit "$target"
        run_server "$target"
        ;;
    server_gray) post_body "${server_address[$target]}/faults" '{}' ;;
    server_drain) undrain_anywhere "$target" ;;
    platform_restore) true ;;
    platform_mode) platform_faults '{"mode":"up"}' ;;
    platform_lose) platform_faults '{"lose_reply":0}' ;;
    platform_cut_requests) platform_faults '{"cut_requests":[]}' ;;
    platform_cut_replies) platform_faults '{"cut_replies":[]}' ;;
    link_cut) link_command "heal $target $extra" ;;
    patches) true ;;
    esac
}

# link_command LINE: sends a command to the network stand-in.
link_command() {
    local response
    { exec 4<>"/dev/tcp/127.0.0.1/$link_port"; } 2>/dev/null || return 1
    echo "$1" >&4
    read -r -t 2 response <&4
    exec 4>&-
    [ "$response" = ok ]
}

# find_ready_daemon: sets the variable ready to the name of a ready daemon.
find_ready_daemon() {
    for ready in "${daemons[@]}"; do
        curl -sf -m 0.3 -o /dev/null "http://${admin[$ready]}/readyz" &&
            return 0
    done
    return 1
}

# request_from_home SERVER drain|undrain: sends the request to the home daemon
# of the server.
request_from_home() {
    local home
    find_ready_daemon || return 1
    home=$(admin_get "$ready" /servers | jq -r --arg name "$1" \
        '.servers[] | select(.server == $name) | .home_admin')
    [ -n "$home" ] && curl -sf -m 2 -X POST -o /dev/null \
        -H "Authorization: Bearer $admin_key" "http://$home/servers/$1/$2"
}

drain_anywhere() {
    request_from_home "$1" drain || return 1
    record drain "server=\"$1\"" "time_us=$(now_us)"
}

undrain_anywhere() {
    record undrain "server=\"$1\"" "time_us=$(now_us)"
    # Repeated, as an operator would, because the server may be moving between
    # homes.
    wait_until 5 request_from_home "$1" undrain
}

# operator_patch DAEMON BASE FLOOR: patches floor_slots as an operator whose
# name is that of the daemon.
operator_patch() {
    local status
    status=$(curl -s -m 10 -X PATCH -o /dev/null -w '%{http_code}' \
        -H "Authorization: Bearer $admin_key" -H "If-Match: \"$2\"" \
        -H "X-Author: $1" "http://${admin[$1]}/config" \
        -d "{\"services\":{\"$patched_service\":{\"floor_slots\":$3}}}")
    echo "$1 $2 $status" >>"$run/patches.txt"
    [ "$status" = 200 ] &&
        record accepted "version=$(($2 + 1))" "time_us=$(now_us)"
}

# send_concurrent_patches DAEMON DAEMON: two operators patch the same base
# version, in the background, because a patch waits for the platform.
send_concurrent_patches() {
    local base
    find_ready_daemon || return 1
    base=$(version_of "$ready")
    [ -n "$base" ] || return 1
    operator_patch "$1" "$base" 8 &
    operator_patch "$2" "$base" 9 &
}
