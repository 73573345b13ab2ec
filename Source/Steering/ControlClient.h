/// \file
/// A proxy's subscription to control: receives the plan, the targets and the
/// list of proxies, and sends its reports on targets.

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
      {}; ///< For other proxies; without an address if not a gateway.
};

/// Sends periodic requests to the leading control host and searches for another
/// leader if there is no answer. The received state stays in force while
/// control is unavailable.
class ControlClient : public sigc::trackable {
public:
  ControlClient(ControlClientOptions Given, Clock &Time, Scheduler &Timers,
                Transport &Peers);

  void start();
  /// Adds control hosts after a change of the settings.
  void setSeeds(std::vector<std::string> Seeds);

  /// Record that a target answered, or that it could not be used. A failure is
  /// reported without waiting for the next regular request, because the delay
  /// adds to the time in which nobody can write.
  void recordReachable(const std::string &Target);
  void recordUnreachable(const std::string &Target);

  /// Counts a read that was refused, or served too late, at a group's leader
  /// while every replica lagged.
  void recordPressure(const std::string &Group, bool IsRefused);

  /// Sets the source of quota seat requests, which are sent with the requests
  /// to control. Null if there are none.
  void setQuotaSeats(QuotaSeats *Seats) { Quotas = Seats; }

  /// Announces that this proxy stops, so that other proxies stop using it.
  void announceStop();

  /// True once a quorum has confirmed the plan that this process holds.
  bool isConfirmed() const { return IsPlanConfirmed; }
  /// True while control also answers this process.
  bool isCurrent() const { return IsPlanConfirmed && HasContact; }
  /// The control host that answers this process; without an address if none
  /// does.
  Endpoint contact() const {
    return HasContact ? Endpoint{Leader, Options.PeerPort} : Endpoint{};
  }
  const RoutePlan &plan() const { return Plan; }
  const TargetDirectory &directory() const { return Directory; }

  sigc::signal<void()> &signalPlan() { return PlanChanged; }
  sigc::signal<void()> &signalDirectory() { return DirectoryChanged; }
  sigc::signal<void(std::size_t)> &signalProxies() { return ProxiesChanged; }
  /// Emitted with the list of proxies when it changes.
  sigc::signal<void(const std::vector<ProxyRecord> &)> &signalProxyList() {
    return ProxyListChanged;
  }
  /// Emitted when contact with control is lost or restored.
  sigc::signal<void(bool)> &signalConnectivity() { return ContactChanged; }
  /// Emitted when quota seats have been granted.
  sigc::signal<void()> &signalQuotas() { return QuotasChanged; }

private:
  void tick();
  void sendRequest(bool ToAllHosts);
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
  DirectoryVersion DirectoryHeld;
  std::vector<std::string> Hosts; ///< Seeds and members, as last received.
  std::string Leader;             ///< The presumed leading host.
  std::uint64_t Sequence = 0;
  Millis LastRequestAt = Millis(-1000000);
  Millis LastReplyAt = Millis(-1000000);
  bool HasContact = false;
  bool IsPlanConfirmed = false;
  std::uint64_t ConfirmedVersion = 0;
  struct PendingReport {
    ReachabilityReport Report;
    Millis RecordedAt;
  };
  /// Reports since the last request, by target.
  std::map<std::string, PendingReport> PendingReports;
  std::map<std::string, GroupPressure> PendingPressure; ///< By group.
  bool IsPressureDue = false; ///< A request with the counts is scheduled.
  sigc::signal<void()> PlanChanged;
  sigc::signal<void()> DirectoryChanged;
  DirectoryVersion ProxiesHeld;
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
