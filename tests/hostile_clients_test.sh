#!/usr/bin/env bash
# Guards against a process that clients outside the limits end by its memory or
# descriptors. One host with lowered limits gets a crowd of connections; checked
# are its memory and descriptors, that it stays alive, that it answers an
# ordinary request afterwards and that it returns memory; no times.
# Usage: hostile_clients_test.sh BUILD CROWD
set -u
build=$1
crowd=$2
cd "$(dirname "$0")/.."
hosts=1 endpoints=2 domains=d1 base_port=${BASE_PORT:-25000}
source scripts/platform_cluster.sh
trap cluster_abort EXIT

connections=700 # 700 bodies of 262,000 bytes are three times memory_mb
source tests/limited_hosts.sh

cluster_start || exit 1
check "job before" "$(submit 0 00000000000000a0)" = 200
idle_kb=$(memory_kb 0 VmRSS)

coproc callers { exec "$build/caller_crowd" --host "$(host_callers 0)" \
    --kind "$crowd" --connections "$connections"; }
callers_process=$callers_PID
callers_input=${callers[1]}
most=0
count_descriptors() {
    local now_open
    now_open=$(open_descriptors 0)
    [ "$now_open" -le "$most" ] || most=$now_open
}
played=""
for ((tries = 1000; tries > 0; --tries)); do
    read -r -t 0.1 part <&"${callers[0]}" && break
    played+=$part # a time-out may leave a part of the line
    count_descriptors
done
played+=$part
count_descriptors
check "crowd played" -n "$played"
crowd_kb=$(memory_kb 0 VmRSS)
exec {callers_input}>&-
wait "$callers_process"

check "alive" -d "/proc/${host_pid[0]}"
check "job afterwards" "$(submit 0 00000000000000a1)" = 200
# The host notices the closed connections and returns memory on its timer; the
# bound on memory must hold within ten seconds, however long that takes.
tries=100
while [ "$(memory_kb 0 VmRSS)" -gt $((idle_kb + max_kept_kb)) ]; do
    [ $((tries -= 1)) -gt 0 ] || break
    sleep 0.1
done
peak_kb=$(memory_kb 0 VmHWM)
kept_kb=$(memory_kb 0 VmRSS)
echo "$crowd: ${played:-not played}, idle ${idle_kb} kB," \
    "with the crowd ${crowd_kb} kB and $most descriptors," \
    "peak ${peak_kb} kB, afterwards ${kept_kb} kB"
check "VmRSS with the crowd (kB)" "${crowd_kb:-0}" -le $((memory_mb * 1024))
check "VmHWM (kB)" "${peak_kb:-0}" -le $((memory_mb * 1024))
check "VmHWM was read" "${peak_kb:-0}" -gt 0
check "descriptors" "$most" -le "$descriptors"
check "descriptors were read" "$most" -gt 0
check "VmRSS afterwards (kB)" "${kept_kb:-0}" -le $((idle_kb + max_kept_kb))

cluster_stop
check "every process ends with" $? -eq 0
[ $failures -eq 0 ] && echo "hostile_clients_test $crowd ok"
exit $((failures > 0))
