#!/bin/sh
# Builds the stand-ins of the cases: review/bin/standin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/_standin
