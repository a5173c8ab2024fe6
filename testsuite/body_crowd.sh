# shellcheck shell=bash
# Sends bodies that nobody controls to a daemon with little memory and checks
# its bounds. Needs bin, the folder of the programs, as the first argument of
# the test case. The bounds follow from the settings; no times and no shares of
# served requests are checked.
bin=$1
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
run=$(mktemp -d)
trap 'stop_all; rm -rf "$run"' EXIT

memory_mb=64
descriptors=400
max_body=$((4 << 20))
clients=24
largest_descriptors=0

start_crowd_fleet() {
    local name
    write_keys
    start_platform
    for name in d1 d2; do
        assign_addresses "$name"
        daemon_settings[$name]="memory_mb = $memory_mb
descriptors = $descriptors
max_body_bytes = $max_body"
    done
    start_ready_daemons d1 d2
    # At d2, so that the bodies also cross the hop between daemons.
    start_server s1 catalogue 1 "${admin[d2]}"
    activate_catalogue d1 10000
    wait_until 30 is_served || fail "no response before the crowd"
}

is_served() {
    curl -sf -m 5 -H "Authorization: Bearer demo:$secret" \
        "http://${listen[d1]}/ordinary" | grep -q checksum
}

check_descriptors() {
    local name open
    for name in d1 d2; do
        open=("/proc/${pid_of[$name]}/fd/"*)
        [ "${#open[@]}" -le "$largest_descriptors" ] ||
            largest_descriptors=${#open[@]}
    done
}

# send_crowd OPTION...: sends bodies to d1 and checks that d1 and d2 keep their
# bounds and that an ordinary request is served afterwards.
send_crowd() {
    local name peak sender failures=()
    "$bin/gcove_body_client" --target="${listen[d1]}" --secret="demo:$secret" \
        --clients="$clients" "$@" >"$run/sender.log" &
    sender=$!
    while kill -0 "$sender" 2>/dev/null; do
        check_descriptors
        sleep 0.1
    done
    wait "$sender" || fail "the sender failed: $(cat "$run/sender.log")"
    cat "$run/sender.log"
    for name in d1 d2; do
        if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
            failures+=("$name ended: $(tail -n 3 "$run/$name.1.log")")
            continue
        fi
        peak=$(awk '/^VmHWM/ {print $2}' "/proc/${pid_of[$name]}/status")
        echo "$name: peak of resident memory $peak KiB of $((memory_mb * 1024))"
        [ "$peak" -lt $((memory_mb * 1024)) ] ||
            failures+=("$name: $peak KiB are resident")
    done
    echo "descriptors: up to $largest_descriptors of $descriptors"
    [ "$largest_descriptors" -lt "$descriptors" ] ||
        failures+=("$largest_descriptors descriptors are open")
    wait_until 30 is_served || failures+=("an ordinary request is not served")
    [ "${#failures[@]}" = 0 ] || fail "$(printf '%s; ' "${failures[@]}")"
    echo "ok"
}
