#!/bin/bash
# A server leaves, all processes are killed at once, and a heartbeat of that
# server arrives late.  See claim.txt.
CASE=$(dirname "$0")
. "$CASE/../lib-2.sh"
deployment
now_ms() { date +%s%3N; }
# until_ms MS: waits until so long after the leave was acknowledged.
until_ms() {
	left=$((acked + $1 - $(now_ms)))
	[ $left -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# i-31 says no more, leaves, and goes on serving.
kill -USR1 $S31
i=0
until grep -q 'server=i-31 announced itself for the last time' "$RECORD"; do
	i=$((i + 1))
	[ $i -lt 60 ] || cannot "the server did not stop its heartbeats"
	sleep 0.05
done
: >"$DIR/empty"
answer=$(http "$NET.1:8748" DELETE /instances/i-31 "$DIR/empty")
acked=$(now_ms)
note "DELETE /instances/i-31 answer: $answer"
[ "$answer" = 200 ] || cannot "the leave was not acknowledged"

# 300 ms later all processes of the system are killed; 1 s later they are back.
until_ms 300
if [ "$TROUBLE" != 0 ]; then
	kill -KILL $MACHINES
	note "all processes of the system are killed"
	for p in $MACHINES; do
		while kill -0 "$p" 2>/dev/null; do sleep 0.02; done
	done
	PIDS=$(for p in $PIDS; do case " $MACHINES " in *" $p "*) ;; *) echo "$p" ;; esac; done | tr '\n' ' ')
	until_ms 1300
	BOOTSTRAP=false
	machines
	note "all processes of the system are started"
fi
started=$(now_ms)

# The last heartbeat that i-31 had sent before its leave arrives 2.5 s late.
until_ms 2500
born=$(sed -n 's/.* server=i-31 announces itself, born=\([0-9]*\)/\1/p' "$RECORD" | tail -n 1)
seq=$(sed -n 's/.* server=i-31 announced itself for the last time, seq=\([0-9]*\)/\1/p' "$RECORD")
printf '{"service":"tag-ledger","address":"%s","zone":"z1","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"born":%s,"seq":%s}' \
	"$NET.31:9000" "$born" "$((seq + 1))" >"$DIR/beat"
note "late heartbeat of i-31, seq=$((seq + 1)) born=$born, to core-puget-a-1"
note "answer: $(http "$NET.1:8748" PUT /instances/i-31 "$DIR/beat")"

# All machines are in touch contact_ms (4 s) after their start.
wait_ms=$((started + 4500 - acked))
[ $wait_ms -ge 7000 ] || wait_ms=7000
until_ms $wait_ms
note "requests from here on, $(($(now_ms) - acked)) ms after the acknowledgement"
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
	request 11 "late-$i-a"
	request 12 "late-$i-b"
	sleep 0.05
done

# The rule, by what the servers ran.
ran=$(grep -c ' run id=late-' "$RECORD")
wrong=$(grep -c ' server=i-31 run id=late-' "$RECORD")
note "ran: $ran; at i-31, over 2,500 ms after its leave was acknowledged: $wrong"
[ "$ran" -ge 30 ] || cannot "only $ran requests ran"
if [ "$wrong" -gt 0 ]; then
	echo "DRAIN is broken: $wrong of $ran requests reached i-31, 7 s and more after its leave was acknowledged"
	exit 1
fi
echo "DRAIN held"
