#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. With TROUBLE=0 it does the same
# without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/coriander-node ] && [ -x target/review-2/standin ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=off
else
    trouble=on
fi
exec target/review-2/standin left-again "$here" "$trouble"
