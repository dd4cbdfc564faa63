#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/ivypier-edge ] && [ -x target/review/case4 ] || exit 2
timeout --signal=KILL 110 target/review/case4 review/4
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
