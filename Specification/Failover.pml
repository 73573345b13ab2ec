/* Failover of one database group: lease, revocation, promotion and
 * acknowledgement by copies.
 *
 * Bounds: 3 targets, 2 copies, 2 readings; 1 proxy with callers on the side of
 * the former primary; 2 writes; terms 1 to 3, thus 2 failovers; 1 target that
 * may restart without its log. Messages are steps: any other step may run
 * before a pending one, which covers loss, delay and frozen processes. Time is
 * the single event that the lease expires, which may happen at any moment;
 * control hosts learn of it only afterwards (in LeaseRegistry the lease expires
 * later than in LeaseHolder, by the drift bound).
 *
 * Each of these macros removes one safeguard; spin must then refute the model:
 * NO_LEASE, NO_IN_FORCE, NO_COPIES, NO_READINGS, NO_LOG_TERM,
 * NO_SETTLED.
 *
 * Checked: a write that was acknowledged is in the log of every primary of a
 * later term, and nothing is acknowledged for a term once a later primary was
 * promoted.
 */

#define Targets 3
#define Copies 2
#define Readings 2
#define Writes 2
#define LastTerm 3
#define None 9

byte Term = 1;        /* Of the group, in the control state. */
byte Primary = 0;     /* Primary in that term; None while fencing. */
byte Promoted = 1;    /* Latest term that has had a primary. */
byte TargetTerm[Targets] = 1;    /* Latest term accepted by each target. */
bool Joined[Targets] = true; /* Is follower or primary in that term. */
bool Leads[Targets];         /* Is primary in that term. */

/* A log is a set of writes in the order of their numbers. */
bool Holds[Targets * Writes];
byte LogTerm[Targets];
byte Length[Targets];
bool Settled[Targets] = true;
bool Read[Targets];   /* Reported its position after accepting the fence. */
bool Lost;            /* Some target has lost its log. */

byte NextWrite = 0;
byte Pending = None;  /* Write that waits for copies. */
byte WriteTerm[Writes];
bool Acknowledged[Writes];

bool LeaseHeld = true;
byte ProxyTerm = 1;   /* In the view that the proxy has applied. */
byte ProxyPrimary = 0;

/* Used within one step only. */
hidden byte I;
hidden byte Count;
hidden byte Best;

#define At(T, W) Holds[(T) * Writes + (W)]

#ifdef NO_LEASE
#define MayAct true
#else
#define MayAct LeaseHeld
#endif

#ifdef NO_IN_FORCE
#define InForce true
#else
#define InForce (ProxyTerm == Term || !LeaseHeld)
#endif

#ifdef NO_COPIES
#define EnoughCopies true
#else
#define EnoughCopies (Count >= Copies)
#endif

#ifdef NO_READINGS
#define EnoughReadings (Count > 0)
#else
#define EnoughReadings (Count >= Readings)
#endif

#ifdef NO_SETTLED
#define KeptSettled true
#else
#define KeptSettled false
#endif

#ifdef NO_LOG_TERM
#define IsBehind(L, R) (Length[L] < Length[R])
#else
#define IsBehind(L, R) (LogTerm[L] < LogTerm[R] || (LogTerm[L] == LogTerm[R] && Length[L] < Length[R]))
#endif

/* Computes the length and the term of the last entry from the log. */
inline recount(T) {
  Length[T] = 0; LogTerm[T] = 0; I = 0;
  do
  :: I < Writes ->
     if
     :: At(T, I) -> Length[T]++; LogTerm[T] = WriteTerm[I]
     :: else -> skip
     fi;
     I++
  :: else -> break
  od;
  skip
}

inline replicate(From, To) {
  I = 0;
  do
  :: I < Writes -> At(To, I) = At(From, I); I++
  :: else -> break
  od;
  recount(To)
}

/* Removes entries that the log of the primary lacks, as TargetOrderKind::Follow
 * does. */
inline truncate(From, To) {
  I = 0;
  do
  :: I < Writes -> At(To, I) = At(To, I) && At(From, I); I++
  :: else -> break
  od;
  recount(To)
}

#define CanPull(From) (From != Self && Leads[From] && Joined[Self] && TargetTerm[Self] == TargetTerm[From] && Length[Self] < Length[From])

proctype Proxy() {
end:
  do
  /* StatementService::send: a write reaches the primary the proxy knows. */
  :: d_step { Pending == None && NextWrite < Writes && MayAct && ProxyPrimary != None && Leads[ProxyPrimary] && TargetTerm[ProxyPrimary] == ProxyTerm ->
       Pending = NextWrite;
       NextWrite++;
       WriteTerm[Pending] = ProxyTerm;
       At(ProxyPrimary, Pending) = true;
       recount(ProxyPrimary) }
  /* DurabilityGate::durability, then StatementService::finishWrite. */
  :: d_step { Pending != None && MayAct && WriteTerm[Pending] == ProxyTerm ->
       Count = 0; I = 0;
       do
       :: I < Targets -> Count = Count + At(I, Pending); I++
       :: else -> break
       od;
       if
       :: EnoughCopies ->
          assert(Promoted == WriteTerm[Pending]);
          Acknowledged[Pending] = true;
          Pending = None
       :: else -> skip
       fi }
  /* The caller receives "unknown" after the deadline or the end of the term. */
  :: d_step { Pending != None -> Pending = None }
  /* ProxyNode::applyView. */
  :: d_step { ProxyTerm != Term || ProxyPrimary != Primary ->
       ProxyTerm = Term; ProxyPrimary = Primary }
  /* LeaseHolder::isHeld becomes false. A grant makes it true again once the
   * required revision is applied. */
  :: d_step { LeaseHeld -> LeaseHeld = false }
  :: d_step { !LeaseHeld && ProxyTerm == Term -> LeaseHeld = true }
  od
}

proctype Target(byte Self) {
end:
  do
  /* Replication. A former primary that has received no later term still
   * replicates to targets that have received none either. */
  :: d_step { CanPull(0) -> replicate(0, Self) }
  :: d_step { CanPull(1) -> replicate(1, Self) }
  :: d_step { CanPull(2) -> replicate(2, Self) }
  /* TargetOrderKind::Fence; FailoverCoordinator::recordAnswer. */
  :: d_step { Primary == None && !Read[Self] ->
       TargetTerm[Self] = Term; Joined[Self] = false; Leads[Self] = false;
       Read[Self] = true }
  /* TargetOrderKind::Follow: entries that the log of the term lacks are
   * removed. */
  :: d_step { Primary != None && Self != Primary && !(Joined[Self] && TargetTerm[Self] == Term) ->
       TargetTerm[Self] = Term; Joined[Self] = true; Leads[Self] = false;
       truncate(Primary, Self) }
  /* FailoverCoordinator::confirmCaughtUpTargets proposes SettleTarget. */
  :: d_step { Primary != None && !Settled[Self] && Joined[Self] && TargetTerm[Self] == Term && Length[Self] == Length[Primary] ->
       Settled[Self] = true }
  /* The target restarts without its log, with another LogId. */
  :: d_step { !Lost && !Leads[Self] && Self != Primary ->
       Lost = true;
       I = 0;
       do
       :: I < Writes -> At(Self, I) = false; I++
       :: else -> break
       od;
       recount(Self);
       Read[Self] = false; Joined[Self] = false; TargetTerm[Self] = 0;
       Settled[Self] = KeptSettled }
  od
}

proctype Control() {
end:
  do
  /* FailoverCoordinator::stepPromoted proposes FenceGroup. */
  :: d_step { Primary != None && Term < LastTerm ->
       Term++; Primary = None;
       I = 0;
       do
       :: I < Targets -> Read[I] = false; I++
       :: else -> break
       od;
       skip }
  /* FailoverCoordinator::stepFencing proposes PromoteTarget. */
  :: d_step { Primary == None && InForce ->
       Count = 0; I = 0; Best = None;
       do
       :: I < Targets ->
          if
          :: Read[I] && Settled[I] ->
             Count++;
             if
             :: Best == None -> Best = I
             :: Best != None && IsBehind(Best, I) -> Best = I
             :: else -> skip
             fi
          :: else -> skip
          fi;
          I++
       :: else -> break
       od;
       if
       :: EnoughReadings ->
          I = 0;
          do
          :: I < Writes -> assert(!Acknowledged[I] || At(Best, I)); I++
          :: else -> break
          od;
          Primary = Best; Promoted = Term;
          TargetTerm[Best] = Term; Joined[Best] = true; Leads[Best] = true
       :: else -> skip
       fi }
  od
}

init {
  atomic {
    Leads[0] = true;
    run Proxy();
    run Target(0);
    run Target(1);
    run Target(2);
    run Control()
  }
}
