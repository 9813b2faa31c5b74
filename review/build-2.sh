#!/bin/sh
# Builds the stand-ins of the cases of the second review: the platform, the operator, the clients and the runners are one
# program, which run.sh of each case starts. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig
