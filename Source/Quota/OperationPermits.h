/// \file
/// Gets permits to begin operations from those proxies that hold the seats of
/// an organisation's quota, and gives out those of this proxy's own seats.
///
/// Load pattern: an organisation's callers come through all proxies, a few a
/// minute at each. A part of the quota at each proxy would be too small for two
/// callers in a row, while all others have theirs to spare; so permits are
/// pooled at few proxies, and each operation asks for one.
///
/// Load pattern: one organisation sends far more than its quota. At any time a
/// proxy asks once for all of its operations that wait, and while none of the
/// holders has a permit, those that can't wait as long are refused at once.

#ifndef CORIANDERDYKE_QUOTA_OPERATIONPERMITS_H
#define CORIANDERDYKE_QUOTA_OPERATIONPERMITS_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Quota/PermitSource.h"
#include "Quota/QuotaSeats.h"
#include "Relay/GatewayTable.h"
#include "Transport/Transport.h"

#include <list>

namespace corianderdyke {

/// The proxies that are to hold an organisation's seats, by seat: the same at
/// all proxies that know the same list.
std::vector<ProxyRecord> seatHolders(const std::string &Organisation,
                                     const std::vector<ProxyRecord> &Proxies);

class OperationPermits final : public PermitSource, public sigc::trackable {
public:
  struct Dependencies {
    Clock &Time;
    Scheduler &Timers;
    Transport &Peers;
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

  /// What control said.
  void adopt(const RoutePlan &Plan);
  void setProxies(std::vector<ProxyRecord> All);
  /// Seats of this proxy have changed.
  void handleSeatsChanged();

private:
  struct Waiting {
    std::uint64_t Number = 0;
    Millis Until;
    Handler OnAnswer;
  };

  /// One organisation's operations that wait here.
  struct Queue {
    std::list<Waiting> Waiters;
    std::uint64_t RequestNumber =
        0;                       ///< Number of the request under way; 0: none.
    std::size_t HolderIndex = 0; ///< Of the holder that is asked.
    std::string Holder;          ///< Its name.
    std::optional<Millis>
        MinRetryAfter; ///< Until one of those asked has a permit.
    Millis NextRoundAt;
    Scheduler::TimerId Timer = 0;
  };

  struct SentRequest {
    std::string Organisation;
    Millis At;
  };

  void receive(const Envelope &Arrived);
  void on(const PermitRequest &Body, const Envelope &From);
  void on(const PermitReply &Body, const Envelope &From);
  template <class Other> void on(const Other &, const Envelope &) {}

  void recomputeHolders();
  void beginRound(const std::string &Organisation);
  void askNext(const std::string &Organisation);
  void answered(const std::string &Organisation, const PermitReply &Answer);
  /// Takes as many operations out of a queue, the oldest first.
  static std::vector<Handler> dequeue(Queue &Of, std::uint32_t Permits);
  /// Lets them begin; the handlers may ask for others.
  static void begin(const std::vector<Handler> &Permitted);
  void endRound(const std::string &Organisation);
  /// Refuses those whose time is over by then.
  void refuseExpiringBefore(const std::string &Organisation, Millis When);
  void setTimer(Queue &Of, const std::string &Organisation, Millis Span,
                void (OperationPermits::*Then)(const std::string &));
  void stopTimer(Queue &Of);
  void timedOut(const std::string &Organisation);

  Dependencies Deps;
  std::string Self;
  std::uint16_t PeerPort;
  QuotaSeats &Seats;
  std::vector<ProxyRecord> Proxies;
  std::map<std::string, std::vector<ProxyRecord>> Holders;
  std::map<std::string, Millis> BackoffUntil; ///< Holders that didn't answer.
  std::map<std::string, Queue> Queues;
  /// Sent and not answered, by number. A late answer's permits are used too.
  std::map<std::uint64_t, SentRequest> Requests;
  std::uint64_t NextNumber = 1;
};

} // namespace corianderdyke

#endif
