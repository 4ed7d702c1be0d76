#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || exit 2
exec ../bin/standin heads ../.. .
