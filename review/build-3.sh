#!/bin/sh
# Builds the stand-in of the third review's scripts; run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
go build -o ../../target/standin-3 .
