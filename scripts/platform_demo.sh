#!/usr/bin/env bash
# Demo of five hosts on the simulated platform: serves jobs, kills one host
# under load, stops all processes by SIGTERM, and prints the report of the
# callers and endpoints. Exits with 0 if it has no complaints and every process
# ended with 0.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build/release} hosts=5 endpoints=12 domains=d1,d2,d3
base_port=${BASE_PORT:-22000}
source scripts/platform_cluster.sh
trap cluster_abort EXIT

cluster_start || exit 1
curl -s "http://$(host_operators 0)/v1/state" | grep -A9 '"gauges"'
begin_load '"jobs":150,"jobs_per_s":50'
sleep 1
kill_host 1
wait_for_load 60
seen=$(report)
completed=$(report_field completed) sent=$(report_field sent)
cluster_stop || { echo "a process did not end with 0" >&2; exit 1; }
echo "$seen"
echo "platform demo sent=$sent completed=$completed"
grep -q '"complaints":\[\]' <<<"$seen"
