#!/usr/bin/env bash
# Guards against a daemon that runs out of memory for chunked bodies, whose size
# is not announced, half of which stop just before their end.
set -euo pipefail
source "$(dirname "$0")/../body_crowd.sh"
start_crowd_fleet
send_crowd --body="$max_body" --chunk=65536 --short_by=100
