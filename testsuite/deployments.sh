# shellcheck shell=bash
# The deployments of section 1.4 of docs/design.md as settings for fleet.sh.
# select_deployment NAME sets the variables that the other functions use.

select_deployment() {
    case $1 in
    kestrel)
        daemon_count=9
        data_centre_count=3
        server_slots=4
        server_connections=400
        service_names=(catalogue orders billing proofs)
        declare -gA service_size=([catalogue]=6 [orders]=9 [billing]=6
            [proofs]=6)
        declare -gA service_floor=([catalogue]=12 [orders]=20 [billing]=12
            [proofs]=12)
        streams="browse:60:GET:/catalogue/page?size=2000:true:3000 \
proofs:30:GET:/proofs/sheet?size=20000:true:3000 \
status:30:GET:/orders/status:true:3000 \
reprint:30:POST:/orders:false:3000 batch:15:POST:/billing:false:3000"
        ;;
    delta)
        daemon_count=8
        data_centre_count=4
        server_slots=3
        server_connections=330
        service_names=(quotes contracts billing archive)
        declare -gA service_size=([quotes]=8 [contracts]=8 [billing]=8
            [archive]=8)
        declare -gA service_floor=([quotes]=12 [contracts]=12 [billing]=12
            [archive]=12)
        streams="quote:60:GET:/quotes/price:true:3000 \
bulletin:30:GET:/archive/bulletin?size=20000:true:3000 \
terms:20:GET:/contracts/terms:true:3000 \
lock:25:POST:/contracts:false:3000 invoice:20:POST:/billing:false:3000"
        ;;
    *)
        fail "--deployment: allowed: kestrel, delta"
        ;;
    esac
    patched_service=${service_names[0]}
}

# Each service has a repeatable and a non-repeatable route.
write_configuration() {
    local hash services="" routes="" name
    hash=$(printf '%s' "$secret" | sha256sum | cut -c1-32)
    for name in "${service_names[@]}"; do
        services+="\"$name\": {\"floor_slots\": ${service_floor[$name]},
          \"reserved_slots\": 1, \"warmup_ms\": 0, \"priorities\": {
          \"urgent\": {\"min_share\": 0.5}, \"normal\": {\"min_share\": 0.2},
          \"background\": {\"min_share\": 0.1}}},"
        routes+="\"$name-read\": {\"service\": \"$name\", \"method\": \"GET\",
          \"path\": \"/$name/*\", \"priority\": \"$(read_priority "$name")\",
          \"repeatable\": true, \"timeout_ms\": 3000},
          \"$name-write\": {\"service\": \"$name\", \"method\": \"POST\",
          \"path\": \"/$name\", \"priority\": \"$(write_priority "$name")\",
          \"repeatable\": false, \"timeout_ms\": 3000},"
    done
    cat >"$run/config.json" <<JSON
{"priorities": {
   "urgent": {"rank": 0, "target_ms": 500, "worth": 10},
   "normal": {"rank": 1, "target_ms": 1000, "worth": 3},
   "background": {"rank": 2, "target_ms": 3000, "worth": 1}},
 "services": {${services%,}},
 "routes": {${routes%,}},
 "accounts": {"demo": {"key_hash": "$hash", "rate": 0, "burst": 0}}}
JSON
}

read_priority() {
    case $1 in
    quotes) echo urgent ;;
    catalogue | orders | contracts) echo normal ;;
    *) echo background ;;
    esac
}

write_priority() {
    case $1 in
    orders) echo urgent ;;
    *) echo normal ;;
    esac
}

# start_deployment: starts the platform, the network, the daemons and the
# servers, and applies the configuration.
start_deployment() {
    local i name all=()
    write_keys
    write_configuration
    start_platform
    for ((i = 1; i <= daemon_count; ++i)); do
        assign_addresses "daemon-$i"
        daemon_settings[daemon-$i]=$'[headers]\nserver_stamp = X-Server-Stamp'
        all+=("${admin[daemon-$i]}")
    done
    start_link
    for ((i = 1; i <= daemon_count; ++i)); do
        start_daemon "daemon-$i" "dc-$((i % data_centre_count))"
    done
    for name in "${daemons[@]}"; do
        wait_until 30 http_ok "http://${admin[$name]}/readyz" ||
            fail "$name is not ready, see $run/$name.1.log"
    done
    start_servers "${all[@]}"
    accept_patch daemon-1 0 "$run/config.json" ||
        fail "the first patch was refused: $(cat "$run/patch.out")"
    wait_until 15 all_have_version 1 ||
        fail "version 1 is not active at all daemons"
    wait_until 30 directory_is_complete ||
        fail "not all servers are serving at every daemon"
}

# scale_deployment FACTOR: multiplies the numbers of daemons and servers.
scale_deployment() {
    local name
    daemon_count=$((daemon_count * $1))
    for name in "${service_names[@]}"; do
        service_size[$name]=$((service_size[$name] * $1))
    done
}

# start_servers ADMIN_ADDRESS...: distributes the servers over the daemons in
# turn. Each server announces itself to the other daemons when its first one
# fails.
start_servers() {
    local count=0 name i home
    for name in "${service_names[@]}"; do
        for ((i = 1; i <= service_size[$name]; ++i)); do
            home=$((count % daemon_count + 1))
            server_settings[$name-$i]='stamp = X-Server-Stamp'
            start_server "$name-$i" "$name" "$count" \
                "${@:home}" "${@:1:home-1}"
            count=$((count + 1))
        done
    done
}

directory_is_complete() {
    local name listed
    for name in "${daemons[@]}"; do
        listed=$(admin_get "$name" /servers |
            jq '[.servers[] | select(.state == "serving")] | length')
        [ "${listed:-0}" = "${#servers[@]}" ] || return 1
    done
}

# start_load SECONDS SEED
start_load() {
    cat >"$run/load.ini" <<INI
[load]
targets = ${listen[*]}
seconds = $1
seed = $2
retries = 3
account = demo
secret = $secret
history = $run/load.jsonl
INI
    start "$run/load.out" "$bin/gcove_load" --settings "$run/load.ini" \
        --set "load.streams=$streams"
    load=$last_pid
}

# start_link: starts the network stand-in, unless with_link is 0 or the program
# is missing.
start_link() {
    local name links=""
    [ "${with_link:-1}" = 1 ] && [ -x "$bin/gcove_link" ] || return 0
    for name in "${daemons[@]}"; do
        # One IP address for each daemon, by which the relay identifies senders.
        peer_bind[$name]=127.0.1.${name#daemon-}:${peer[$name]#*:}
        links+="$name=${peer[$name]}>${peer_bind[$name]} "
    done
    free_port link_port
    # Not in a file: the INI reader accepts at most 200 characters per line.
    start "$run/link.log" "$bin/gcove_link" \
        --set "link.control=127.0.0.1:$link_port,link.links=${links% }"
    pid_of[link]=$last_pid
    wait_until 10 link_command heal_all ||
        fail "the link does not respond: $(cat "$run/link.log")"
}
