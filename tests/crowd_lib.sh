# Functions for runs with many clients that do not end what they begin; source it
# after tests/scripts/lib.sh.  The checks do not depend on the machine's speed.

# Of every process: the memory and the descriptors of the smallest machine.
MEMORY_MB=${MEMORY_MB:-88}
FDS_MAX=1300
# A build with sanitizers shadows all memory, and keeps what is freed: 256 MB of
# it by default, which says nothing about the program.
case $B in
*asan*)
	MEMORY_KB=$((MEMORY_MB > 88 ? 700000 : 400000))
	export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=64"
	;;
*) MEMORY_KB=$((MEMORY_MB * 1024)) ;;
esac
CROWD_S=60

# crowd TARGET KIND CONNECTIONS BYTES METHOD PATH [HEADER...]: starts the clients,
# and waits until they have sent what is taken of them.
crowd() {
	crowd_target=$1 crowd_kind=$2 crowd_n=$3 crowd_bytes=$4
	shift 4
	: >"$DIR/crowd.log"
	spawn crowd "$B/platform/crowd" "$crowd_target" "127.0.$NET.101" 10 \
		"$crowd_kind" "$crowd_n" "$crowd_bytes" $CROWD_S "$@"
	wait_for 40 grep -q settled "$DIR/crowd.log"
}

# queued_kb NAME: what the sockets of a process hold that was not read, or not
# taken by the other side: payload in KiB, which takes more memory than that.
queued_kb() {
	ls -l "/proc/$(pid "$1")/fd" 2>/dev/null |
		sed -n 's/.*socket:\[\([0-9]*\)\]$/\1/p' >"$DIR/inodes"
	awk 'FNR == NR { own[$1]; next }
	$10 in own { split($5, q, ":"); print q[1]; print q[2] }' \
		"$DIR/inodes" /proc/net/tcp | while read -r hex; do
		echo $((0x$hex))
	done | awk '{ n += $1 } END { printf "%d\n", n / 1024 }'
}

# watch_queues NAME SECONDS: sets QUEUED_KB to the most that queued_kb() shows.
QUEUED_KB=0
watch_queues() {
	QUEUED_KB=0
	watch_end=$(($(date +%s) + $2))
	while [ "$(date +%s)" -lt "$watch_end" ]; do
		q=$(queued_kb "$1")
		[ "${q:-0}" -le "$QUEUED_KB" ] || QUEUED_KB=$q
		sleep 0.5
	done
}

# check NAME COMMAND...: the process lives, within its bounds, and COMMAND
# succeeds while the clients are connected.  Prints figures that exceed a bound;
# all of them go to standard error.
check() {
	name=$1
	shift
	p=$(pid "$name")
	if ! kill -0 "$p" 2>/dev/null; then
		echo "$name has ended"
		return
	fi
	wait_for 20 "$@" && echo "an ordinary request is answered"
	peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$p/status")
	fds=$(ls "/proc/$p/fd" | wc -l)
	echo "$name: peak $peak KB, in sockets $QUEUED_KB KB, $fds descriptors" >&2
	[ "$peak" -lt "$MEMORY_KB" ] || echo "$name: peak memory of $peak KB"
	[ $((peak + QUEUED_KB)) -lt "$MEMORY_KB" ] ||
		echo "$name: $QUEUED_KB KB in sockets besides $peak KB"
	[ "$fds" -lt "$FDS_MAX" ] || echo "$name: $fds descriptors"
}
