#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption. Needs the build of the deploy file and
# review/build-2.sh. What was sent, answered and run: record.txt beside this file.
set -uo pipefail
cd "$(dirname "$0")/../.."

[ -x target/bin/greengage_entry ] && [ -x build/review-2/case10 ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 110 build/review-2/case10 "$folder" "${TROUBLE:-1}"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || exit 2
exit "$status"
