#!/bin/sh
# Builds the stand-ins and clients of the scripts. Run it in the root of the project, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/probe ./review/probe
