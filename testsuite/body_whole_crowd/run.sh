#!/usr/bin/env bash
# Guards against a daemon that runs out of memory when many callers send bodies
# of permitted size at once, half of which stop just before their end.
set -euo pipefail
source "$(dirname "$0")/../body_crowd.sh"
start_crowd_fleet
send_crowd --body="$max_body" --short_by=100
