#!/usr/bin/env bash
# run_case.sh FOLDER TROUBLE: runs the case of the folder after the build of the
# deploy file and of review/build.sh; without the disruption if TROUBLE is 0.
set -uo pipefail
export TROUBLE=$2
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
driver=$root/review/bin/case$(basename "$folder")
for program in "$driver" "$root/target/bin/gcove_daemon"; do
    [ -x "$program" ] || {
        echo "missing: $program" >&2
        exit 2
    }
done
timeout -k 2 118 "$driver" "$root" "$folder"
code=$?
case $code in
0 | 1 | 2) exit "$code" ;;
*) exit 2 ;;
esac
