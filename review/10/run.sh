#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
if [ -z "$RUN_COMMAND" ] || [ ! -x target/release/stonescale ] || [ ! -x target/review-2/cases ]; then
    echo "build first: the command of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
exec target/review-2/cases outage review/10/record.txt
