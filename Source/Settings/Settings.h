/// \file
/// The settings of one process.

#ifndef CORIANDERDYKE_SETTINGS_SETTINGS_H
#define CORIANDERDYKE_SETTINGS_SETTINGS_H

#include "Common/Finding.h"
#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Settings/KeyTable.h"

#include <tl/expected.hpp>

namespace corianderdyke {

/// A control host as every process knows it from its settings.
struct ControlHost {
  std::string Name;
  Endpoint Peers;

  auto operator<=>(const ControlHost &) const = default;
};

/// The least severe log events that are written.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

/// What keeps a replaced primary from acknowledging anything.
enum class Leadership : std::uint8_t {
  Leases,  ///< Proxies hold leases from control and serve nothing without.
  Targets, ///< Targets enforce their terms themselves; proxies serve on
           ///< while control is away.
};

struct Settings {
  std::string Name;
  Leadership Lead = Leadership::Leases;
  Place Where;
  bool IsProxy = false;
  bool IsControl = false;
  std::string DataFolder; ///< Control only.
  Endpoint Callers;       ///< Proxy only: where callers and targets connect.
  Endpoint Operators;     ///< Status, metrics and the manifest.
  Endpoint Peers;         ///< UDP and TCP among the system's own processes.
  Endpoint Relay;         ///< Statements of other proxies; without a port none.
  std::vector<ControlHost> Controls;
  std::string PeerKey;     ///< Seals messages between the processes.
  std::string SessionKey;  ///< Seals session tokens.
  std::string TargetKey;   ///< Given by targets that announce themselves.
  std::string OperatorKey; ///< Given by operators who change something.
  // Only where targets enforce their leadership.
  Endpoint Sessions;           ///< Proxy: where callers open sessions.
  Endpoint Readiness;          ///< Proxy: where the balancer asks.
  Endpoint Directory;          ///< Control: for targets and operators.
  Endpoint Promotions;         ///< Control: who carries out changes of primary.
  std::vector<Endpoint> Seeds; ///< Control hosts to start from.
  bool MayFound = false;       ///< Control: the system starts anew.
  std::size_t LostDisksBorne = 1; ///< Control: at once, without any loss.
  double QuotaOverage = 0; ///< Proxy: part of a quota that may be passed.
  double QuotaSlack = 0;   ///< Proxy: operations that may be passed by.
  Millis QuotaWindow = Millis(5000); ///< Proxy: in which both are meant.
  bool JsonLogs = false;
  LogLevel Level = LogLevel::Info;
  /// How long a stopping proxy still takes new callers, so that the balancer
  /// can see that it isn't ready.
  Millis StopNotice = Millis(2000);
  /// How long a graceful stop may wait for what is in flight.
  Millis StopBound = Millis(30000);

  bool operator==(const Settings &) const = default;
};

/// The keys of a settings file; Help/settings.md lists the same.
const KeyTable &settingKeys();

/// The settings in \p Text, or all their faults.
tl::expected<Settings, Findings> parseSettings(const std::string &File,
                                               const std::string &Text);

} // namespace corianderdyke

#endif
