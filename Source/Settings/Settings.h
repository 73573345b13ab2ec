/// \file
/// The settings of one process.

#ifndef CORIANDERDYKE_SETTINGS_SETTINGS_H
#define CORIANDERDYKE_SETTINGS_SETTINGS_H

#include "Common/Finding.h"
#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Settings/KeySchema.h"

#include <tl/expected.hpp>

namespace corianderdyke {

/// A control host as every process knows it from its settings.
struct ControlHost {
  std::string Name;
  Endpoint PeerEndpoint;

  auto operator<=>(const ControlHost &) const = default;
};

/// The least severe log events that are written.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

/// What keeps a replaced primary from acknowledging anything.
enum class FencingMode : std::uint8_t {
  Leases,  ///< Proxies hold leases from control and serve nothing without.
  Targets, ///< Targets enforce their terms themselves; proxies serve on
           ///< while control is away.
};

struct Settings {
  std::string Name;
  FencingMode Fencing = FencingMode::Leases;
  Locality OwnLocality;
  bool IsProxy = false;
  bool IsControl = false;
  std::string DataFolder;    ///< Control only.
  Endpoint CallerEndpoint;   ///< Proxy only: where callers and targets connect.
  Endpoint OperatorEndpoint; ///< Status, metrics and the manifest.
  Endpoint PeerEndpoint;     ///< UDP and TCP among the system's own processes.
  Endpoint RelayEndpoint; ///< Statements of other proxies; without a port none.
  std::vector<ControlHost> ControlHosts;
  std::string PeerKey;     ///< Seals messages between the processes.
  std::string SessionKey;  ///< Seals session tokens.
  std::string TargetKey;   ///< Given by targets that announce themselves.
  std::string OperatorKey; ///< Given by operators who change something.
  // Only where targets enforce their leadership.
  Endpoint SessionEndpoint;    ///< Proxy: where callers open sessions.
  Endpoint ReadinessEndpoint;  ///< Proxy: where the balancer asks.
  Endpoint DirectoryEndpoint;  ///< Control: for targets and operators.
  Endpoint PromotionEndpoint;  ///< Control: who carries out changes of primary.
  std::vector<Endpoint> Seeds; ///< Control hosts to start from.
  bool MayBootstrap = false;   ///< Control: the system starts anew.
  std::size_t ToleratedDiskLosses = 1; ///< Control: at once, without any loss.
  double QuotaOverageRatio = 0; ///< Proxy: part of a quota that may be passed.
  double QuotaOverageOperations =
      0; ///< Proxy: operations that may be passed by.
  Millis QuotaWindow = Millis(5000); ///< Proxy: in which both are meant.
  bool JsonLogs = false;
  LogLevel Level = LogLevel::Info;
  /// How long a stopping proxy still takes new callers, so that the balancer
  /// can see that it isn't ready.
  Millis DrainDelay = Millis(2000);
  /// How long a graceful stop may wait for what is in flight.
  Millis StopTimeout = Millis(30000);

  bool operator==(const Settings &) const = default;
};

/// The keys of a settings file; Help/settings.md lists the same.
const KeySchema &settingKeys();

/// The settings in \p Text, or all their faults.
tl::expected<Settings, Findings> parseSettings(const std::string &File,
                                               const std::string &Text);

} // namespace corianderdyke

#endif
