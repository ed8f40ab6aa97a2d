#!/usr/bin/env bash
# Benchmarks at the default size: both mixes at three loads and with a burst,
# and one mix with a rack whose endpoints fail all tasks. Prints a line for each
# run. POLICY, SEED and SECONDS_EACH in the environment set the parameters.
set -u
cd "$(dirname "$0")/.."
policy=${POLICY:-rebalance}
seed=${SEED:-1}
seconds=${SECONDS_EACH:-12}
result=0
for mix in certis consortium; do
    for load in 0.5 0.8 0.95; do
        scripts/bench_one.sh "$mix" "$load" "$policy" "$seed" 1 "$seconds" \
            2>/dev/null || result=1
    done
    # Three times the load for 5 s.
    scripts/bench_one.sh "$mix" 0.8 "$policy" "$seed" 3 5 2>/dev/null ||
        result=1
done
echo "with a rack that fails everything:"
BEFORE_LOAD='for i in 0 3 6 9 12 15 18 21; do
    curl -s -o "$cluster_dir/put.out" -X PUT \
        -d "{\"endpoint\":$i,\"mode\":\"fail_all\"}" \
        "http://$(endpoints_control)/control"; done' \
    scripts/bench_one.sh consortium 0.5 "$policy" "$seed" 1 "$seconds" \
    2>/dev/null || result=1
exit $result
