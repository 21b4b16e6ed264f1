#!/usr/bin/env bash
# Plays one scenario of this review: run-case.sh NAME FOLDER. The record goes to FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(realpath "$2") || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/runtime/bin/java ] && [ -d target/review-3 ] || {
  echo "run deploy/build.sh and review/build-3.sh first" >&2
  exit 2
}
java_home=$(bin/find-java) || exit 2
timeout --kill-after=2 "${LIMIT:-115}" "$java_home/bin/java" -cp "target/review-3:target/fleet/lib/*" \
  io.caperturn.review.Case "$1" "$folder"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
