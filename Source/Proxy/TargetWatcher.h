/// \file
/// Keeps the target table up to date with a pending watch at each target.

#ifndef CORIANDERDYKE_PROXY_TARGETWATCHER_H
#define CORIANDERDYKE_PROXY_TARGETWATCHER_H

#include "Common/Clock.h"
#include "Http/HttpClient.h"
#include "Loop/Scheduler.h"
#include "Routing/TargetTable.h"

#include <sigc++/sigc++.h>

namespace corianderdyke {

/// Keeps one long-poll request pending at each target, which the target answers
/// when its position or term changes or after a timeout. So the proxy learns of
/// a write on a replica within one round trip, without a request per write.
class TargetWatcher {
public:
  TargetWatcher(Clock &Time, Scheduler &Timers, HttpConnector &Connector,
                TargetTable &Table)
      : Time(Time), Timers(Timers), Connector(Connector), Table(Table) {}

  void update(const ClusterView &View);

  /// Emitted after the table has changed, with the target's name.
  sigc::signal<void(const std::string &)> &signalChanged() { return Changed; }
  /// Emitted when a target refused a connection.
  sigc::signal<void(const std::string &)> &signalRefused() { return Refused; }

private:
  struct Watch {
    Endpoint Address;
    std::unique_ptr<HttpConnection> Connection;
    std::uint64_t Position = 0;
    std::uint64_t Term = 0;
    /// Distinguishes answers for a former address from current ones.
    std::uint64_t Generation = 0;
  };

  void sendWatch(const std::string &Name);
  void handleAnswer(const std::string &Name, std::uint64_t Generation,
                    Millis AskedAt, const Expected<HttpResponse> &Answer);

  Clock &Time;
  Scheduler &Timers;
  HttpConnector &Connector;
  TargetTable &Table;
  std::map<std::string, Watch> Watches;
  std::uint64_t NextGeneration = 1;
  sigc::signal<void(const std::string &)> Changed;
  sigc::signal<void(const std::string &)> Refused;
};

} // namespace corianderdyke

#endif
