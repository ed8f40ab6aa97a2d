#!/usr/bin/env bash
# Starts a cluster on loopback, submits jobs through figridgectl, prints the
# answers and stops all processes by SIGTERM.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build/release} hosts=8 endpoints=48 domains=d1,d2,d3
base_port=${BASE_PORT:-21000}
source scripts/cluster.sh
trap cluster_abort EXIT

ctl() { # host index, arguments
    local host=$1
    shift
    "$build/figridgectl" --host "$(host_callers "$host")" "$@"
}

cluster_start || exit 1
ctl 0 hosts
ctl 0 catalogue-edit samples/catalogue.json || exit 1
ctl 3 catalogue-show

jobs=0 complete=0 failed=0
ids=()
for round in 1 2 3; do
    for ((host = 0; host < hosts; host++)); do
        jobs=$((jobs + 1))
        if answer=$(ctl "$host" submit samples/job.json); then
            complete=$((complete + 1))
        else
            failed=$((failed + 1))
        fi
        echo "$answer"
        ids+=("$(sed -n 's/^job \([^ ]*\) .*/\1/p' <<<"$answer")")
    done
done

# Fetches every answer again from another host, and counts tasks run twice.
lost=0
for ((i = 0; i < ${#ids[@]}; i++)); do
    ctl $(((i + 3) % hosts)) fetch "${ids[$i]}" --wait_ms 1000 \
        >"$cluster_dir/again.out" || lost=$((lost + 1))
done
curl -s "http://$(endpoints_control)/report" >"$cluster_dir/report.json"
doubled=$(grep -o '":[2-9][0-9]*[,}]' <<<"$(sed 's/.*"starts"//' \
    "$cluster_dir/report.json" | sed 's/"total".*//')" | wc -l)
cluster_stop || { echo "a process did not end with 0" >&2; exit 1; }
echo "demo jobs=$jobs complete=$complete failed=$failed doubled=$doubled" \
    "lost=$lost"
[ "$failed$doubled$lost" = 000 ]
