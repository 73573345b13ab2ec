/// \file
/// The settings of one process.

#ifndef CORIANDERDYKE_SETTINGS_SETTINGS_H
#define CORIANDERDYKE_SETTINGS_SETTINGS_H

#include "Admission/LoadOptions.h"
#include "Common/Finding.h"
#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Settings/KeySchema.h"

#include <tl/expected.hpp>

namespace corianderdyke {

/// A control host as listed in the settings.
struct ControlHost {
  std::string Name;
  Endpoint PeerEndpoint;

  auto operator<=>(const ControlHost &) const = default;
};

/// The least severe log events that are written.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

/// What prevents a replaced primary from acknowledging statements.
enum class FencingMode : std::uint8_t {
  Leases,  ///< Proxies hold leases from control and serve nothing without one.
  Targets, ///< Targets enforce their terms themselves; proxies keep serving
           ///< while control is unavailable.
};

struct Settings {
  std::string Name;
  FencingMode Fencing = FencingMode::Leases;
  Locality OwnLocality;
  bool IsProxy = false;
  bool IsControl = false;
  std::string DataFolder;    ///< Control only.
  Endpoint CallerEndpoint;   ///< Proxy only: HTTP for callers and targets.
  Endpoint OperatorEndpoint; ///< Status, metrics and the manifest.
  Endpoint PeerEndpoint;  ///< UDP and TCP between the processes of the system.
  Endpoint RelayEndpoint; ///< Statements of other proxies; disabled if the port
                          ///< is 0.
  std::vector<ControlHost> ControlHosts;
  std::string PeerKey;     ///< Authenticates messages between processes.
  std::string SessionKey;  ///< Authenticates session tokens.
  std::string TargetKey;   ///< Sent by targets with their announcements.
  std::string OperatorKey; ///< Sent by operators with changes.
  // Only for FencingMode::Targets.
  Endpoint SessionEndpoint;   ///< Proxy: sessions of callers.
  Endpoint ReadinessEndpoint; ///< Proxy: readiness check of the load balancer.
  Endpoint DirectoryEndpoint; ///< Control: for targets and operators.
  Endpoint PromotionEndpoint; ///< Control: the service that executes changes of
                              ///< primary.
  std::vector<Endpoint> Seeds; ///< Control hosts to contact first.
  bool MayBootstrap = false; ///< Control: the system starts for the first time.
  /// Control: simultaneous disk failures without data loss.
  std::size_t ToleratedDiskLosses = 1;
  /// Proxy: part by which a quota may be exceeded.
  double QuotaOverageRatio = 0;
  /// Proxy: operations by which a quota may be exceeded.
  double QuotaOverageOperations = 0;
  Millis QuotaWindow = Millis(5000); ///< Proxy: window of both overages.
  LoadOptions Load;
  bool JsonLogs = false;
  LogLevel Level = LogLevel::Info;
  /// How long a stopping proxy still accepts new callers, so that the load
  /// balancer can detect that it is not ready.
  Millis DrainDelay = Millis(2000);
  /// How long a graceful stop may wait for requests in flight.
  Millis StopTimeout = Millis(30000);

  bool operator==(const Settings &) const = default;
};

/// The keys of a settings file, which Help/settings.md documents.
const KeySchema &settingKeys();

/// The settings in \p Text, or all their errors.
tl::expected<Settings, Findings> parseSettings(const std::string &File,
                                               const std::string &Text);

} // namespace corianderdyke

#endif
