#!/usr/bin/env bash
# Case 1. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Up to four attempts of some 23 s, each with a new fleet; TROUBLE=0 leaves the kills out.
cd "$(dirname "$0")/../.." || exit 2
: > review/1/record.txt || exit 2
worst=0
for lead in 30 45 20 60; do
  LEAD_MS=$lead review/bin/standin wrong-ack review/1
  code=$?
  [ "$code" = 1 ] && exit 1
  [ "$code" = 0 ] || worst=2
done
exit "$worst"
