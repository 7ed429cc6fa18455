#!/bin/sh
# Runs the case. TROUBLE=0 runs it without the disruption. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run. Needs the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-3 ] || exit 2
TROUBLE=${TROUBLE:-1} exec target/review-3 replaced "$folder"
