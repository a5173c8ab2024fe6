#!/usr/bin/env bash
# Guards against a checker that passes a broken history: one planted violation
# for each invariant must be named and exit 1, a clean history must exit 0.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
work=$(mktemp -d)
output=$work/output
trap 'rm -rf "$work"' EXIT

cat >"$work/clean.jsonl" <<'JSON'
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
expect_exit 0 "$bin/gcove_check" "$work/clean.jsonl"
expect_exit 0 "$bin/gcove_check" --require=I1,I2,I3,I4,I5,I6,I7 \
    "$work/clean.jsonl"

# planted RULE LINE...: the lines, added to the clean history, violate RULE.
planted() {
    local rule=$1
    shift
    printf '%s\n' "$@" >"$work/planted.jsonl"
    expect_exit 1 "$bin/gcove_check" "$work/clean.jsonl" "$work/planted.jsonl"
    expect_output "$rule violated:"
    [ "$(grep -c ' violated:' "$output")" = 1 ] ||
        fail "$rule: another rule is violated too: $(cat "$output")"
}
planted I1 '{"event":"ejections","healthy_slots":7,"floor_slots":8,"ejected":2}'
planted I2 '{"event":"request","request":"r3"}' \
    '{"event":"response","request":"r3","outcome":"ran","own":false,"key":"k"}'
planted I3 '{"event":"start","request":"r2","server":"s2"}'
planted I4 '{"event":"start","request":"r9","key":"k","server":"s2"}'
planted I5 '{"event":"refused","server":"s1","time_us":2000401}'
planted I6 '{"event":"start","request":"r9","server":"s1","time_us":300}'
planted I7 '{"event":"version","daemon":"d2","version":1,"time_us":6000000}'

expect_exit 1 "$bin/gcove_check" --require=I5 "$work/planted.jsonl"
expect_output "no evidence"
echo '{"event":' >"$work/bad.jsonl"
expect_exit 2 "$bin/gcove_check" "$work/bad.jsonl"
expect_output "bad.jsonl:1:"
expect_exit 2 "$bin/gcove_check" "$work/absent.jsonl"
expect_exit 2 "$bin/gcove_check"
echo "ok"
