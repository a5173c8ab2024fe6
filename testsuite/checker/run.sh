#!/usr/bin/env bash
# Guards against a checker that misses violations: it must name a violation of
# each invariant and exit 1, and must exit 0 for a history without violations.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
work_dir=$(mktemp -d)
output=$work_dir/output
trap 'rm -rf "$work_dir"' EXIT

cat >"$work_dir/clean.jsonl" <<'JSON'
{"event":"begin","server":"s1","time_us":1}
{"event":"version","daemon":"d1","version":1,"time_us":5}
{"event":"request","request":"r1","key":"k","address":"a1","time_us":10}
{"event":"start","request":"r1","key":"k","server":"s1","time_us":11}
{"event":"finish","request":"r1","key":"k","server":"s1","time_us":20}
{"event":"response","request":"r1","key":"k","address":"a1","outcome":"ran","complete":true,"own":true,"time_us":21}
{"event":"request","request":"r2","address":"a1","time_us":30}
{"event":"response","request":"r2","address":"a1","outcome":"not_run","complete":true,"own":true,"time_us":31}
{"event":"accepted","version":2,"time_us":100}
{"event":"version","daemon":"d1","version":2,"time_us":200}
{"event":"ejections","daemon":"d1","service":"c","healthy_slots":8,"floor_slots":8,"ejected":1,"time_us":300}
{"event":"draining","server":"s1","time_us":400}
{"event":"exit","server":"s1","time_us":7000000}
JSON
expect_exit 0 "$bin/gcove_check" "$work_dir/clean.jsonl"
expect_exit 0 "$bin/gcove_check" --require=I1,I2,I3,I4,I5,I6,I7 \
    "$work_dir/clean.jsonl"

# expect_violation RULE LINE...: the lines, added to the clean history, violate
# only RULE.
expect_violation() {
    local rule=$1
    shift
    printf '%s\n' "$@" >"$work_dir/planted.jsonl"
    expect_exit 1 "$bin/gcove_check" "$work_dir/clean.jsonl" \
        "$work_dir/planted.jsonl"
    expect_output "$rule violated:"
    [ "$(grep -c ' violated:' "$output")" = 1 ] ||
        fail "$rule: another rule is violated too: $(cat "$output")"
}
expect_violation I1 '{"event":"ejections","healthy_slots":7,"floor_slots":8,"ejected":2}'
expect_violation I2 '{"event":"request","request":"r3"}' \
    '{"event":"response","request":"r3","outcome":"ran","own":false,"key":"k"}'
expect_violation I3 '{"event":"start","request":"r2","server":"s2"}'
expect_violation I4 '{"event":"start","request":"r9","key":"k","server":"s2"}'
expect_violation I5 '{"event":"refused","server":"s1","time_us":2000401}'
expect_violation I6 '{"event":"start","request":"r9","server":"s1","time_us":300}'
expect_violation I7 '{"event":"version","daemon":"d2","version":1,"time_us":6000000}'

expect_exit 1 "$bin/gcove_check" --require=I5 "$work_dir/planted.jsonl"
expect_output "no evidence"
echo '{"event":' >"$work_dir/bad.jsonl"
expect_exit 2 "$bin/gcove_check" "$work_dir/bad.jsonl"
expect_output "bad.jsonl:1:"
expect_exit 2 "$bin/gcove_check" "$work_dir/absent.jsonl"
expect_exit 2 "$bin/gcove_check"
echo "ok"
