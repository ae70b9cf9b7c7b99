#!/bin/sh
# Builds the stand-ins of the second review's cases, review/6 to review/10, after the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/_standin2
