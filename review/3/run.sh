#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
export TROUBLE=${TROUBLE:-1}
exec bash "$(dirname "$0")/../run_case.sh" "$(dirname "$0")" "$TROUBLE"
