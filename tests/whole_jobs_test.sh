#!/usr/bin/env bash
# Guards against hosts that hang or leave their memory by whole jobs inside the
# limits. Three hosts with lowered limits share six endpoints; all jobs of a
# crowd are sent at once to the first host. Checked of each host are its memory
# and descriptors, that it stays alive, that it answers an ordinary request
# afterwards and that it returns memory; no times.
# Usage: whole_jobs_test.sh BUILD CROWD
set -u
build=$1
crowd=$2
cd "$(dirname "$0")/.."
hosts=3 endpoints=6 domains=d1,d2,d3 base_port=${BASE_PORT:-25000}
source scripts/platform_cluster.sh
trap cluster_abort EXIT
source tests/limited_hosts.sh

connections=200 # 50,000 tasks of 0.9 s
[ "$crowd" != padded_jobs ] || connections=60 # of 260 KB each

count_descriptors() {
    local host now_open
    for ((host = 0; host < hosts; ++host)); do
        now_open=$(open_descriptors $host)
        [ "$now_open" -le "${most[host]}" ] || most[host]=$now_open
    done
}

cluster_start || exit 1
idle_kb=() most=() kept_kb=()
for ((host = 0; host < hosts; ++host)); do
    check "job at host $host before" \
        "$(submit_until_served $host "00000000000000a$host")" = 200
    idle_kb[host]=$(memory_kb $host VmRSS)
    most[host]=0
done

coproc callers { exec "$build/caller_crowd" --host "$(host_callers 0)" \
    --kind "$crowd" --connections "$connections" --idle_ms 10000; }
callers_process=$callers_PID
callers_input=${callers[1]}
played=""
count_descriptors
for ((tries = 1000; tries > 0; --tries)); do
    read -r -t 0.1 part <&"${callers[0]}" && break
    played+=$part # a time-out may leave a part of the line
    count_descriptors
done
played+=$part
check "crowd played" -n "$played"
exec {callers_input}>&-
wait "$callers_process"
echo "$crowd: ${played:-not played}"

for ((host = 0; host < hosts; ++host)); do
    check "host $host alive" -d "/proc/${host_pid[$host]}"
    check "job at host $host afterwards" \
        "$(submit_until_served $host "00000000000000b$host")" = 200
done
for ((host = 0; host < hosts; ++host)); do
    # Memory is returned on a timer; the bound must hold within ten seconds.
    tries=100
    while [ "$(memory_kb $host VmRSS)" -gt \
        $((idle_kb[host] + max_kept_kb)) ]; do
        [ $((tries -= 1)) -gt 0 ] || break
        sleep 0.1
    done
    peak_kb=$(memory_kb $host VmHWM)
    kept_kb[host]=$(memory_kb $host VmRSS)
    echo "host $host: idle ${idle_kb[host]} kB, peak ${peak_kb} kB," \
        "afterwards ${kept_kb[host]} kB, ${most[host]} descriptors"
    check "VmHWM of host $host (kB)" "${peak_kb:-0}" -le $((memory_mb * 1024))
    check "VmHWM of host $host was read" "${peak_kb:-0}" -gt 0
    check "VmRSS of host $host afterwards (kB)" "${kept_kb[host]:-0}" -le \
        $((idle_kb[host] + max_kept_kb))
    check "descriptors of host $host" "${most[host]}" -le "$descriptors"
    check "descriptors of host $host were read" "${most[host]}" -gt 0
done
check "complaints" "$(report | grep -c '"complaints":\[\]')" = 1

cluster_stop
check "every process ends with" $? -eq 0
[ $failures -eq 0 ] && echo "whole_jobs_test $crowd ok"
exit $((failures > 0))
