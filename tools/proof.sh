#!/bin/sh
# Long randomised runs with invariant checks: proof.sh BUILD [SEED [SECONDS]].
# Runs the randomised unit programs and then a run with faults on real
# processes, each with the seed.  Prints one line for each; the exit status
# is 1 if any failed.
B=$1
SEED=${2:-1}
LENGTH=${3:-60}
failed=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# report NAME STATUS DETAILS
report() {
	if [ "$2" -eq 0 ]; then
		echo "ok   $1: seed $SEED: $3"
	else
		failed=1
		echo "FAIL $1: seed $SEED: $3"
		tail -n 60 "$log"
	fi
}

for t in "$B"/tests/test_*_random; do
	# A program that knows no MW_SECONDS takes the number of seeds; both
	# start at MW_SEED and are ended when they take far too long.
	seeds=$((LENGTH * 10))
	MW_SEED=$SEED MW_SEEDS=$seeds MW_SECONDS=$LENGTH CK_FORK=no \
		timeout $((LENGTH * 10 + 300)) "$t" >"$log" 2>&1
	report "$(basename "$t")" $? "$LENGTH s or $seeds seeds"
done

sh tools/fault_run.sh "$B" "$SEED" "$LENGTH" >"$log" 2>&1
status=$?
report fault_run $status "$(grep '^fault run:' "$log" | sed 's/.*rounds/rounds/; s/fault run: seed [0-9]*, //')"
exit $failed
