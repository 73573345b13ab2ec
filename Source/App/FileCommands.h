/// \file
/// The commands that need no running system.

#ifndef CORIANDERDYKE_APP_FILECOMMANDS_H
#define CORIANDERDYKE_APP_FILECOMMANDS_H

#include <functional>
#include <memory>
#include <string>

namespace corianderdyke {

class ProtocolAdapter;

/// Creates the adapter to the protocols of the site.
using ProtocolAdapterFactory =
    std::function<std::unique_ptr<ProtocolAdapter>()>;

// Each returns an exit code.

int runProcess(const std::string &SettingsFile,
               const ProtocolAdapterFactory &MakeAdapter);
int checkSettings(const std::string &File, bool Json);
int checkManifest(const std::string &File, bool Json);

/// Prints the Markdown table of "settings", "manifest", "events" or
/// "metrics".
int printCatalogue(const std::string &Name);

} // namespace corianderdyke

#endif
