#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Needs target/wheelhoist, as the deploy file builds it, and review/build.sh.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
exec target/review-lab late-extra-answer "$case_folder/record.txt"
