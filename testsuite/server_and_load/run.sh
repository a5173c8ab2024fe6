#!/usr/bin/env bash
# Guards against tools that miss faults: the load tool must pass against a
# backend server without faults, and must report failures and truncated
# responses when the server has these faults.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
work_dir=$(mktemp -d)
output=$work_dir/output
trap 'stop_all; rm -rf "$work_dir"' EXIT

free_port port
cat >"$work_dir/server.ini" <<INI
[server]
name = cat-1
service = catalogue
listen = 127.0.0.1:$port
mean_ms = 2
slots = 8
queue = 1000
drain_ms = 200
history = $work_dir/server.jsonl
INI
start "$work_dir/server.log" "$bin/gcove_server" \
    --settings "$work_dir/server.ini"
server=$last_pid
wait_until 10 http_ok "http://127.0.0.1:$port/healthz" || fail "no server"

cat >"$work_dir/load.ini" <<INI
[load]
targets = 127.0.0.1:$port
streams = browse:100:GET:/a?size=100000:true:0 order:50:POST:/b:false:0
seconds = 1
history = $work_dir/load.jsonl
INI
load=("$bin/gcove_load" --settings "$work_dir/load.ini" --output json)
expect_exit 0 "${load[@]}"
jq -e '.wrong == 0 and ([.streams[] | .sent > 0 and .ran == .sent] | all)' \
    "$output" >/dev/null || fail "clean run: $(cat "$output")"

set_faults() {
    http_ok "http://127.0.0.1:$port/healthz" || fail "the probe fails"
    curl -sf -d "$1" "http://127.0.0.1:$port/faults" >/dev/null
}
set_faults '{"fail_rate":1}'
expect_exit 0 "${load[@]}" --set load.seed=2
jq -e '.wrong == 0 and ([.streams[] | .failed == .sent] | all)' \
    "$output" >/dev/null || fail "failures: $(cat "$output")"
set_faults '{}'
cp "$work_dir/load.jsonl" "$work_dir/before_cut.jsonl"
set_faults '{"cut_answer":1}'
expect_exit 1 "${load[@]}" --set load.seed=3
jq -e '.wrong > 0 and ([.streams[] | .ran == 0] | all)' \
    "$output" >/dev/null || fail "truncated responses: $(cat "$output")"
set_faults '{}'

# Work in flight at SIGTERM must be finished, later work refused as not run.
set_faults '{"late_answer_ms":3000}'
curl -s -H 'X-Request-Id: last' "http://127.0.0.1:$port/last" >"$work_dir/last" &
last=$!
wait_until 5 grep -q '"start","request":"last"' "$work_dir/server.jsonl" ||
    fail "the last request has not started"
kill -TERM "$server"
wait_until 5 grep -q '"draining"' "$work_dir/server.jsonl" || fail "no drain"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$port/x")" = 503 ] ||
    fail "a draining server accepts work"
wait "$last" || fail "work in flight was interrupted"
grep -q checksum "$work_dir/last" || fail "work in flight got no response"
code=0
wait "$server" || code=$?
[ "$code" = 0 ] || fail "the server's exit code is $code"

expect_exit 0 "$bin/gcove_check" --require=I2,I4,I5,I6 \
    "$work_dir/before_cut.jsonl" "$work_dir/server.jsonl"
expect_exit 1 "$bin/gcove_check" "$work_dir/load.jsonl" "$work_dir/server.jsonl"
expect_output "I2 violated: the response is not whole"
echo "ok"
