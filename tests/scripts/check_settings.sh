# The check of settings against running processes.  Guards against findings on
# the settings of a running fleet, against differences to other settings than
# those in force, and against a check that changes settings.
NET=152
. tests/scripts/lib.sh

check() {
	mw check "$@" 2>/dev/null
	echo "status $?"
}

start_fleet
cd "$DIR" || exit
case $B in /*) ;; *) B=$OLDPWD/$B ;; esac
echo "== the settings in force"
mw tree get --json >tree
check tree
echo "== edits"
echo '{"accounts/west/acme":{"weight":7}}' >edits
check edits
check edits --json
echo '{"accounts/west/acme":{"weight":0}}' >bad
check bad
mw tree get --json | cmp - tree && echo "nothing has changed"
echo "== no answer"
check edits --admin=127.0.$NET.9:1
