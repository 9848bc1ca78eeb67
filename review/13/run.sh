#!/bin/bash
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review-2/release/step_back
[ -x "$program" ] && [ -x target/release/camphorwardd ] || { echo "not built"; exit 2; }
timeout 110 "$program" "$here/record.txt"
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || exit 2
exit "$status"
