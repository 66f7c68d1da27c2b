#!/usr/bin/env bash
# Checks every model with spin. Fails if a model violates an invariant or if a broken variant violates none.
# Requires spin and gcc.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL [VARIANT] checks one model and prints the number of errors and the number of stored states.
verify() {
  local dir="$work/$1-${2:-unmodified}"
  mkdir -p "$dir"
  cp "$1.pml" "$dir/"
  (
    cd "$dir"
    spin ${2:+-D"$2"} -a "$1.pml" >/dev/null
    gcc -O2 -DSAFETY -o pan pan.c 2>/dev/null
    ./pan -m100000 -E | awk '/errors:/ { e = $NF } /states, stored/ { s = $1 } END { print e, s }'
  )
}

failed=0

# check MODEL VARIANT... checks a model and its broken variants, and sets failed on an unexpected verdict.
check() {
  local model=$1 errors states
  shift
  read -r errors states < <(verify "$model")
  printf '%-10s %-24s %8s states  %s errors\n' "$model" "unmodified" "$states" "$errors"
  [ "$errors" = 0 ] || failed=1
  local variant
  for variant in "$@"; do
    read -r errors states < <(verify "$model" "$variant")
    printf '%-10s %-24s %8s states  %s\n' "$model" "$variant" "$states" "$([ "$errors" = 0 ] && echo 'NOT CAUGHT' || echo caught)"
    [ "$errors" != 0 ] || failed=1
  done
}

check attempts NO_STRIKE NO_KNOWN NO_INCARNATION ATTACH_ANY_INCARNATION
check claims NO_CLAIM LOST_IS_DONE RELEASE_ANY
check rules BLIND_RETRY BLIND_WRITE TAKE_ANY
check loads PIN_ANY NO_FENCE NO_DIGEST
exit $failed
