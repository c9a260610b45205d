#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. See claim.txt.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
if [ ! -f target/host/host.args ] || [ ! -f target/review/review/LateGrants.class ]; then
  echo "the case could not run: build with tools/build-host and review/build.sh first"
  exit 2
fi
timeout 110 java -Dsun.net.httpserver.nodelay=true -cp 'target/review:target/host/lib/*' \
  review.LateGrants "$here/record.txt"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
