# Disks of control processes stand still for some seconds, as beside other
# writers on a busy machine.  Guards against a loop that waits for the disk: the
# process then answers no heartbeat, and the group elects leaders in vain.
NET=143
. tests/scripts/lib.sh

# start_slow_control DC: its syncs wait while $DIR/stall-DC exists.
start_slow_control() {
	STALL_FILE=$DIR/stall-$1 LD_PRELOAD=$B/tests/slow_sync.so \
		ASAN_OPTIONS=verify_asan_link_order=0 start_control "$1"
}
stall() {
	for stalled in "$@"; do touch "$DIR/stall-$stalled"; done
}
restore() {
	rm -f "$DIR"/stall-?
}
# set_weight VALUE: a change, sent again as operators do.
set_weight() {
	mw --id="w$1" tree set accounts/west/acme weight "$1"
}
elections() {
	cat "$DIR"/ctl?.log | grep -c '"kind":"leader",'
}
slow_writes() {
	grep -c '"kind":"slow_write"' "$DIR/ctl$1.log"
}
slow_write_logged() {
	[ "$(slow_writes "$1")" -gt 0 ]
}

for i in 1 2 3; do
	start_slow_control $i
	start_entry $i
done
for i in 1 2 3; do
	wait_for 30 ready $i
done
write_settings
mw --id=setup tree apply "$DIR/settings.json" >/dev/null
lead=$(leader 1)
other=$((lead % 3 + 1))
before=$(elections)

echo "== all disks stand still for 5 s"
stall 1 2 3
set_weight 10 >/dev/null 2>&1 &
change=$!
sleep 5
restore
wait $change || :
wait_for 5 set_weight 11 && echo "a change is accepted again"
for i in 1 2 3; do
	wait_for 5 slow_write_logged $i
done
[ "$(leader 1)" = "$lead" ] && echo "the same leader"

echo "== the leader's disk stands still"
stall "$lead"
set_weight 12 >/dev/null && echo "a change is accepted meanwhile"
sleep 3
restore
[ "$(leader 1)" = "$lead" ] && echo "the same leader"

echo "== a follower's disk stands still"
stall $other
set_weight 13 >/dev/null && echo "a change is accepted meanwhile"
sleep 5
restore
wait_for 5 set_weight 14
[ "$(leader 1)" = "$lead" ] && echo "the same leader"
echo "further elections: $(($(elections) - before))"

echo "== the leader is lost beside a slow disk"
stall $other
kill_one "ctl$lead"
sleep 3
restore
wait_for 6 leads_elsewhere "$lead" && echo "another one leads"
