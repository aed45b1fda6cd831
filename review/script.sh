#!/usr/bin/env bash
# Usage: script.sh CASE FOLDER. Plays a case of review/standin and ends every process that it has started.
set -uo pipefail
cd "$(dirname "$0")/.."
name=$1 folder=$2
if [ ! -x target/almondgrade ] || [ ! -x target/review-standin ]; then
  echo "build the programs first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
REVIEW_PIDS=$(mktemp)
export REVIEW_PIDS
timeout -k 2 112 target/review-standin "$name" "$folder/record.txt"
code=$?
while read -r pid; do
  [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/almondgrade" ] && kill -KILL "$pid" 2>/dev/null
done < "$REVIEW_PIDS"
rm -f "$REVIEW_PIDS"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
