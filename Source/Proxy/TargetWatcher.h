/// \file
/// Keeps the target table up to date by asking each target all the time.

#ifndef CORIANDERDYKE_PROXY_TARGETWATCHER_H
#define CORIANDERDYKE_PROXY_TARGETWATCHER_H

#include "Common/Clock.h"
#include "Http/HttpClient.h"
#include "Loop/Scheduler.h"
#include "Routing/TargetTable.h"

#include <sigc++/sigc++.h>

namespace corianderdyke {

/// Holds one question open at each target: "tell me when your position or
/// term changes, or after a while anyway". A write is known on a replica
/// after one way there and back, without a question for each write.
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
    /// Tells the answers of a former connection from the present one's.
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
