#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review, with the JDK and the libraries that the deploy file's build
# leaves in target/host/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/host/lib/*' review/standins/review/*.java
