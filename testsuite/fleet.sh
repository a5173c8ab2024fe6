# shellcheck shell=bash
# Starts a fleet on loopback and observes it. Needs lib.sh and the variables
# bin (folder of the programs) and run (folder for settings and histories).

declare -A listen admin peer peer_bind pid_of server_address start_counts
# Further lines of the settings of a daemon or server.
declare -A daemon_settings server_settings
daemons=()
servers=()
admin_key=demo-admin-key
secret=demo-secret
# Announced by each backend server.
server_slots=4
server_connections=400
admin_key_file() { echo "$run/admin.key"; }

# Microseconds of the monotonic clock, in steps of 10 ms.
now_us() {
    local uptime
    read -r uptime _ </proc/uptime
    echo "${uptime/./}0000"
}

# record EVENT NAME=JSON_VALUE...: appends to the observer's history.
record() {
    local line="{\"event\":\"$1\"" field
    shift
    for field in "$@"; do
        line+=",\"${field%%=*}\":${field#*=}"
    done
    echo "$line}" >>"$run/observer.jsonl"
}

write_keys() {
    echo "$admin_key" >"$run/admin.key"
    echo demo-announce-key >"$run/announce.key"
    echo demo-peer-key >"$run/peer.key"
}

start_platform() {
    free_port platform_port
    printf '[platform]\nlisten = 127.0.0.1:%s\n' "$platform_port" \
        >"$run/platform.ini"
    start "$run/platform.log" "$bin/gcove_platform" \
        --settings "$run/platform.ini"
    pid_of[platform]=$last_pid
    wait_until 10 http_ok "http://127.0.0.1:$platform_port/stats" ||
        fail "the platform does not answer, see $run/platform.log"
}

# assign_addresses NAME: chooses the addresses of a daemon before it starts, so
# that the settings of other daemons can contain them.
assign_addresses() {
    local name=$1 port
    daemons+=("$name")
    free_port port && listen[$name]=127.0.0.1:$port
    free_port port && admin[$name]=127.0.0.1:$port
    free_port port && peer[$name]=127.0.0.1:$port
}

# start_daemon NAME DATA_CENTRE
start_daemon() {
    local name=$1 data_centre=$2
    cat >"$run/$name.ini" <<INI
[daemon]
name = $name
data_centre = $data_centre
listen = ${listen[$name]}
admin = ${admin[$name]}
peer = ${peer[$name]}
seeds = ${peer[${daemons[0]}]} ${peer[${daemons[1]}]}
peer_key_file = $run/peer.key
admin_key_file = $run/admin.key
announce_key_file = $run/announce.key
platform = 127.0.0.1:$platform_port
INI
    if [ -n "${peer_bind[$name]:-}" ]; then
        echo "peer_bind = ${peer_bind[$name]}" >>"$run/$name.ini"
    fi
    # Last, because the lines may begin another section.
    if [ -n "${daemon_settings[$name]:-}" ]; then
        echo "${daemon_settings[$name]}" >>"$run/$name.ini"
    fi
    run_daemon "$name"
}

# start_ready_daemons NAME...: starts daemons, whose addresses are assigned, in
# one data centre and waits until they are ready.
start_ready_daemons() {
    local name
    for name in "$@"; do
        start_daemon "$name" dc-a
    done
    for name in "$@"; do
        wait_until 20 http_ok "http://${admin[$name]}/readyz" ||
            fail "$name is not ready: $(cat "$run/$name".*.log)"
    done
}

# run_daemon NAME: starts or restarts the daemon. Each start has its own log.
run_daemon() {
    local count=$((${start_counts[$1]:-0} + 1))
    start_counts[$1]=$count
    start "$run/$1.$count.log" "$bin/gcove_daemon" --settings "$run/$1.ini"
    pid_of[$1]=$last_pid
}

# start_server NAME SERVICE SEED ADMIN_ADDRESS...: the server announces itself
# to the first reachable address.
start_server() {
    local name=$1 service=$2 seed=$3 port
    shift 3
    free_port port
    server_address[$name]=127.0.0.1:$port
    servers+=("$name")
    cat >"$run/$name.ini" <<INI
[server]
name = $name
service = $service
listen = 127.0.0.1:$port
announce_to = $*
announce_key_file = $run/announce.key
slots = $server_slots
connections = $server_connections
mean_ms = 15
seed = $seed
${server_settings[$name]:-}
INI
    run_server "$name"
}

# run_server NAME: starts or restarts the server. Each start has its own
# history, because a killed server may leave an incomplete last line.
run_server() {
    local count=$((${start_counts[$1]:-0} + 1))
    start_counts[$1]=$count
    start "$run/$1.$count.log" "$bin/gcove_server" --settings "$run/$1.ini" \
        --set "server.history=$run/$1.$count.jsonl"
    pid_of[$1]=$last_pid
}

# admin_get DAEMON PATH
admin_get() {
    curl -sf -m 2 -H "Authorization: Bearer $admin_key" \
        "http://${admin[$1]}$2"
}

# version_of DAEMON: prints the active configuration version, or nothing.
version_of() {
    curl -sf -m 2 -o /dev/null -D - -H "Authorization: Bearer $admin_key" \
        "http://${admin[$1]}/config" |
        sed -n 's/^[Ee][Tt]ag: *"\([0-9]*\)".*/\1/p'
}

# patch DAEMON BASE FILE: true when the patch was accepted.
patch() {
    if [ -x "$bin/gcove_ctl" ]; then
        "$bin/gcove_ctl" "--admin=${admin[$1]}" \
            "--admin_key_file=$run/admin.key" config patch "$3" "--base=$2" \
            >"$run/patch.out" 2>&1
        return
    fi
    curl -sf -m 10 -X PATCH -H "Authorization: Bearer $admin_key" \
        -H "If-Match: \"$2\"" -H 'X-Author: demo' --data-binary "@$3" \
        -o "$run/patch.out" "http://${admin[$1]}/config"
}

# accept_patch DAEMON BASE FILE: patches and records the accepted version.
accept_patch() {
    local at
    at=$(now_us)
    patch "$1" "$2" "$3" || return 1
    record accepted "version=$(($2 + 1))" "time_us=$at"
}

# all_have_version VERSION: true when this or a later version is active at
# every daemon.
all_have_version() {
    local name version
    for name in "${daemons[@]}"; do
        version=$(version_of "$name")
        [ "${version:-0}" -ge "$1" ] || return 1
    done
}

# activate_catalogue DAEMON TIMEOUT_MS: submits the first configuration, with
# one repeatable route to the service catalogue and the account demo, and waits
# until it is active everywhere.
activate_catalogue() {
    local hash
    hash=$(printf '%s' "$secret" | sha256sum | cut -c1-32)
    cat >"$run/config.json" <<JSON
{"priorities": {"urgent": {"rank": 0, "target_ms": 500}},
 "services": {"catalogue": {"floor_slots": 4, "priorities": {"urgent": {}}}},
 "routes": {"all": {"service": "catalogue", "method": "*", "path": "/*",
   "priority": "urgent", "repeatable": true, "timeout_ms": $2}},
 "accounts": {"demo": {"key_hash": "$hash"}}}
JSON
    accept_patch "$1" 0 "$run/config.json" ||
        fail "patch: $(cat "$run/patch.out")"
    wait_until 10 all_have_version 1 || fail "the configuration is not active"
}

# directory_entry NAME: prints the entry of the server in the directory of the
# first daemon.
directory_entry() {
    admin_get "${daemons[0]}" /servers |
        jq -c --arg name "$1" '.servers[] | select(.server == $name)'
}

# is_ejected NAME: true when the first daemon lists the server as ejected.
is_ejected() {
    [ "$(directory_entry "$1" | jq -r .health)" = ejected ]
}

# drain_server NAME: drains the server through its home daemon.
drain_server() {
    local home
    home=$(directory_entry "$1" | jq -r .home_admin)
    if [ -x "$bin/gcove_ctl" ]; then
        "$bin/gcove_ctl" "--admin=$home" "--admin_key_file=$run/admin.key" \
            drain "$1" >"$run/drain.out" 2>&1
        return
    fi
    curl -sf -m 5 -X POST -H "Authorization: Bearer $admin_key" \
        -o "$run/drain.out" "http://$home/servers/$1/drain"
}

# stop_daemon NAME: stops the daemon gracefully and sets stop_code to its exit
# code.
stop_daemon() {
    record daemon_stop "daemon=\"$1\"" "address=\"${listen[$1]}\"" \
        graceful=true "time_us=$(now_us)"
    kill -TERM "${pid_of[$1]}"
    stop_code=0
    wait "${pid_of[$1]}" || stop_code=$?
    local remaining=() name
    for name in "${daemons[@]}"; do
        [ "$name" = "$1" ] || remaining+=("$name")
    done
    daemons=("${remaining[@]}")
}

# stop_in_order: stops the servers first, so that they can withdraw from their
# homes, then the daemons, then the platform. True when all servers and daemons
# exit with code 0.
stop_in_order() {
    local name failed=0
    for name in "${servers[@]}"; do
        kill -TERM "${pid_of[$name]}" 2>/dev/null
    done
    for name in "${servers[@]}"; do
        wait "${pid_of[$name]}" || failed=1
    done
    for name in "${daemons[@]}"; do
        kill -TERM "${pid_of[$name]}" 2>/dev/null
    done
    for name in "${daemons[@]}"; do
        wait "${pid_of[$name]}" || failed=1
    done
    stop_all
    return "$failed"
}

# observe_daemon NAME: records the active version and, for each service, the
# healthy slots and the ejections that the daemon honours.
observe_daemon() {
    local name=$1 version services
    # The version that a daemon reports before it is ready is not active yet.
    http_ok "http://${admin[$name]}/readyz" || return 0
    version=$(version_of "$name")
    [ -n "$version" ] || return 0
    record version "daemon=\"$name\"" "version=$version" "time_us=$(now_us)"
    services=$(admin_get "$name" /services) || return 0
    jq -c --arg daemon "$name" --argjson now "$(now_us)" \
        '.services[] | {event: "ejections", daemon: $daemon, service: .service,
          healthy_slots: .healthy_slots, floor_slots: .floor_slots,
          ejected: .ejected, time_us: $now}' <<<"$services" \
        >>"$run/observer.jsonl"
}

observe_ejected_servers() {
    admin_get "$1" /servers 2>/dev/null |
        jq -r '.servers[] | select(.health == "ejected") | .server' \
            >>"$run/ejected.txt" || true
}

# observe: loop of a background process, which the caller ends by a signal.
observe() {
    local name
    while true; do
        for name in "${daemons[@]}"; do
            observe_daemon "$name" || true
        done
        observe_ejected_servers "${daemons[0]}"
        sleep 0.2
    done
}
