#!/usr/bin/env bash
# Ablation: each entry switches one mechanism off in a scratch copy of the source and runs a command there, such as a play of
# a bench, so that the product needs no switches. The entry "none" changes nothing.
# Usage: scripts/ablate.sh NAME… -- COMMAND…; the command finds the entry's name in ABLATED. Without a name, all entries run.
# Exits non-zero if a substitution no longer matches the source or a copy does not build.
set -uo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
status=0
wanted=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do
  wanted+=("$1")
  shift
done
[ $# -gt 0 ] && shift
command=("$@")
[ ${#command[@]} -gt 0 ] || { echo "usage: scripts/ablate.sh [NAME…] -- COMMAND…"; exit 2; }

# ablate NAME [FILE CHANGE…]: applies the changes, Perl substitutions on whole files, to a copy and runs the command in it.
ablate() {
  local name=$1
  shift
  [ ${#wanted[@]} -eq 0 ] || [[ " ${wanted[*]} " == *" $name "* ]] || return 0
  local copy="$dir/$name"
  mkdir -p "$copy"
  git ls-files -z | xargs -0 cp --parents -t "$copy"
  while [ $# -gt 0 ]; do
    if ! perl -0pi -e "\$n = $2; END { exit(\$n ? 0 : 9) }" "$copy/$1"; then
      echo "$name: the change of $1 does not fit"
      status=1
      return 0
    fi
    shift 2
  done
  if ! (cd "$copy" && go build ./...); then
    echo "$name: does not build"
    status=1
    return 0
  fi
  (cd "$copy" && git init -q . && ABLATED=$name "${command[@]}")
  rm -rf "$copy"
}

ledger=internal/state/hgledger
peer=internal/peer/hgpeer
ablate none
ablate hedgedOpening $ledger/reserve.go 's/hedgeDelay = 50 \* time/hedgeDelay = 5000 * time/' \
  $ledger/reserve.go 's/return 0\n\t\}\n\treturn hedgeDelay/return hedgeDelay\n\t}\n\treturn hedgeDelay/'
ablate reservationsByNeed $ledger/offline.go 's/if q\.Extendable && !q\.Whole \{/if false {/'
ablate holder $ledger/reserve.go 's/return !q\.KnownOnly && p\.account\.Mine == 0/return false/'
ablate probes internal/operate/hgentryvm/reach.go 's/now-n\.probedAt < probePeriod/true/'
ablate watchesAtOnce internal/operate/hgentryvm/reach.go 's/w\.Retry\(\)/_ = w/'
ablate ownersByPartition $peer/owner.go 's/strconv\.Itoa\(hgledger\.Partition\(program\)\)/program/' \
  $peer/owner.go 's/\t"strconv"\n//' $peer/owner.go 's/\n\t"hyssopgrade\/internal\/state\/hgledger"\n//'
ablate settledOwners $peer/owner.go 's/if 2\*len\(settled\) < len\(nodes\) \{/if true {/'
ablate endedPeers $peer/backup.go 's/case !hasEnded\(answer\.err\):/default:/'
ablate grantsWithoutRows $ledger/offline.go 's/return a\.Sole > 0 && /return false \&\& /'
ablate claimsAhead internal/state/hgaccount/account.go 's/\+max\(rest, 0\)\/2//'
ablate partitionFailover $ledger/row.go 's/alternates = 5/alternates = 0/'
ablate repeatedStoreCalls internal/state/hghedge/table.go 's/maxSends = 4/maxSends = 1/'
ablate placer $peer/owner.go 's/return best, best\.Name == m\.self\.Name \|\| best\.Name == ""/return m.self, true/'
ablate queueOrder internal/serve/hgplacer/queue.go 's/case r\.Late != o\.Late:.*?\t\}\n/}\n/s'
ablate newProgramLimits internal/serve/hgplacer/placer.go 's/return load >= FullLoad(Urgent)?/return load > 1000/g'
ablate fetchedMemory internal/serve/hgentry/stream.go 's/fetchCharge = 50 \* time\.Microsecond/fetchCharge = 50 * time.Second/'
ablate replicaSuspicion internal/serve/hgreplica/score.go 's/failureCost = 150 \* time\.Millisecond/failureCost = 0 * time.Millisecond/'
ablate secondReplica internal/serve/hgentry/send.go 's/maxTries = 4/maxTries = 1/'
ablate strongVMs $peer/strong.go 's/minStrong = 4/minStrong = 10000/'
exit "$status"
