#!/usr/bin/env bash
# Runs a case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/runtime/bin/java ] && [ -d target/review-2 ] || {
  echo "run deploy/build.sh and review/build-2.sh first" >&2
  exit 2
}
JAVA_HOME=$(bin/find-java) || exit 2
timeout --kill-after=3 117 "$JAVA_HOME/bin/java" -cp target/review-2 "$1" "$folder"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
