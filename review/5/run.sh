#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/fulmarreel-node ] || exit 2
exec target/review/cases resumed-target "$folder"
