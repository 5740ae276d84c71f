#!/bin/sh
# Builds the stand-ins of the second review's scripts; run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/standin-2 .
