/// \file
/// The commands that send requests to a running system.

#ifndef CORIANDERDYKE_APP_OPERATORCOMMANDS_H
#define CORIANDERDYKE_APP_OPERATORCOMMANDS_H

#include "Common/Millis.h"
#include "Http/HttpMessage.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace corianderdyke {

/// Options of the command line: the processes that get the request, the
/// operator's name and key, and how the answer is shown.
struct OperatorOptions {
  std::vector<std::string> Hosts;
  std::string Operator = "operator";
  std::string Key;
  std::string KeyFile;
  bool Json = false;
  std::int64_t TimeoutMs = 10000;
};

/// Each returns an exit code.
class OperatorCommands {
public:
  using Renderer = std::string (*)(const nlohmann::json &);

  explicit OperatorCommands(const OperatorOptions &Options)
      : Options(Options) {}

  int status() const;
  int audit(const std::string &Subject, std::uint64_t Since) const;
  int showManifest() const;
  int manifestHistory() const;
  int compareManifest(const std::string &File) const;
  /// With \p Wait, returns once the manifest is in force or \p Timeout is over.
  int applyManifest(const std::string &File, bool Wait, Millis Timeout) const;
  int addControlHost(const std::string &Name) const;
  int removeControlHost(const std::string &Name) const;
  int drainTarget(const std::string &Name) const;
  /// Returns once the process has stopped or \p Timeout is over.
  int drainProxy(Millis Timeout) const;

private:
  int run(HttpRequest Request, Renderer Render) const;
  int sendManifest(const std::string &Path, const std::string &File,
                   Renderer Render) const;
  int waitUntilInForce(const std::string &File, Millis Timeout) const;

  const OperatorOptions &Options;
};

} // namespace corianderdyke

#endif
