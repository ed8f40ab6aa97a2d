# Hosts with lowered limits, and what the tests of clients check of them. To be
# sourced after scripts/platform_cluster.sh; `crowd` names the test's crowd.

failures=0
memory_mb=64
caller_connections=${caller_connections:-} # derived if empty
descriptors=600
# Memory above that of the idle process that may remain after the crowd: what
# the heap and the library keep for later use, an eighth of the limit.
max_kept_kb=$((memory_mb * 1024 / 8))

check() { # name, condition for [ ]
    local name=$1
    shift
    if ! [ "$@" ]; then
        echo "FAILED $crowd: $name: $*"
        failures=$((failures + 1))
    fi
}
memory_kb() { # host, field of /proc/PID/status
    sed -n "s/^$2:[[:space:]]*\([0-9]*\) kB/\1/p" \
        "/proc/${host_pid[$1]}/status" 2>/dev/null
}
open_descriptors() { # host
    ls "/proc/${host_pid[$1]}/fd" 2>/dev/null | wc -l
}
submit() { # host, id: prints the status of one ordinary job
    curl -s -m 20 -o "$cluster_dir/body" -w '%{http_code}' \
        -H 'Host: figridge.example' -H 'X-Deadline-Ms: 5000' -X POST \
        -d '{"spec":"x","steps":[{"count":1,"cpu":1}],"best-effort":true}' \
        "http://$(host_callers "$1")/jobs/$2"
}

# Callers that are refused or closed come again, as they are told.
max_submissions=10
submit_until_served() { # host, id: prints the last status
    local status tries
    for ((tries = max_submissions; tries > 0; --tries)); do
        status=$(submit "$1" "$2")
        case $status in 503 | 000) sleep 1 ;; *) break ;; esac
    done
    echo "$status"
}

# A product that doesn't know the section [limits] is measured without it.
eval "$(declare -f write_config | sed '1s/write_config/write_base_config/')"
write_config() { # index
    write_base_config "$1"
    local file=$cluster_dir/host$1.ini
    sed -i '/^\[limits\]/,$d' "$file"
    cp "$file" "$cluster_dir/without.ini"
    printf '\n[limits]\nmemory_mb = %s\ndescriptors = %s\n' \
        "$memory_mb" "$descriptors" >>"$file"
    [ -z "$caller_connections" ] ||
        echo "connections = $caller_connections" >>"$file"
    if "$build/figridged" --config "$file" --check_config 2>&1 |
        grep -q 'limits\].*unknown key'; then
        echo "settings: [limits] not known, left out"
        cp "$cluster_dir/without.ini" "$file"
    fi
}
