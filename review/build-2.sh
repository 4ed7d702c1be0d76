#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program that takes the place of clients, programme servers and
# discovery. It needs Go and no network.
set -eu
cd "$(dirname "$0")/rig2"
mkdir -p bin
CGO_ENABLED=0 go build -o bin/rig2 .
