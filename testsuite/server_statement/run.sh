#!/usr/bin/env bash
# Guards against a home that forgets with its restart what its servers have said
# in their answers: the limit that one names, and that another leaves. The
# daemon that passed the answers on must remind it.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
source "$(dirname "$0")/../fleet.sh"
run=$(mktemp -d)
output=$run/output
trap 'stop_all; rm -rf "$run"' EXIT

write_keys
start_platform
for name in d1 d2; do
    assign_addresses "$name"
    daemon_settings[$name]=$'[headers]\nserver_limit = Server-Limit
server_leaving = Server-Leaving'
done
start_ready_daemons d1 d2
server_settings[s1]="limit = 3"
server_settings[s2]="leaving = true"
start_server s1 catalogue 1 "${admin[d1]}"
start_server s2 orders 2 "${admin[d1]}"

hash=$(printf '%s' "$secret" | sha256sum | cut -c1-32)
cat >"$run/config.json" <<JSON
{"priorities": {"urgent": {"rank": 0, "target_ms": 500}},
 "services": {"catalogue": {"floor_slots": 1, "priorities": {"urgent": {}}},
              "orders": {"floor_slots": 1, "priorities": {"urgent": {}}}},
 "routes": {"page": {"service": "catalogue", "method": "*", "path": "/page/*",
              "priority": "urgent", "repeatable": true, "timeout_ms": 3000},
            "order": {"service": "orders", "method": "*", "path": "/order/*",
              "priority": "urgent", "repeatable": true, "timeout_ms": 3000}},
 "accounts": {"demo": {"key_hash": "$hash"}}}
JSON
accept_patch d1 0 "$run/config.json" || fail "patch: $(cat "$run/patch.out")"
wait_until 10 all_have_version 1 || fail "the configuration is not active"
# True when d2 lists both servers as serving at d1.
d2_lists_servers() {
    admin_get d2 /servers | jq -e '[.servers[]
        | select(.home_name == "d1" and .state == "serving")]
        | length == 2' >/dev/null
}
wait_until 20 d2_lists_servers || fail "d2 does not list the servers"

# get PATH: prints the status of a request to d2.
get() {
    curl -s -m 5 -o /dev/null -w '%{http_code}' \
        -H "Authorization: Bearer demo:$secret" "http://${listen[d2]}$1"
}
# starts NAME: prints the start times in microseconds of the server's requests.
starts() {
    jq -r 'select(.event == "start") | .time_us' "$run/$1".*.jsonl
}

# The first answer of s2 says that it leaves.
[ "$(get /order/1)" = 200 ] || fail "the first request to s2: $(get /order/1)"
cat >"$run/load.ini" <<INI
[load]
targets = ${listen[d2]}
streams = browse:20:GET:/page/1?size=100:true:0
seconds = 8
account = demo
secret = $secret
history = $run/load.jsonl
INI
start "$run/load.out" "$bin/gcove_load" --settings "$run/load.ini"
load=$last_pid
sleep 3
kill -KILL "${pid_of[d1]}"
wait "${pid_of[d1]}" 2>/dev/null || true
unregister_process "${pid_of[d1]}"
run_daemon d1
wait "$load" || fail "the load ended with $?: $(cat "$run/load.out")"
unregister_process "$load"

# limit 3: at most 1.5 * 3 * 4 + 5 in any 4 s, after the first answers.
worst=$(starts s1 | sort -n | awk '
    NR == 1 { first = $1 }
    $1 > first + 1000000 { times[++n] = $1 }
    END { for (i = 1; i <= n; ++i) {
              while (times[i] - times[low + 1] >= 4000000) ++low
              if (i - low > worst) worst = i - low }
          print worst + 0 }')
[ "$worst" -le 23 ] || fail "s1 got $worst requests in 4 s, 23 allowed"
[ "$(starts s1 | wc -l)" -ge 12 ] || fail "s1 got $(starts s1 | wc -l) requests"
for i in 2 3 4; do
    status=$(get "/order/$i")
    [ "$status" = 503 ] || fail "request $i to the leaving server: $status"
done
[ "$(starts s2 | wc -l)" = 1 ] || fail "s2 got $(starts s2 | wc -l) requests"
echo "ok"
