#!/usr/bin/env bash
# Mutation tests: each mutation disables one mechanism in a scratch copy of the source and runs a test that must then fail.
# Usage: scripts/red.sh [NAME…]; without names, all mutations run.
# Exits non-zero if a test still passes, a substitution no longer matches the source, or the mutated copy does not build.
set -uo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
status=0

# red NAME TEST PACKAGE FILE CHANGE [FILE CHANGE…]: applies the changes to the files of a copy and runs TEST in PACKAGE.
# A change is a Perl substitution on the whole file; it must match at least once.
red() {
  local name=$1 test=$2 package=$3
  shift 3
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
  if (cd "$copy" && go test -count=1 -timeout 120s "./$package" -run "$test" >"$copy.log" 2>&1); then
    echo "$name: $test stays GREEN without the mechanism"
    status=1
  elif grep -q 'build failed' "$copy.log"; then
    echo "$name: does not build"
    status=1
  else
    echo "$name: $test is red without the mechanism: $(grep -m1 -oE '_test.go:[0-9]+: .{0,110}|panic: .{0,80}' "$copy.log")"
  fi
}

wanted=("$@")
red order TestOrderAcrossNodes internal/proof/hgproof \
  hgprogram/shard.go 's/case c\.Seq > p\.nextSeq \|\| p\.open != nil:/case p.open != nil:/'
red history TestHistorySurvivesKills internal/proof/hgproof \
  internal/serve/hgowner/call.go 's/(func \(o \*Owner\) confirm.*?\{\n)/$1\tif s.epoch == epoch {\n\t\treturn nil\n\t}\n/'
red budget TestBudgetHolds internal/proof/hgproof \
  hgprogram/shard.go 's/root\.spent\+root\.reserved\)/root.spent)/'
red memory TestEngineMemoryIsReleased internal/proof/hgproof \
  internal/serve/hgowner/ownership.go 's/orders = k\.Tick\(now\)\n/_ = k\n/'
red whole TestWholeAnswers internal/proof/hgproof \
  internal/serve/hgendpoint/http.go 's/return c, &Error\{Sent: true, Cut: true, Err: fmt\.Errorf\("answer stream truncated.*?\n/return endOfStream(c, text.String(), true)\n/'
red notRun TestNotRunNeverRuns internal/proof/hgproof \
  hgprogram/program.go 's/(if t\.result\.State == hgcall\.NotRun \{\n)/$1\t\tdelete(p.byRequest, t.request)\n/'
red once 'TestAtMostOnce/owner_killed,_fencing_false' internal/proof/hgproof \
  internal/serve/hgowner/resolve.go 's/if c\.Idempotent \{/if c.Idempotent || true {/' \
  hgprogram/shard.go 's/t == nil \|\| !t\.idempotent/t == nil/'
red fences TestNextOwnerResolvesAnOpenCall internal/serve/hgowner \
  internal/serve/hgowner/resolve.go 's/ && o\.cfg\.Fencing\[id\]//'
red withdraw TestNextOwnerResolvesAnOpenCall internal/serve/hgowner \
  internal/serve/hgowner/resolve.go 's/case a\.unrun && !started:/case false:/'
red resend TestRequestIsNeverSentTwice internal/serve/hgendpoint \
  internal/serve/hgendpoint/http.go 's/r\.GetBody = nil/r.Header.Set("Idempotency-Key", request)/' \
  internal/serve/hgendpoint/http.go 's/DisableKeepAlives: true/DisableKeepAlives: false/'
red leaving TestLeavingEndpointGetsNoNewWork internal/proof/hgproof \
  internal/peer/hgnode/endpoint.go 's/n\.sched\.SetLeaving\(e\.ID, leaving\)\n//'
red drain TestGracefulStop internal/proof/hgproof \
  cmd/hyssopgrade/node.go 's/err = n\.Drain\(ctx\)/_ = ctx/'
red race TestPresetRaces internal/proof/hgproof \
  hgpreset/choose.go 's/t := hgstore\.Txn\{\n\s*Conditions: [^\n]*\n/_ = version\n\tt := hgstore.Txn{\n/'
red revert 'TestPresetNeverReverts|TestNoWorkUnderUnconfirmedPreset' internal/proof/hgproof \
  hgpreset/gate.go 's/return g\.Age\(now\) <= g\.bound/return true/'
red quarantine TestCrashingRequest internal/proof/hgproof \
  hgquarantine/list.go 's/case !ok \|\| e\.cleared:/case !ok || e.deaths > 0 || e.cleared:/'
red turns TestCrashingCopiesAtOnce internal/proof/hgproof \
  hgquarantine/turns.go 's/now-r\.since < exclusiveFor \{\n\t\treturn false/now-r.since < exclusiveFor {\n\t\treturn true/'
red epochs TestTakeoverKeepsWhatWasCommitted internal/state/hgjournal \
  internal/state/hgjournal/committer.go 's/\n[^\n]*Key: ShardKey\(e\.Shard\), Version[^\n]*//'
red cut TestSupersededOwnerDispatchesNothing internal/proof/hgproof \
  internal/state/hgjournal/committer.go 's/\n[^\n]*Key: ShardKey\(e\.Shard\), Version[^\n]*//'
red lostReply TestTakeoverKeepsWhatWasCommitted internal/state/hgjournal \
  internal/state/hgjournal/committer.go 's/conflict = !applied/_ = applied/'
red hung TestHungTool internal/proof/hgproof \
  internal/serve/hgowner/job.go 's/context\.WithTimeout\(j\.o\.ctx, [^\n]*/context.WithTimeout(j.o.ctx, time.Hour)/'
red outage TestStoreOutage internal/proof/hgproof \
  internal/serve/hgowner/call.go 's/context\.WithTimeout\(ctx, o\.cfg\.Limits\.CommitWait\)/context.WithTimeout(ctx, time.Minute)/'
red entryOnce TestReplicaFaults internal/proof/hgsite \
  internal/serve/hgentry/send.go 's/return x\.route\.Repeatable\(\) && x\.sent/return x.sent/'
red entryHead TestReplicaFaults internal/proof/hgsite \
  internal/serve/hgentry/stream.go 's/if err := x\.copyEvents\(s, t\)/x.copyHead(t.resp)\n\tif err := x.copyEvents(s, t)/'
red entryStranger TestReplicaFaults internal/proof/hgsite \
  internal/serve/hgentry/send.go 's/mismatched := /mismatched := false \&\& /'
red entryForged TestForgedHeaders internal/proof/hgsite \
  platform/request.go 's/h\.Del\(name\)/_ = name/'
red teamKey TestKeysOfTeams internal/proof/hgsite \
  platform/team.go 's/h\.Del\(headerKey\)//'
red teamForged TestKeysOfTeams internal/proof/hgsite \
  platform/team.go 's/h\.Del\(headerTeam\)//'
red teamRedact TestKeysOfTeams internal/proof/hgsite \
  platform/team.go 's/r\.Value = RedactDesired\(r\.Value\)//'
red teamQueue TestKeyRemovedInQueue internal/proof/hgsite \
  internal/serve/hgentry/team.go 's/(reauthorize\(\) \(team hgteam\.Team, err error\) \{\n.*?\n\tif )s\.Teams == nil/$1true/'
red teamTurn TestRetainedTurnsOfTeams internal/proof/hgsite \
  internal/state/hgturn/tree.go 's/ \|\| turn\.Team == team/ || true/'
red entryStop TestGracefulStop internal/proof/hgsite \
  internal/operate/hgentryvm/node.go 's/time\.Sleep\(leave - \(n\.timer\.Now\(\) - began\)\)/n.Close()/'
red ledgerVersion TestBudgetHolds internal/state/hgledger \
  internal/state/hgledger/row.go 's/conditions: \[\]hgstore\.Condition\{\{Key: key, Version: p\.version\}\},//'
red ledgerUnwritten TestBudgetHolds internal/state/hgledger \
  internal/state/hgledger/offline.go 's/a\.Mine = q\.Most/a.Mine = q.Budget/'
red ledgerNotFound TestTurnNotFound internal/state/hgledger \
  internal/state/hgledger/history.go 's/case err != nil:\n\t\t\treturn nil, Undecided, err/case err != nil:\n\t\t\treturn nil, NoTurn, err/' \
  internal/state/hgledger/history.go 's/return nil, Undecided, err\n\t\t\}\n\t\town/return nil, NoTurn, err\n\t\t}\n\t\town/'
red ledgerParts TestSilentPart internal/state/hgledger \
  internal/state/hgledger/row.go 's/alternates = 5/alternates = 0/'
red feedGap TestWatch internal/state/hgfeed \
  internal/state/hgfeed/feed.go 's/w\.listed = false\n\t\tw\.mu\.Unlock/w.mu.Unlock/'
red hedge TestCommitSentAgain internal/state/hghedge \
  internal/state/hghedge/table.go 's/maxSends = 4/maxSends = 1/'
red crash TestCrashingRequest internal/proof/hgsite \
  internal/serve/hgsuspect/list.go 's/maxCrashes = 3/maxCrashes = 1000/'
red crashExchange TestFleetLearnsOfCrashingRequest internal/peer/hgpeer \
  internal/serve/hgsuspect/exchange.go 's/if offer\.Print != l\.fingerprint \{/if false {/'
red crashRows TestCrashingRequestOverTotalLoss internal/proof/hgsite \
  internal/operate/hgentryvm/suspect.go 's/s\.Load\(records\)/_ = records/'
red crashCaller TestOtherRequestsServedBesideCrashingRequest internal/proof/hgsite \
  internal/serve/hgsuspect/request.go 's/return \[\]uint64\{r\.Content, r\.Caller\}/return []uint64{r.Content}/'
red crashAgain TestCrashingCopiesUnderWayAreCheckedAgain internal/proof/hgsite \
  internal/serve/hgentry/send.go 's/refused \|\| x\.sent > 0 && !x\.entry\.suspects\.MayRetry\(x\.digests\) \{/refused \&\& false {/'
red crashCopies TestCrashingCopiesUnderWayAreCheckedAgain internal/proof/hgsite \
  internal/serve/hgentry/send.go 's/ \|\| x\.sent > 0 && !x\.entry\.suspects\.MayRetry\(x\.digests\) \{/ {/'
red crashEnds TestOneEndUnderEqualRequestsBarsNoOtherProgram internal/proof/hgsite \
  internal/serve/hgsuspect/list.go 's/l\.ends\.observe\(r\.Run, now\)/l.ends.observe(Run{}, now)/'
red crashChain TestCrashingTurnBarsNoTurnWithOtherHistory internal/proof/hgsite \
  internal/serve/hgentry/entry.go 's/x\.attempt\.Object, x\.previous\(\), x\.body/x.attempt.Object, "", x.body/'
red crashNews TestCompletionBeforeNewsOfCrashes internal/serve/hgsuspect \
  internal/serve/hgsuspect/exchange.go 's/\tl\.addProof\(r\.Digest, e, now\)\n//'
red crashBlame TestBystanderOfCrashingRequestIsServed internal/proof/hgsite \
  internal/serve/hgsuspect/list.go 's/ && !l\.isExplained\(digest, e, now\)//'
red crashUnblamed TestBystandersAreNotRefused internal/serve/hgsuspect \
  internal/serve/hgsuspect/blame.go 's/maxUnblamed = 6/maxUnblamed = 600/'
red crashFailing TestFewEndsAreNoFailingService internal/serve/hgsuspect \
  internal/serve/hgsuspect/outcomes.go 's/ && len\(crashes\) >= minCrashing && len\(crashes\) > ended/ \&\& len(crashes) > ended/'
red crashSilent TestCrashingRequestThatEndsReplicasSilently internal/proof/hgsite \
  internal/operate/hgentryvm/node.go 's/n\.replicas\.OnEnd\(n\.suspects\.replicaEnded\)\n//'
red silentPeers TestMembers internal/peer/hgpeer \
  internal/peer/hgpeer/members.go 's/limit := participantTimeout/limit := maxMissedBeats * remoteBeatPeriods * m.period()/'
red saysLeaving TestLeavingReplicaSaysSoInAnswers internal/proof/hgsite \
  internal/serve/hgreplica/leaving.go 's/r\.announcedLeaving = true/r.announcedLeaving = false/'
red lapse TestWatchOutage internal/state/hgfeed \
  internal/state/hgfeed/feed.go 's/return max\(w\.recoveredAt\+outageGrace-w\.timer\.Now\(\), 0\)/return outageGrace/'
red full TestNewProgramsWait internal/proof/hgsite \
  internal/serve/hgplacer/placer.go 's/return load >= FullLoad(Urgent)?/return load > 1000/g'
# Without the window the test is granted places until its timeout; the sleep keeps its memory small meanwhile.
red placerWindow TestPlaceWaits internal/serve/hgplacer \
  internal/serve/hgplacer/placer.go 's/a\.Want\.Window, a\.Rank\.Arrived = Window, p\.timer/time.Sleep(time.Millisecond)\n\ta.Rank.Arrived = p.timer/'
red placerLeave TestPlaceWaits internal/serve/hgplacer \
  internal/serve/hgplacer/placer.go 's/h\.lease\.Apply\(o\)/_ = h/'
red placerOverdue TestOverdue internal/serve/hgplacer \
  internal/serve/hgplacer/placer.go 's/now >= h\.until/false/'
red placerDies TestPlacerDies internal/proof/hgsite \
  internal/peer/hgpeer/places.go 's/release\(hgreplica\.Outcome\{\}\)\n\t\treturn p\.pickLocally\(a\)\n\tcase reply/return nil, hgplacer.Expired\n\tcase reply/'
red errors TestFailingReplicaGetsFewRequests internal/proof/hgsite \
  internal/serve/hgreplica/set.go 's/r\.streak\+\+\n\tswitch/switch/'
red fetch TestHelpersFetch internal/proof/hgsite \
  platform/request.go 's/h\.Set\(headerFetch, s\.FetchFrom\)/_ = s/'
red hearsay TestFleet internal/peer/hgpeer \
  internal/peer/hgpeer/claim.go 's/p\.info\.Domain != m\.self\.Domain && isClaimed\(p\.info\.Name, remoteSources\)/isClaimed(p.info.Name, m.freshSources(now))/'
red behind TestWatchBehind internal/state/hgfeed \
  internal/state/hgfeed/poll.go 's/now-w\.peerVersionAt > maxLag/false/'
red silentStore TestWatchSilentStore internal/state/hgfeed \
  internal/state/hgfeed/poll.go 's/p\.cancel != nil && p\.wait > DefaultWait/p.cancel != nil/'
red endless TestEndlessAnswers internal/proof/hghostile \
  internal/serve/hgmemory/pool.go 's/p\.unused == 0/p.unused < -1<<30/'
red callerTime TestTimeHandedOn internal/proof/hgsite \
  platform/request.go 's/s\.Left\.Milliseconds\(\)/(2 * s.Left).Milliseconds()/'
red callerLeaves TestCallerLeaves internal/proof/hgsite \
  internal/serve/hgentry/entry.go 's/context\.WithTimeout\(x\.r\.Context\(\)/context.WithTimeout(context.WithoutCancel(x.r.Context())/'
red storeHedge TestProgramsBeginWithoutStore internal/proof/hgsite \
  internal/state/hgledger/reserve.go 's/hedgeDelay = 50 \* time/hedgeDelay = 5000 * time/' \
  internal/state/hgledger/reserve.go 's/return 0\n\t\}\n\treturn hedgeDelay/return hedgeDelay\n\t}\n\treturn hedgeDelay/'
red extension TestReservationIsExtended internal/proof/hgsite \
  internal/serve/hgentry/reservation.go 's/\|\| tokens <= 0 \{/|| tokens > 0 {/'
red storeBack TestReadyWhenStoreIsBack internal/proof/hgsite \
  internal/operate/hgentryvm/reach.go 's/w\.Retry\(\)/_ = w/'
red peerEnded TestAskPeerThatHasEnded internal/peer/hgpeer \
  internal/peer/hgpeer/backup.go 's/case HasEnded\(answer\.err\):/case false:/'
red votesWithoutRow TestOnlyMembersVote internal/peer/hgpeer \
  internal/peer/hgpeer/electorate.go 's/ok && p\.registered/ok/'
red votesOfStopping TestOnlyMembersVote internal/peer/hgpeer \
  internal/peer/hgpeer/electorate.go 's/ && !p\.info\.Stopping\n/\n/'
red removal TestProgramsGoOnWhenHalfOfVMsAreGone internal/proof/hgsite \
  internal/operate/hgentryvm/register.go 's/gone := n\.members\.RowsToRemove\(\)/gone := n.members.RowsToRemove()[:0]/'
red pause TestVMThatDidNotRunRemovesNobody internal/peer/hgpeer \
  internal/peer/hgpeer/electorate.go 's/p\.added, m\.observesSince\)/p.added)/'
red hubLoss TestLossOfHubsRemovesNoLiveVM internal/peer/hgpeer \
  internal/peer/hgpeer/electorate.go 's/ \|\| m\.isLarge\(\) && !m\.hearsOwnDomain\(now\)//'
red rowAge TestVMVotesAtOnceOnlyForARowThatOthersCount internal/proof/hgsite \
  internal/operate/hgentryvm/register.go 's/old\.Registered/old.Started/'
red silentEnd TestSilentEndIsOneCrash internal/serve/hgsuspect \
  internal/serve/hgsuspect/ends.go 's/ended = r\.Ended/ended = now/'
red shortTurns TestBudgetHoldsInCuts internal/state/hgledger \
  internal/state/hgledger/reserve.go 's/max\(min\(q\.Tokens, p\.account\.Available\(\)\), 0\)/q.Tokens/'
red settled 'TestStoppedProgramExceedsBudgetOnce/planned' internal/state/hgledger \
  internal/state/hgaccount/account.go 's/a\.Others > a\.Settled && a\.Settled\+own/a.Others > 0 \&\& own/'
red excessTold 'TestStoppedProgramExceedsBudgetOnce/killed' internal/state/hgledger \
  internal/state/hgledger/offline.go 's/if q\.Excess \{/if false {/'
red excessInformed TestBudgetIsExceededOnce$ internal/state/hgledger \
  internal/state/hgledger/offline.go 's/!l\.informed\(\), l\.asks/false, l.asks/' \
  internal/state/hgledger/ledger.go 's/isNew := l\.informed\(\) && /isNew := /'
red excessStop TestBudgetIsExceededOnce$ internal/state/hgledger \
  internal/state/hgledger/return.go 's/return p\.unsaved \|\| /return /'
red lateStop TestRequestLateInStop internal/proof/hgsite \
  internal/serve/hgentry/stop.go 's/return x\.deadline > end/return false/'
red lastAnswers 'TestRequestLateInStop/check_that_does_not_end' internal/proof/hgsite \
  internal/serve/hgentry/stop.go 's/e\.stop\.end\(\)/_ = e/'
red capLease TestLeaseExpires internal/serve/hgcap \
  internal/serve/hgcap/lease.go 's/now >= t\.leases\[0\]\.until/false/'
red capOwners TestOwnersOfTeamsChange internal/peer/hgpeer \
  internal/peer/hgpeer/caps.go 's/c\.members\.Suspect\(peer\.Name\)/_ = peer/'
red capPrograms TestHotTeamFinishesPrograms internal/serve/hgcap \
  internal/serve/hgcap/owner.go 's/most := min\(t\.starts\.tokens, /most := min(math.Inf(1), /'
exit "$status"
