#!/usr/bin/env bash
# Guards against callers that shut others out: a crowd that takes all
# connections of a host sends ordinary requests in a row and reads no answer.
# Checked are that the host answers an ordinary request while the crowd stays,
# its memory and descriptors, and that it stays alive; no times.
# Usage: unread_answers_test.sh BUILD
set -u
build=$1
crowd=unread_answers
cd "$(dirname "$0")/.."
hosts=1 endpoints=2 domains=d1 base_port=${BASE_PORT:-25000}
source scripts/platform_cluster.sh
trap cluster_abort EXIT
caller_connections=160
source tests/limited_hosts.sh

connections=150 # as many as the host keeps open: a sixteenth stays free

cluster_start || exit 1
check "job before" "$(submit_until_served 0 00000000000000a0)" = 200
idle_descriptors=$(open_descriptors 0)

coproc callers { exec "$build/caller_crowd" --host "$(host_callers 0)" \
    --kind "$crowd" --connections "$connections"; }
callers_process=$callers_PID
callers_input=${callers[1]}
# Until the crowd has taken a part of the connections, nothing is shown.
most=0
for ((tries = 200; tries > 0 && most < idle_descriptors + 140; --tries)); do
    most=$(open_descriptors 0)
    sleep 0.05
done
check "connections of the crowd" "$most" -ge $((idle_descriptors + 140))
check "job beside the crowd" "$(submit_until_served 0 00000000000000a1)" = 200
now_open=$(open_descriptors 0)
[ "$now_open" -le "$most" ] || most=$now_open
kill -0 "$callers_process" && exec {callers_input}>&-
kill "$callers_process"
wait "$callers_process"

check "alive" -d "/proc/${host_pid[0]}"
check "job afterwards" "$(submit_until_served 0 00000000000000a2)" = 200
peak_kb=$(memory_kb 0 VmHWM)
echo "$crowd: peak ${peak_kb} kB, $most descriptors"
check "VmHWM (kB)" "${peak_kb:-0}" -le $((memory_mb * 1024))
check "VmHWM was read" "${peak_kb:-0}" -gt 0
check "descriptors" "$most" -le "$descriptors"

cluster_stop
check "every process ends with" $? -eq 0
[ $failures -eq 0 ] && echo "unread_answers_test ok"
exit $((failures > 0))
