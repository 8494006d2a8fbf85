#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-scene ./review/scene
