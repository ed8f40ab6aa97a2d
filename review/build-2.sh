#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. The build of
# the deploy file has to be done before.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/build-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j4
