#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases of REPORT-3.md into target/review-3. Needs the build of the deploy
# file and the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -encoding UTF-8 -cp 'target/host/lib/*' -d target/review-3 $(find review/common-3 review/1[1-5] -name '*.java' 2>/dev/null)
