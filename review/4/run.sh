#!/bin/sh
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review outage review/4
