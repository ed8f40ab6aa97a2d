#!/usr/bin/env bash
# Guards against a host that leaves its memory by what the kernel holds for it:
# bytes that were received and not read yet count like its own. A host that is
# kept from reading gets a crowd of connections that send as much as the kernel
# takes, and then goes on. Checked are its memory together with the unread
# bytes, before and after it goes on, that it stays alive and that it answers an
# ordinary request afterwards; no times.
# Usage: unread_bytes_test.sh BUILD CROWD
set -u
build=$1
crowd=$2
cd "$(dirname "$0")/.."
hosts=1 endpoints=2 domains=d1 base_port=${BASE_PORT:-25000}
source scripts/platform_cluster.sh
trap cluster_abort EXIT
source tests/limited_hosts.sh

connections=700

unread_kb() { # host: the receive queues of its connections with callers
    local port
    port=$(printf '%04X' "$(($(host_port "$1") + 1))")
    # A listening socket (0A) shows the connections that wait there instead.
    awk -v port="$port" '
        function number(text, i, sum) {
            for (i = 1; i <= length(text); ++i)
                sum = 16 * sum + index("123456789ABCDEF", substr(text, i, 1))
            return sum
        }
        $2 ~ ":" port "$" && $4 != "0A" {
            split($5, queues, ":")
            bytes += number(queues[2])
        }
        END { print int(bytes / 1024) }' /proc/net/tcp
}
held_kb() { # host: its memory and the unread bytes
    echo $(($(memory_kb "$1" VmRSS) + $(unread_kb "$1")))
}

cluster_start || exit 1
check "job before" "$(submit_until_served 0 00000000000000a0)" = 200

kill -STOP "${host_pid[0]}"
coproc callers { exec "$build/caller_crowd" --host "$(host_callers 0)" \
    --kind "$crowd" --connections "$connections"; }
callers_process=$callers_PID
callers_input=${callers[1]}
check "crowd played" -n "$(head -n 1 <&"${callers[0]}")"
paused_kb=$(held_kb 0)
paused_unread_kb=$(unread_kb 0)
kill -CONT "${host_pid[0]}"
most_kb=0
for ((tries = 100; tries > 0; --tries)); do
    now_kb=$(held_kb 0)
    [ "$now_kb" -le "$most_kb" ] || most_kb=$now_kb
    sleep 0.05
done
exec {callers_input}>&-
wait "$callers_process"

check "alive" -d "/proc/${host_pid[0]}"
check "job afterwards" "$(submit_until_served 0 00000000000000a1)" = 200
echo "$crowd: paused $paused_kb kB, of them $paused_unread_kb kB unread," \
    "most afterwards $most_kb kB"
check "memory and unread bytes of a paused host (kB)" \
    "$paused_kb" -le $((memory_mb * 1024))
check "unread bytes were read" "$paused_unread_kb" -gt 0
check "memory and unread bytes afterwards (kB)" \
    "$most_kb" -le $((memory_mb * 1024))

cluster_stop
check "every process ends with" $? -eq 0
[ $failures -eq 0 ] && echo "unread_bytes_test $crowd ok"
exit $((failures > 0))
