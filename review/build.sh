#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/standin"
go build -buildvcs=false -trimpath -o ../bin/standin .
