#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x target/yuccarock ] || [ ! -x target/standin-2 ]; then
	echo "build deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/standin-2 -case directory -record "$folder/record.txt"
