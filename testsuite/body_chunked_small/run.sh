#!/usr/bin/env bash
# Guards against memory that is held for each chunk and not for each byte: a
# record of a chunk takes more than a chunk of a few bytes.
set -euo pipefail
source "$(dirname "$0")/../body_crowd.sh"
start_crowd_fleet
send_crowd --body="$max_body" --chunk=2 --short_by=100 --seconds=20
