#!/usr/bin/env bash
# Plays the case with real processes. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec timeout -k 5 110 ../../target/review/part .
