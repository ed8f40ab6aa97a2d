#!/usr/bin/env bash
# Installs the packages that the build and the tests need, if any is missing.
set -eu
packages=(cmake ninja-build g++ pkg-config curl
    libev-dev libnghttp2-dev libcurl4-openssl-dev libmicrohttpd-dev
    libgflags-dev libspdlog-dev libfmt-dev libabsl-dev libboost-dev
    libboost-test-dev nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev)
if [ "${1:-}" = ci ]; then
    packages+=(clang-format clang-tidy)
fi
missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}"
