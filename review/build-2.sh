#!/bin/sh
# Builds the stand-ins of the cases 6 and up. Needs a JDK 17 and cc; run after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p target/classes
javac -nowarn -d target/classes src/review2/*.java
cc -O1 -o target/listen src/listen.c
