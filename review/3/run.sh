#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/case-3 ] || exit 2
timeout 115 build/review/case-3 review/3
Status=$?
[ "$Status" -le 1 ] && exit "$Status"
exit 2
