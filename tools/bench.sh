#!/bin/sh
# Measurements on real processes: bench.sh BUILD [TOPIC...].  Prints tables;
# each can be made again with the command above it.  Asserts no times.
build=${1:-build/release}
[ $# -eq 0 ] || shift
[ $# -gt 0 ] || set -- relay control changes failover ledger recovery accounts register decisions policy
for topic in "$@"; do
	if [ "$topic" = decisions ]; then
		echo "== $build/mw-policy_bench"
		"$build/mw-policy_bench" ops hub
	elif [ "$topic" = policy ]; then
		out=$(mktemp -d)
		echo "== bench/policy.sh $build $out"
		bash bench/policy.sh "$build" "$out"
	else
		echo "== sh bench/$topic.sh $build"
		sh "bench/$topic.sh" "$build"
	fi
	echo
done
