#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/rig ] || [ ! -x target/oriolehub ]; then
  echo "run the build of the deploy file and review/build.sh first"
  exit 2
fi
exec review/bin/rig deadly-kept . review/5/record.txt
