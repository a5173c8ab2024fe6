#!/usr/bin/env bash
# Guards against tools that start with invalid settings: each error message must
# name the place, the key and the allowed values, and the exit code must be 2.
set -euo pipefail
bin=$1
source "$(dirname "$0")/../lib.sh"
work_dir=$(mktemp -d)
output=$work_dir/output
trap 'rm -rf "$work_dir"' EXIT

cat >"$work_dir/server.ini" <<'INI'
[server]
name = cat-1
service = catalogue
listen = 127.0.0.1:18000
INI
expect_exit 0 "$bin/gcove_server" --settings "$work_dir/server.ini" \
    --check_settings
expect_exit 2 "$bin/gcove_server" --settings "$work_dir/absent.ini" \
    --check_settings
expect_output "absent.ini: cannot be read"
expect_exit 2 "$bin/gcove_server" --check_settings
expect_output "server.name: required, missing"
expect_exit 2 "$bin/gcove_server" --settings "$work_dir/server.ini" \
    --set server.slots=0,server.listen=localhost:1
expect_output "server.slots: '0' is not allowed, allowed: an integer from 1"
expect_output "server.listen: 'localhost:1' is not allowed, allowed: ip:port"
echo "colour = red" >>"$work_dir/server.ini"
expect_exit 2 "$bin/gcove_server" --settings "$work_dir/server.ini" \
    --check_settings
expect_output "server.ini:5: server.colour: unknown key, allowed: name service"

cat >"$work_dir/load.ini" <<'INI'
[load]
targets = 127.0.0.1:18000
streams = browse:5:GET:/a:true:100
INI
load=("$bin/gcove_load" --settings "$work_dir/load.ini")
expect_exit 0 "${load[@]}" --check_settings
expect_exit 2 "${load[@]}" --set load.seconds=-1
expect_output "load.seconds: '-1' is not allowed, allowed: a number from"
expect_exit 2 "${load[@]}" --check_settings --set load.streams=browse:5:GET:/a
expect_output "name:rate:METHOD:/path:repeatable:deadline_ms"
expect_exit 2 "${load[@]}" --output=xml
expect_output "allowed: table, json"
expect_exit 2 "${load[@]}" --set "load.history=$work_dir/absent/h.jsonl"
expect_output "cannot be written"

for program in gcove_server gcove_load gcove_check; do
    expect_exit 0 "$bin/$program" --version
    expect_output "0.1.0"
done
echo "ok"
