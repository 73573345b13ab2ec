/// \file
/// A proxy's line to control: the plan, the targets, and its own sightings.

#ifndef CORIANDERDYKE_STEERING_CONTROLCLIENT_H
#define CORIANDERDYKE_STEERING_CONTROLCLIENT_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Quota/QuotaSeats.h"
#include "Transport/Transport.h"

#include <map>

namespace corianderdyke {

struct ControlClientOptions {
  ProcessId Self;
  std::uint16_t PeerPort = 0;     ///< The same on all hosts.
  std::vector<std::string> Seeds; ///< Addresses of control hosts.
  ProxyRecord GatewayRecord =
      {}; ///< For other proxies; without an address for none.
};

/// Asks the leading control host again and again, and looks for another where
/// none answers. What it has learned stays in force while control is away.
class ControlClient : public sigc::trackable {
public:
  ControlClient(ControlClientOptions Given, Clock &Time, Scheduler &Timers,
                Transport &Peers);

  void start();
  /// The settings name other hosts now.
  void setSeeds(std::vector<std::string> Seeds);

  /// A target answered, or couldn't be used. The latter is told at once: it's
  /// the first part of the time in which nobody can write.
  void recordReachable(const std::string &Target);
  void recordUnreachable(const std::string &Target);

  /// Requests for seats of quotas go along with what is told to control.
  /// Without seats there are none.
  void setQuotaSeats(QuotaSeats *Seats) { Quotas = Seats; }

  /// This proxy stops: no other should send anything through it.
  void announceStop();

  /// True once a quorum has confirmed the plan that this process holds.
  bool isConfirmed() const { return IsProven; }
  /// True while control also confirms it from time to time.
  bool isCurrent() const { return IsProven && HasContact; }
  const RoutePlan &plan() const { return Plan; }
  const TargetDirectory &directory() const { return Directory; }

  sigc::signal<void()> &signalPlan() { return PlanChanged; }
  sigc::signal<void()> &signalDirectory() { return DirectoryChanged; }
  sigc::signal<void(std::size_t)> &signalProxies() { return ProxiesChanged; }
  /// Emitted with the list of proxies when it changes.
  sigc::signal<void(const std::vector<ProxyRecord> &)> &signalProxyList() {
    return ProxyListChanged;
  }
  /// Emitted when control is lost or found again.
  sigc::signal<void(bool)> &signalConnectivity() { return ContactChanged; }
  /// Emitted when seats of quotas were granted.
  sigc::signal<void()> &signalQuotas() { return QuotasChanged; }

private:
  void tick();
  void sendRequest(bool Everyone);
  ReachabilityReport makeReport(const std::string &Target,
                                bool IsReached) const;
  void receive(const Envelope &Arrived);
  void on(const SubscribeReply &Body, const Envelope &From);
  void on(const SubscribeRedirect &Body, const Envelope &From);
  void on(const PlanUpdate &Body, const Envelope &From);
  void on(const DirectoryUpdate &Body, const Envelope &From);
  void on(const ProxyListUpdate &Body, const Envelope &From);
  void on(const ReachabilityQuery &Body, const Envelope &From);
  void on(const SeatGrant &Body, const Envelope &From);
  template <class Other> void on(const Other &, const Envelope &) {}

  ControlClientOptions Options;
  Clock &Time;
  Scheduler &Timers;
  Transport &Peers;
  RoutePlan Plan;
  TargetDirectory Directory;
  DirectoryVersion DirectorySeen;
  std::vector<std::string> Hosts; ///< Seeds and members, as last told.
  std::string Leader;             ///< The host that is believed to lead.
  std::uint64_t Sequence = 0;
  Millis LastAsked = Millis(-1000000);
  Millis LastAnswer = Millis(-1000000);
  bool HasContact = false;
  bool IsProven = false;
  std::uint64_t ProvenVersion = 0;
  struct PendingReport {
    ReachabilityReport Report;
    Millis RecordedAt;
  };
  /// Since the last word to control, by target.
  std::map<std::string, PendingReport> PendingReports;
  sigc::signal<void()> PlanChanged;
  sigc::signal<void()> DirectoryChanged;
  DirectoryVersion ProxiesSeen;
  std::vector<ProxyRecord> ProxyRecords;
  bool IsLeaving = false;
  QuotaSeats *Quotas = nullptr;
  sigc::signal<void(std::size_t)> ProxiesChanged;
  sigc::signal<void(const std::vector<ProxyRecord> &)> ProxyListChanged;
  sigc::signal<void(bool)> ContactChanged;
  sigc::signal<void()> QuotasChanged;
};

} // namespace corianderdyke

#endif
