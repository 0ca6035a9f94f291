#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the
# same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x target/review/review-case ] && [ -n "$program" ] || exit 2
exec timeout -k 1 118 target/review/review-case runs_on_its_type "$folder/record.txt" $program
