#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
driver=review/standin-2/bin/case$(basename "$case_folder")
if [ ! -x "$driver" ] || [ ! -x target/bin/gcove_daemon ]; then
    echo "build first: the command of deploy/system.toml, review/build-2.sh" >&2
    exit 2
fi
timeout -k 2 115 "$driver" "$case_folder/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
