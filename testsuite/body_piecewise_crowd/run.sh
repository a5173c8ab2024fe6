#!/usr/bin/env bash
# Guards against a daemon that runs out of memory when many callers send bodies
# of permitted size in small pieces, half of which stop just before their end.
set -euo pipefail
source "$(dirname "$0")/../body_crowd.sh"
start_crowd_fleet
send_crowd --body="$max_body" --short_by=100 --piece=16384 --pause_ms=1
