#!/usr/bin/env bash
# Guards against a caller that gets bytes which a backend server wrote after its
# response, as the response to another request.
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
start_ready_daemons d1 d2
server_settings[s1]='stamp = X-Server-Stamp'
server_settings[s2]=${server_settings[s1]}
start_server s1 catalogue 1 "${admin[d1]}"
start_server s2 catalogue 2 "${admin[d2]}"
activate_catalogue d1 3000
servers_are_listed() {
    local name
    for name in d1 d2; do
        admin_get "$name" /servers | jq -e '[.servers[]
            | select(.state == "serving")] | length == 2' >/dev/null || return 1
    done
}
wait_until 20 servers_are_listed || fail "not all servers are listed"

# Delays: while the connection is idle, and while a later request uses it.
seed=0
for kind in same split bare undelimited noise; do
    for delay in 1 25; do
        seed=$((seed + 1))
        for name in s1 s2; do
            curl -sf -o /dev/null "http://${server_address[$name]}/faults" -d \
                "{\"second_answer\":0.3,\"second_answer_ms\":$delay,
                  \"second_answer_kind\":\"$kind\"}" || fail "no fault at $name"
        done
        cat >"$run/load.ini" <<INI
[load]
targets = ${listen[d1]} ${listen[d2]}
streams = browse:60:GET:/page?size=300:true:3000
seconds = 2
seed = $seed
account = demo
secret = $secret
INI
        "$bin/gcove_load" --settings "$run/load.ini" --output json \
            >"$output" 2>&1 || fail "$kind after $delay ms: $(cat "$output")"
        jq -e '.wrong == 0 and .streams.browse.ran > 0' "$output" >/dev/null ||
            fail "$kind after $delay ms: $(cat "$output")"
    done
done
