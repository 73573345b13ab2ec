/* Adoption of a manifest, with a control host that is partitioned for a long
 * time, proxies that restart, and the "in force" status reported to operators.
 *
 * Bounds: 3 control hosts, 2 proxies, 3 versions, 3 leaderships. Consensus is
 * one step: an entry is committed when the leader and one more host have it. A
 * host that has received no message of a later leader may act as leader for any
 * time. Grants and views may be delayed for any time. A lease may end at any
 * moment; control hosts learn of the end only afterwards.
 *
 * Each of these macros removes one safeguard; spin must then refute the model:
 * NO_QUORUM_READ, NO_REQUIRED_REVISION, NO_MONOTONE, NO_WAIT_OUT,
 * NO_UP_TO_DATE_VOTE.
 *
 * Checked: once a version is in force no proxy serves by an earlier one, and
 * an accepted version is known to every later leader.
 */

#define Hosts 3
#define Proxies 2
#define LastVersion 3
#define LastTerm 3

byte Accepted = 1;   /* Latest committed version. */
byte InForce = 1;    /* Latest version reported to operators as in force. */
byte MaxTerm = 1;
byte HostTerm[Hosts] = 1;
bool Leads[Hosts];
byte Known[Hosts] = 1;

byte Applied[Proxies] = 1;
bool Held[Proxies];  /* A lease whose revision is applied. */
byte Grant[Proxies]; /* Required version of a pending grant; 0: none. */
byte Granter[Proxies];

hidden byte I;
hidden byte Reached;

#ifdef NO_QUORUM_READ
#define Confirms(H, K) true
#else
#define Confirms(H, K) (HostTerm[K] <= HostTerm[H])
#endif

#ifdef NO_REQUIRED_REVISION
#define Reaches(P) true
#else
#define Reaches(P) (Applied[P] >= Grant[P])
#endif

#ifdef NO_MONOTONE
#define MayAdopt(P, H) (Applied[P] != Known[H])
#else
#define MayAdopt(P, H) (Applied[P] < Known[H])
#endif

#ifdef NO_WAIT_OUT
#define Counts(H, P) (Granter[P] == H)
#else
#define Counts(H, P) true
#endif

#ifdef NO_UP_TO_DATE_VOTE
#define MayVote(H, K) true
#else
#define MayVote(H, K) (Known[H] >= Known[K])
#endif

/* Consensus::receive of votes: H is elected by H and K. */
inline elect(H, K) {
  MaxTerm++;
  HostTerm[H] = MaxTerm; HostTerm[K] = MaxTerm;
  Leads[H] = true; Leads[K] = false;
  assert(Known[H] >= Accepted)
}

/* ControlState::on(ApplyManifest), committed by H and K. */
inline commit(H, K) {
  Accepted++;
  Known[H] = Accepted; Known[K] = Accepted;
  HostTerm[K] = HostTerm[H]; Leads[K] = false
}

inline learn(H, K) {
  Known[K] = Known[H]; HostTerm[K] = HostTerm[H]; Leads[K] = false
}

/* ControlNode::grant after ReplicatedLog reads confirmed by K. */
inline grant(H, P) {
  Grant[P] = Known[H]; Granter[P] = H
}

/* LeaseRegistry::isInForce, called by OperatorService after a quorum read. */
inline reportInForce(H) {
  Reached = true; I = 0;
  do
  :: I < Proxies ->
     if
     :: Counts(H, I) && Applied[I] < Known[H] && (Held[I] || (Grant[I] > 0 && Grant[I] < Known[H])) -> Reached = false
     :: else -> skip
     fi;
     I++
  :: else -> break
  od;
  if
  :: Reached && InForce < Known[H] -> InForce = Known[H]
  :: else -> skip
  fi
}

#define Other(N) ((Self + (N)) % Hosts)

proctype Host(byte Self) {
end:
  do
  :: d_step { MaxTerm < LastTerm && MayVote(Self, Other(1)) -> elect(Self, Other(1)) }
  :: d_step { MaxTerm < LastTerm && MayVote(Self, Other(2)) -> elect(Self, Other(2)) }
  :: d_step { Leads[Self] && Accepted < LastVersion && HostTerm[Other(1)] <= HostTerm[Self] -> commit(Self, Other(1)) }
  :: d_step { Leads[Self] && Accepted < LastVersion && HostTerm[Other(2)] <= HostTerm[Self] -> commit(Self, Other(2)) }
  :: d_step { Leads[Self] && HostTerm[Other(1)] <= HostTerm[Self] && Known[Other(1)] < Known[Self] -> learn(Self, Other(1)) }
  :: d_step { Leads[Self] && HostTerm[Other(2)] <= HostTerm[Self] && Known[Other(2)] < Known[Self] -> learn(Self, Other(2)) }
  :: d_step { Leads[Self] && (Confirms(Self, Other(1)) || Confirms(Self, Other(2))) && Grant[0] == 0 -> grant(Self, 0) }
  :: d_step { Leads[Self] && (Confirms(Self, Other(1)) || Confirms(Self, Other(2))) && Grant[1] == 0 -> grant(Self, 1) }
  :: d_step { Leads[Self] && (HostTerm[Other(1)] <= HostTerm[Self] || HostTerm[Other(2)] <= HostTerm[Self]) -> reportInForce(Self) }
  od
}

proctype Proxy(byte Self) {
end:
  do
  /* ProxyNode::applyView, from any host, including a partitioned one. */
  :: d_step { MayAdopt(Self, 0) -> Applied[Self] = Known[0] }
  :: d_step { MayAdopt(Self, 1) -> Applied[Self] = Known[1] }
  :: d_step { MayAdopt(Self, 2) -> Applied[Self] = Known[2] }
  /* LeaseHolder::applyGrant and LeaseHolder::applyRevision. */
  :: d_step { Grant[Self] > 0 && Reaches(Self) -> Held[Self] = true; Grant[Self] = 0 }
  :: d_step { Held[Self] -> Held[Self] = false }
  :: d_step { Grant[Self] > 0 -> Grant[Self] = 0 }
  /* A new incarnation has no version and no lease. */
  :: d_step { Applied[Self] > 0 -> Applied[Self] = 0; Held[Self] = false; Grant[Self] = 0 }
  /* StatementService: a caller is served. */
  :: d_step { Held[Self] -> assert(Applied[Self] >= InForce) }
  od
}

init {
  atomic {
    Leads[0] = true;
    run Host(0);
    run Host(1);
    run Host(2);
    run Proxy(0);
    run Proxy(1)
  }
}
