#!/usr/bin/env bash
# Plays the finding that claim.txt describes; with TROUBLE=0 without its disruption. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if it could not be played.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../bin/standin ] || [ ! -x ../../../target/stoneworksd ]; then
	bash ../../build.sh || exit 2
fi
exec ../../bin/standin timeout ../../.. record.txt
