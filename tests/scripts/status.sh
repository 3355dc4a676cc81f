# `mustardwall status` tells from the product alone what is cut off and since
# when, which queues grow, and what is degraded and what that costs; with
# --check its exit status is for monitors.
NET=89
RELAY=1
. tests/scripts/lib.sh

# Strips times, ages and counts that vary.
fixed() {
	sed 's/[0-9-]*T[0-9:]*Z ([0-9]* s ago)/TIME (AGE)/
		s/[0-9][0-9]* refused/N refused/; s/[0-9][0-9]* wait/N wait/'
}

check() {
	mw status --check >"$DIR/check" 2>>"$DIR/check.err"
	echo "check: exit status $?" >>"$DIR/check"
	fixed <"$DIR/check"
}

# check_is STATUS: whether --check ends with this status.
check_is() {
	mw status --check >/dev/null 2>&1
	[ $? = "$1" ]
}

# told TEXT: whether --check tells a line with this text.
told() {
	mw status --check 2>&1 | grep -q "$1"
}

not_told() {
	! told "$1"
}

# Oldest age in seconds that status tells for a line with this text.
age() {
	mw status --check 2>/dev/null | grep "$1" |
		sed -n 's/.*(\([0-9]*\) s ago).*/\1/p'
}

# Whether status tells N running requests of the account.
mw_running() {
	[ "$(mw status | awk '/^west\/acme/ { print $3 }')" = "$1" ]
}

start_fleet
move_leader_off 3
start_endpoint ep1 1 9001 --max-batch=1 --base-us=50000 --out-median=4000 \
	--out-sigma=0.1
start_endpoint ep3 3 9001
wait_for 20 endpoint_serving ep1 1
wait_for 20 endpoint_serving ep3 3

echo "== healthy"
wait_for 20 check_is 0
check
mw status | grep -A 1 '^leader' | sed 's/ctl[12]/LEADER/'
mw status | grep '^cut off'
mw status | grep '^endpoints'

echo "== a queue grows"
# asks N ROUTE: that many callers at once, for long answers.
asks() {
	for i in $(seq "$1"); do
		spawn "ask-$2-$i" "$B/mw-caller" --tries=1 \
			--entries=127.0.$NET.1:$CALL_PORT \
			--key-file="$DIR/caller.key" --model="$2" \
			--prompt="F$i" --max-tokens=2000
	done
}
queues() {
	mw status | awk '/^QUEUE OF/ { p = 1; next } /^$/ { p = 0 }
		p { print $1, $2 }'
}
queues_are() {
	[ "$(queues | tr '\n' ' ')" = "$1" ]
}
mw --id=q1 tree set ranks/normal queue_max 6 >/dev/null
asks 1 write-up
wait_for 10 mw_running 1
asks 6 write-up
asks 3 lookup
wait_for 10 queues_are "urgent 3 normal 6 "
queues
mw status | awk '/^west\/acme/ { print $1, "running", $3, "waiting", $4 }'
check_is 5 && echo "check: exit status 5"
caller 1 --model=write-up --prompt="one too many" --max-tokens=5 --tries=1 |
	outcome
check | grep -A 2 "queue of rank"

echo "== an endpoint dies"
kill -9 "$(pid ep1)"
wait_for 20 told "ep1 in dc1 is suspected, since"
check | grep -A 2 "^degraded: endpoint ep1"
wait_for 30 told "ep1 in dc1 is considered dead, since"
check | grep -A 2 "^degraded: endpoint ep1"
for ask in $(awk '/^ask/ { print $2 }' "$PIDS"); do
	kill "$ask" 2>/dev/null
done

echo "== a control process is lost"
kill -9 "$(pid ctl3)"
wait_for 20 told "2 of 3 voters"
check | grep -A 2 "^degraded: .* voters"
mw status | grep '^voter' | fixed | tr -s ' '
mw status 2>/dev/null | awk '$1 == "ctl3" { print $1, $2, $3, $4, $5 }'
sleep 2
[ "$(mw status --json 2>/dev/null | tr -d ' \n' |
	sed -n 's/.*"name":"ctl3","dc":"dc3","why":"nothea[^}]*"age_s":\([0-9]*\).*/\1/p')" -ge 2 ] &&
	echo "its age grows"
start_control 3
wait_for 20 not_told voters && echo "no voter is missing"
# A host that changes its hub counts in no island for three seconds.
hub_is_back() {
	grep 'is the hub of this host' "$DIR/entry3.log" | tail -n 1 |
		grep -q 'ctl3 is'
}
wait_for 30 hub_is_back

echo "== a data centre is cut off"
cut_dc3 both
wait_for 30 told "data centre dc3: not connected, serves as an island, since"
check | grep -A 2 "^degraded: data centre dc3"
# The leader notes a cut within a second.
before=$(age "data centre dc3")
sleep 3
[ "$(age "data centre dc3")" -ge $((before + 2)) ] && echo "its age grows"
mw status 2>>"$DIR/check.err" | grep -E '^(data_centre|host|voter) ' | fixed | tr -s ' '
mw --id=s1 --leave-out=dc3 tree set accounts/west/acme weight 200 2>&1
wait_for 15 told "was left out by name"
check | grep -A 2 "^degraded: entry3"

echo "== restored"
cut_dc3 none
start_endpoint ep1 1 9001
# The queue's refusals are told for a minute.
wait_for 70 check_is 0
check
