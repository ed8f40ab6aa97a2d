#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review, after the
# build of the deploy file, whose libraries in target/ it uses. It needs the
# packages of deploy/system.toml and no others.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for library in adapters core; do
    [ -f "target/libfigridge_$library.a" ] ||
        { echo "first run the build of deploy/system.toml" >&2; exit 2; }
done
flags="-std=c++20 -O1 -Wall -Wextra -DMSGPACK_USE_BOOST=1
    -Iinclude -Isrc -Isrc/adapters -Itesting
    $(pkg-config --cflags spdlog libcurl libnghttp2 libmicrohttpd)"
libraries="target/libfigridge_adapters.a target/libfigridge_core.a
    $(pkg-config --libs libcurl libnghttp2 libmicrohttpd libxxhash spdlog)
    $(pkg-config --libs absl_status absl_statusor absl_strings absl_str_format)
    -lgflags -lev -lpthread"
g++ -std=c++20 -O1 -Wall -Wextra review/client.cpp -o "$out/client" &
waiting=$!
g++ $flags testing/platform/job_callers.cpp testing/platform/leased_endpoint.cpp \
    testing/platform/system_main.cpp testing/platform/table_stand_in.cpp \
    $libraries -o "$out/system_stand_in"
g++ $flags testing/fault_proxy.cpp testing/fault_proxy_main.cpp \
    $libraries -o "$out/fault_proxy"
g++ $flags testing/platform/leased_endpoint.cpp \
    testing/platform/table_stand_in.cpp review/late_system.cpp \
    $libraries -o "$out/late_system"
wait $waiting
echo "built client, system_stand_in, fault_proxy and late_system in $out"
