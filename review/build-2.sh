#!/bin/sh
# Builds the stand-ins and the cases of the second review; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp target/bambootray-node.jar -d target/review-2 review/standin-2/*.java
