#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start, into target/review-3.
# To be run after the build line of deploy/system.toml; needs only the packages
# that this file names.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="absl_status absl_statusor absl_strings absl_str_format fmt spdlog
    gflags libcurl libnghttp2 libmicrohttpd libxxhash"
# shellcheck disable=SC2086
flags=$(pkg-config --cflags $packages)
# shellcheck disable=SC2086
libraries="$(pkg-config --libs $packages) -lev -lpthread"
compile="${CXX:-g++} -std=c++20 -O1 -DMSGPACK_USE_BOOST=1"
compile="$compile -Iinclude -Isrc -Itesting $flags"

$compile review/caller_3.cpp -o "$out/caller"
$compile review/proxy_3.cpp -o "$out/proxy"
$compile review/gate_3.cpp -o "$out/gate"
objects=""
for source in testing/platform/job_callers.cpp \
    testing/platform/leased_endpoint.cpp testing/platform/system_main.cpp \
    testing/platform/table_stand_in.cpp; do
    object=$out/$(basename "$source" .cpp).o
    objects="$objects $object"
    if [ ! "$object" -nt "$source" ]; then
        $compile -c "$source" -o "$object" &
    fi
done
wait
# shellcheck disable=SC2086
$compile review/worker_3.cpp "$out/leased_endpoint.o" \
    target/libfigridge_adapters.a target/libfigridge_core.a $libraries \
    -o "$out/worker"
# shellcheck disable=SC2086
$compile $objects target/libfigridge_adapters.a target/libfigridge_core.a \
    $libraries -o "$out/system_stand_in"
echo "built into $out"
