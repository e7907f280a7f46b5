#!/bin/sh
# Plays this case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review/release/review-standin
node=target/release/savoryport-node
if [ ! -x "$standin" ] || [ ! -x "$node" ]; then
    echo "build deploy/system.toml and review/build.sh first"
    exit 2
fi
exec "$standin" crashing-request "$node" review/5/record.txt
