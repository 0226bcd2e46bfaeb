#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-lab-2 ] && [ -x target/pistachio-vm ] || exit 2
exec bin/review-lab-2 -case silentstore -program target/pistachio-vm -record review/7/record.txt
