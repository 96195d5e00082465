#!/bin/sh
# Runs a case: run.sh FOLDER CLASS [inherit]. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$1
standins=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$standins/../.." && pwd)
if [ ! -f "$root/balancer/target/calicochute.jar" ] || [ ! -x "$standins/target/listen" ]; then
    echo "could not run: the balancer or review/build-2.sh was not built"
    exit 2
fi
holder=
if [ "${3:-}" = inherit ]; then
    holder="$standins/target/listen"
fi
exec $holder java -Xmx512m -Dreview.root="$root" -cp "$standins/target/classes" "review2.$2" "$folder/record.txt"
