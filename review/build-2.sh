#!/bin/sh
# Builds the stand-ins of the cases review/4 to review/8 into target/review-2, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/lib-2/*.java
