/* Failover of one database group: lease, revocation, promotion and
 * acknowledgement by copies.
 *
 * Bounds: 3 targets, 2 copies, 2 readings; 1 proxy with callers on the side of
 * the former primary; 2 writes; terms 1 to 3, thus 2 failovers; 1 target that
 * may come back without its log. Messages are steps: any step that waits may
 * be overtaken by any other, which covers loss, delay and freezing. Time is
 * the single event "the lease ran out", which may come at any moment but is
 * known to control only after it came (LeaseRegistry counts it out later than
 * LeaseHolder, by the drift bound).
 *
 * Each of these macros takes one safeguard out; spin has to refute the model
 * then: NO_LEASE, NO_IN_FORCE, NO_COPIES, NO_READINGS, NO_LOG_TERM,
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

byte Term = 1;        /* Of the group, by control. */
byte Primary = 0;     /* Target that holds it; None while fencing. */
byte Promoted = 1;    /* Latest term that has had a primary. */
byte Obeyed[Targets] = 1;    /* Term that each target obeys. */
bool Joined[Targets] = true; /* Follows, or is primary, in that term. */
bool Leads[Targets];         /* Is primary in that term. */

/* A log is a set of writes in the order of their numbers. */
bool Holds[Targets * Writes];
byte LogTerm[Targets];
byte Length[Targets];
bool Settled[Targets] = true;
bool Read[Targets];   /* Told its position after obeying the fence. */
bool Lost;            /* Some target has lost its log. */

byte NextWrite = 0;
byte Pending = None;  /* Write that waits for its copies. */
byte WriteTerm[Writes];
bool Acknowledged[Writes];

bool LeaseHeld = true;
byte ProxyTerm = 1;   /* By the view that the proxy has applied. */
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

/* Length and term of the last entry follow from what the log holds. */
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

/* Drops what the primary's log hasn't, as an order to follow does. */
inline truncate(From, To) {
  I = 0;
  do
  :: I < Writes -> At(To, I) = At(To, I) && At(From, I); I++
  :: else -> break
  od;
  recount(To)
}

#define CanPull(From) (From != Self && Leads[From] && Joined[Self] && Obeyed[Self] == Obeyed[From] && Length[Self] < Length[From])

proctype Proxy() {
end:
  do
  /* StatementService::send: a write reaches the primary the proxy knows. */
  :: d_step { Pending == None && NextWrite < Writes && MayAct && ProxyPrimary != None && Leads[ProxyPrimary] && Obeyed[ProxyPrimary] == ProxyTerm ->
       Pending = NextWrite;
       NextWrite++;
       WriteTerm[Pending] = ProxyTerm;
       At(ProxyPrimary, Pending) = true;
       recount(ProxyPrimary) }
  /* DurabilityGate::durability, then StatementService::settleWrite. */
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
  /* The caller learns "unknown": the deadline, or the term has ended. */
  :: d_step { Pending != None -> Pending = None }
  /* ProxyNode::adopt. */
  :: d_step { ProxyTerm != Term || ProxyPrimary != Primary ->
       ProxyTerm = Term; ProxyPrimary = Primary }
  /* LeaseHolder::isHeld becomes false; a grant makes it true again, but only
   * with the revision that it requires. */
  :: d_step { LeaseHeld -> LeaseHeld = false }
  :: d_step { !LeaseHeld && ProxyTerm == Term -> LeaseHeld = true }
  od
}

proctype Target(byte Self) {
end:
  do
  /* Replication. A former primary that has heard of no later term goes on
   * copying to those that haven't either. */
  :: d_step { CanPull(0) -> replicate(0, Self) }
  :: d_step { CanPull(1) -> replicate(1, Self) }
  :: d_step { CanPull(2) -> replicate(2, Self) }
  /* TargetOrder::Fence, answered by FailoverCoordinator::answered. */
  :: d_step { Primary == None && !Read[Self] ->
       Obeyed[Self] = Term; Joined[Self] = false; Leads[Self] = false;
       Read[Self] = true }
  /* TargetOrder::Follow: what the term's log hasn't is dropped. */
  :: d_step { Primary != None && Self != Primary && !(Joined[Self] && Obeyed[Self] == Term) ->
       Obeyed[Self] = Term; Joined[Self] = true; Leads[Self] = false;
       truncate(Primary, Self) }
  /* FailoverCoordinator::settleJoining proposes SettleTarget. */
  :: d_step { Primary != None && !Settled[Self] && Joined[Self] && Obeyed[Self] == Term && Length[Self] == Length[Primary] ->
       Settled[Self] = true }
  /* It comes back without its log, under another LogId. */
  :: d_step { !Lost && !Leads[Self] && Self != Primary ->
       Lost = true;
       I = 0;
       do
       :: I < Writes -> At(Self, I) = false; I++
       :: else -> break
       od;
       recount(Self);
       Read[Self] = false; Joined[Self] = false; Obeyed[Self] = 0;
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
          Obeyed[Best] = Term; Joined[Best] = true; Leads[Best] = true
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
