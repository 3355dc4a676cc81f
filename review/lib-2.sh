# Functions for the scripts of review/6 to review/10; source it with CASE set to
# the folder of the case.  Run from any folder, after the build of
# deploy/system.toml and review/build-2.sh.
#
# A small deployment on loopback addresses: three core machines, two fronts, and
# stand-ins of servers.  Everything that was started is ended by its id, and the
# temporary folder is removed.
CASE=$(cd "$CASE" && pwd)
cd "$CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
PROGRAM=target/mustardwalld-platform
STANDIN=target/review-2/standin-2
RECORD=$CASE/record.txt
[ -x "$PROGRAM" ] && [ -x "$STANDIN" ] || {
	echo "build first: the deploy file, then review/build-2.sh"
	exit 2
}
DIR=$(mktemp -d) || exit 2
PIDS=
finish() {
	code=$?
	for p in $PIDS; do kill -KILL "$p" 2>/dev/null; done
	kill -TERM $WATCHDOG 2>/dev/null
	for p in $PIDS $WATCHDOG; do
		while kill -0 "$p" 2>/dev/null; do sleep 0.05; done
	done
	rm -rf "$DIR"
	exit "$code"
}
trap finish EXIT
trap 'exit 2' INT TERM
# watchdog PID: ends a run that takes too long, with 2.
watchdog() {
	sleep 100 &
	sleeper=$!
	trap 'kill "$sleeper"; exit' TERM
	wait "$sleeper"
	kill -TERM "$1"
}
watchdog $$ >/dev/null 2>&1 &
WATCHDOG=$!
disown
: >"$RECORD"
note() { echo "$(date +%s.%3N) $*" >>"$RECORD"; }
cannot() {
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# A part of the loopback range in which the ports of all machines are free.
find_net() {
	i=0
	while [ $i -lt 40 ]; do
		k=$((($$ + i * 37) % 20000))
		NET=127.$((70 + k / 200)).$((k % 200 + 1))
		ok=1
		for m in 1 2 3 11 12; do
			"$STANDIN" free $NET.$m 8740 8748 8749 7200 7201 || ok=0
		done
		for m in 31 32 33 34; do "$STANDIN" free $NET.$m 9000 || ok=0; done
		[ $ok = 1 ] && return
		i=$((i + 1))
	done
	cannot "no free ports"
}

# started: remembers the process that was started last.
started() {
	PIDS="$PIDS $!"
	disown
}

# machine NAME CLASS NUMBER ZONE: writes the settings of a machine of the site
# cascade-pat and starts its process, as deploy/system.toml says.
machine() {
	case $2 in
	core) serves=control memory=256 disk=128 counts=true ;;
	*) serves=front memory=260 disk=0 counts=false ;;
	esac
	cat >"$DIR/$1.conf" <<END
node_name=$1
role=$serves
machine_class=$2
serves=$serves
ip=$NET.$3
zone=$4
region=${4%-a}
zones.puget-a=puget
zones.willamette-a=willamette
zones.inland-a=inland
listen.front=$NET.$3:8740
listen.ready=$NET.$3:8749
listen.control=$NET.$3:8748
internal_port_range=7200,7215
seeds=$NET.1:8748,$NET.2:8748,$NET.3:8748
bootstrap=${BOOTSTRAP:-true}
data_dir=$DIR/$1.data
counts_toward_loss=$counts
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=$memory
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=$disk
discovery=registry
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.contact_ms=4000
bounds.drain_ms=2500
bounds.grace_s=8
bounds.config_apply_ms=2500
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=56
config_mode=highest
END
	MUSTARDWALL_NODE_FILE="$DIR/$1.conf" "$PROGRAM" >"$DIR/$1.log" 2>&1 &
	started
}

# server NUMBER ID DELAY_S [SERVICE]: starts a server, of tag-ledger by default.
server() {
	"$STANDIN" serve "$2" "${4:-tag-ledger}" "$NET.$1:9000" \
		"$NET.1:8748,$NET.2:8748,$NET.3:8748" "$3" "$RECORD" &
	started
}

configuration() {
	cat <<END
{"version":7,"routes":[{"name":"r-cert","host":"ficu95.example","path_prefix":"/cert/","kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":300,"priority":2,"service":"tag-ledger","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"tag-ledger","health_path":"/h","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"acme","api_keys":["key-of-acme"],"priority":1},{"name":"beta","api_keys":["key-of-beta"],"priority":1}]}
END
}

# http ADDRESS METHOD PATH FILE: sends a call; prints the status.
http() {
	{
		printf '%s %s HTTP/1.1\r\nHost: %s\r\n' "$2" "$3" "$1"
		printf 'Content-Type: application/json\r\nConnection: close\r\n'
		printf 'Content-Length: %d\r\n\r\n' "$(wc -c <"$4")"
		cat "$4"
	} >"$DIR/call"
	"$STANDIN" send "$1" "$DIR/call" 2 | sed -n '1s/^HTTP.1.1 \([0-9]*\).*/\1/p'
}

# request FRONT ID [HEADERS]: sends a request of tenant acme with further header
# lines (each with its \r\n), notes the answer, and sets STATUS.  TARGET: its
# path, /cert/issue.
request() {
	printf 'POST '"${TARGET:-/cert/issue}"' HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Key: key-of-acme\r\nX-Deadline-Ms: 5000\r\n%bConnection: close\r\nContent-Length: 4\r\n\r\nbody' \
		"$2" "${3:-}" >"$DIR/request"
	[ -z "${QUIET:-}" ] && note "client sends id=$2 to front $1, further headers: ${3:--}"
	"$STANDIN" send "$NET.$1:8740" "$DIR/request" 6 >"$DIR/answer"
	STATUS=$(sed -n '1s/^HTTP.1.1 \([0-9]*\).*/\1/p' "$DIR/answer")
	[ -z "${QUIET:-}" ] && note "client gets id=$2 status=${STATUS:-none}"
	[ "$STATUS" = 200 ]
}

# machines: starts all machines.
# deployment: starts the machines and two servers and waits until both fronts
# serve.
machines() {
	machine core-puget-a-1 core 1 puget-a
	machine core-willamette-a-1 core 2 willamette-a
	machine core-inland-a-1 core 3 inland-a
	machine front-puget-a-1 front 11 puget-a
	machine front-willamette-a-1 front 12 willamette-a
}
deployment() {
	find_net
	machines
	MACHINES=$PIDS
	server 31 i-31 0
	S31=$!
	server 32 i-32 0
	configuration >"$DIR/config"
	i=0
	until [ "$(http "$NET.1:8748" PUT /config "$DIR/config")" = 200 ]; do
		i=$((i + 1))
		[ $i -lt 60 ] || cannot "no configuration was acknowledged"
		sleep 0.3
	done
	for f in 11 12; do
		i=0
		until QUIET=1 request $f "warm-$f-$i"; do
			i=$((i + 1))
			[ $i -lt 60 ] || cannot "front $f does not serve"
			sleep 0.3
		done
	done
	# contact_ms is 4 s: from here on all machines are in touch.
	sleep 5
	# Of what came before, only the births of the servers are kept.
	grep ' announces itself, born=' "$RECORD" >"$DIR/births"
	cat "$DIR/births" >"$RECORD"
	note "deployment serves, TROUBLE=$TROUBLE"
}
