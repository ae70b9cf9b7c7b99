#!/bin/sh
# Runs the case against the controller of the deploy file and writes record.txt beside this script.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/dahliaspindle ] || [ ! -x review/bin/standin ]; then
  echo "not built: the build of deploy/balancer.toml and review/build.sh come first"
  exit 2
fi
exec review/bin/standin older-list review/3
