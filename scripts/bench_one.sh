#!/usr/bin/env bash
# One benchmark run of the real processes. Usage: bench_one.sh MIX LOAD POLICY
# SEED BURST SECONDS [further flags of `load`]. HOSTS and ENDPOINTS in the
# environment set the size; BEFORE_LOAD is a command to run before the load.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build/release} hosts=${HOSTS:-8} endpoints=${ENDPOINTS:-48}
domains=${DOMAINS:-d1,d2,d3} base_port=${BASE_PORT:-22000} policy=$3
source scripts/cluster.sh
trap cluster_abort EXIT
cluster_start || exit 1
delay=3
[ "$1" = certis ] || delay=1
[ -z "${BEFORE_LOAD:-}" ] || eval "$BEFORE_LOAD"
"$build/load" --hosts "$(all_callers)" \
    --endpoints_control "$(endpoints_control)" --mix "$1" --load "$2" \
    --policy "$3" --seed "$4" --burst "$5" --seconds "$6" \
    --slots "$((endpoints * ${slots:-8}))" --caller_delay_ms "$delay" \
    --as_bench "${@:7}"
result=$?
cluster_stop || result=1
exit $result
