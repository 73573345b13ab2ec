/// \file
/// Reads TOML tables field by field and collects every fault with its place.

#ifndef CORIANDERDYKE_SETTINGS_TOMLREADER_H
#define CORIANDERDYKE_SETTINGS_TOMLREADER_H

#include "Common/Finding.h"
#include "Common/Identity.h"
#include "Common/Millis.h"

#include <functional>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace corianderdyke {

/// One table of a file. Each key that is read is marked as known; finish()
/// reports the rest, with the nearest known key as a suggestion.
class TomlReader {
public:
  /// \p Table may be null: a table that the file doesn't have, in which
  /// every required key is missing.
  TomlReader(std::string File, std::string Name, const toml::table *Table,
             Findings &Found);

  bool isPresent() const { return Table != nullptr; }

  std::string text(const std::string &Key, const std::string &Default);
  std::string requiredText(const std::string &Key);
  std::int64_t number(const std::string &Key, std::int64_t Default,
                      std::int64_t Least, std::int64_t Most);
  Millis millis(const std::string &Key, Millis Default, Millis Least,
                Millis Most);
  bool flag(const std::string &Key, bool Default);
  std::vector<std::string> texts(const std::string &Key);
  Endpoint endpoint(const std::string &Key, bool Required);
  /// The index of the key's word in \p Words.
  std::size_t word(const std::string &Key,
                   const std::vector<std::string> &Words, std::size_t Default);

  TomlReader table(const std::string &Key);
  /// Calls \p Each for every table of an array of tables.
  void tables(const std::string &Key,
              const std::function<void(TomlReader &)> &Each);

  /// Adds a finding at a key, or at the table where the key is missing.
  void report(const std::string &Key, std::string Message,
              std::string Suggestion = "");

  /// Reports keys that nobody asked for.
  void finish();

private:
  const toml::node *node(const std::string &Key);
  void reportType(const std::string &Key, const std::string &Wanted);

  std::string File;
  std::string Name;
  const toml::table *Table;
  Findings &Found;
  std::set<std::string> Known;
};

/// Parses a whole file; a fault of syntax becomes one finding.
toml::table parseToml(const std::string &File, const std::string &Text,
                      Findings &Found);

} // namespace corianderdyke

#endif
