#!/bin/sh
# Request bodies within the configured limit take a process over its memory limit. After the build of
# deploy/system.toml and review/build-2.sh; exit codes as in claim.txt. TROUBLE=0: small bodies.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standins memory review/7/record.txt
