/// \file
/// Gets permits to begin operations from the proxies that hold the seats of an
/// organisation's quota, and gives out those of this proxy's own seats.
///
/// An organisation's callers may be spread over all proxies, with a few
/// operations a minute at each. A part of the quota at each proxy would be too
/// small for two operations in a row while all other parts are unused, so
/// permits are pooled at few proxies and each operation requests one.
///
/// If one organisation sends far more than its quota, a proxy has only one
/// request in flight for all of its waiting operations, and while no holder has
/// a permit, operations that cannot wait until one is available are refused at
/// once. With RefusesByForecast, an operation of an organisation whose holders
/// are out of permits waits for a quarter of its time at most, and is refused
/// on arrival if the rate at which permits came lately won't give it one by
/// then: otherwise every permit goes to an operation that has waited for its
/// whole objective, and all others learn at the end of their time that they
/// are over the quota.

#ifndef CORIANDERDYKE_QUOTA_OPERATIONPERMITS_H
#define CORIANDERDYKE_QUOTA_OPERATIONPERMITS_H

#include "Admission/WaitForecast.h"
#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Quota/PermitSource.h"
#include "Quota/QuotaSeats.h"
#include "Relay/GatewayTable.h"
#include "Transport/Transport.h"

#include <list>
#include <set>

namespace corianderdyke {

/// Returns the proxies that should hold an organisation's seats, by seat: the
/// same at all proxies that know the same list.
std::vector<ProxyRecord> seatHolders(const std::string &Organisation,
                                     const std::vector<ProxyRecord> &Proxies);

class OperationPermits final : public PermitSource, public sigc::trackable {
public:
  struct Dependencies {
    Clock &Time;
    Scheduler &Timers;
    Transport &Peers;
    bool RefusesByForecast = false;
    /// Returns the control host through which requests can be forwarded, empty
    /// if there is none. Not set: requests are not forwarded.
    std::function<Endpoint()> ForwardingHost = {};
  };

  /// Requests that went through a control host, for metrics.
  struct ForwardCounts {
    std::uint64_t Sent = 0;
    std::uint64_t Answered = 0; ///< In time or late.

    auto operator<=>(const ForwardCounts &) const = default;
  };

  /// \p PeerPort is the same at all proxies.
  OperationPermits(Dependencies Deps, std::string Self, std::uint16_t PeerPort,
                   QuotaSeats &Seats);
  ~OperationPermits() override;

  bool isLimited(const std::string &Organisation) const override {
    return Seats.isLimited(Organisation);
  }
  std::uint64_t requestPermit(const std::string &Organisation, Millis Until,
                              Handler OnAnswer) override;
  void cancel(std::uint64_t Number) override;

  /// Updates from control.
  void adopt(const RoutePlan &Plan);
  void setProxies(std::vector<ProxyRecord> All);
  /// Called when the seats of this proxy have changed.
  void handleSeatsChanged();

  const ForwardCounts &forwardCounts() const { return Forwards; }

private:
  struct Waiting {
    std::uint64_t Number = 0;
    Millis Until;
    /// The same while the holders are out of permits.
    Millis UntilIfExhausted;
    Handler OnAnswer;
  };

  /// The operations of one organisation that wait here.
  struct Queue {
    std::list<Waiting> Waiters;
    std::uint64_t RequestNumber = 0; ///< In flight; 0: none.
    std::string Holder;              ///< Name of the one that is asked.
    std::set<std::string> Asked;     ///< Names of holders, in this round.
    /// Names of holders asked through control, in this round.
    std::set<std::string> AskedThroughControl;
    bool HasPermits = false; ///< Permits were granted in this round.
    /// Shortest time until one of the holders asked has a permit.
    std::optional<Millis> MinRetryAfter;
    Millis NextRoundAt;
    Scheduler::TimerId Timer = 0;
    /// The last round ended at holders with seats that had no permits left.
    bool IsExhausted = false;
    WaitForecast Forecast; ///< Of the operations that got a permit.
  };

  struct SentRequest {
    std::string Organisation;
    Millis At;
    bool IsForwarded = false;
  };

  void receive(const Envelope &Arrived);
  void on(const PermitRequest &Body, const Envelope &From);
  void on(const PermitReply &Body, const Envelope &From);
  template <class Other> void on(const Other &, const Envelope &) {}

  void recomputeHolders();
  void beginRound(const std::string &Organisation);
  /// Returns the next holder to ask in this round, silent ones last; null if
  /// all have been asked.
  const ProxyRecord *nextHolder(const std::string &Organisation, const Queue &Q,
                                Millis Now) const;
  void askNext(const std::string &Organisation);
  /// Assigns a number to the request for all operations that wait.
  PermitRequest startRequest(const std::string &Organisation,
                             const ProxyRecord &Holder, bool IsForwarded);
  /// True if \p Holder is silent and may be asked through control.
  bool canForward(const ProxyRecord &Holder, Millis Now) const;
  /// Asks a silent holder through control if the round brought no permit.
  /// Returns false if there is none to ask.
  bool forwardNext(const std::string &Organisation);
  void handleReply(const std::string &Organisation, const PermitReply &Answer);
  /// Removes up to \p Permits operations from a queue, the oldest first.
  std::vector<Handler> dequeue(Queue &Q, std::uint32_t Permits) const;
  /// Time at which an operation that has no permit by then is refused.
  Millis deadline(const Queue &Q, const Waiting &Waiter) const;
  /// Refuses the operation that arrived last if the forecast gives it no
  /// permit in time. Returns true if it did.
  bool refuseByForecast(Queue &Q);
  /// Begins operations; the handlers may request further permits.
  static void begin(const std::vector<Handler> &Permitted);
  void endRound(const std::string &Organisation);
  /// Refuses the operations whose deadlines are before \p When.
  void refuseExpiringBefore(const std::string &Organisation, Millis When);
  void setTimer(Queue &Q, const std::string &Organisation, Millis Span,
                void (OperationPermits::*Then)(const std::string &));
  void stopTimer(Queue &Q);
  void handleTimeout(const std::string &Organisation);
  void handleForwardTimeout(const std::string &Organisation);

  Dependencies Deps;
  std::string Self;
  std::uint16_t PeerPort;
  QuotaSeats &Seats;
  std::vector<ProxyRecord> Proxies;
  std::map<std::string, std::vector<ProxyRecord>> Holders;
  std::map<std::string, Millis> BackoffUntil; ///< Of unresponsive holders.
  /// Of holders that did not answer through control.
  std::map<std::string, Millis> ForwardBackoffUntil;
  std::map<std::string, Queue> Queues;
  /// Unanswered requests by number. Permits of a late answer are used too.
  std::map<std::uint64_t, SentRequest> Requests;
  std::uint64_t NextNumber = 1;
  ForwardCounts Forwards;
};

} // namespace corianderdyke

#endif
