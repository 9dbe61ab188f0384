#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review; needs a JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/lib/*.java
