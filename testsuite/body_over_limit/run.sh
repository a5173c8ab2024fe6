#!/usr/bin/env bash
# Guards against a daemon that runs out of memory for bodies far over the limit,
# whether their size is announced or they are just sent in chunks.
set -euo pipefail
source "$(dirname "$0")/../body_crowd.sh"
start_crowd_fleet
send_crowd --body=$((max_body * 16))
send_crowd --body=$((max_body * 16)) --chunk=65536
# Up to the size that is read in order to respond with a refusal.
send_crowd --body=$((max_body * 2)) --short_by=100
