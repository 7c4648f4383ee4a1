#!/bin/sh
# Runs cases five times each, with and without the disruption, and prints how each run ended.
#     sh review/repeat-2.sh 6 7
cd "$(dirname "$0")/.." || exit 2
for case in "$@"; do
    for trouble in 1 0; do
        for run in 1 2 3 4 5; do
            TROUBLE=$trouble sh "review/$case/run.sh" >"/tmp/case-$case.out" 2>&1
            echo "case $case TROUBLE=$trouble run $run: exit $? $(tail -n 1 "/tmp/case-$case.out")"
        done
    done
done
