/// \file
/// Reads TOML tables key by key and collects all errors with their positions.

#ifndef CORIANDERDYKE_SETTINGS_TOMLREADER_H
#define CORIANDERDYKE_SETTINGS_TOMLREADER_H

#include "Common/Finding.h"
#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Settings/KeySchema.h"

#include <functional>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace corianderdyke {

/// Reads one table of a file according to the schema of its keys.
/// reportUnknownKeys() reports keys that the schema does not have, with the
/// closest known key as a suggestion.
class TomlReader {
public:
  /// Reads the top level.
  TomlReader(std::string File, const KeySchema &Keys, const toml::table &Root,
             Findings &Found);

  /// True if the table has the key.
  bool has(const std::string &Key) const {
    return Table != nullptr && Table->contains(Key);
  }
  /// A string; \p Default if the key is missing and optional.
  std::string string(const std::string &Key, const std::string &Default = "");
  std::int64_t number(const std::string &Key);
  /// A number whose default depends on other keys.
  std::int64_t number(const std::string &Key, std::int64_t Default);
  std::uint32_t count(const std::string &Key) {
    return static_cast<std::uint32_t>(number(Key));
  }
  Millis millis(const std::string &Key) { return Millis(number(Key)); }
  /// A duration like "6s" or "4500ms"; 0 if the key is missing and optional.
  Millis duration(const std::string &Key);
  /// A number of 0 or more in a string, like "0.1"; 0 if the key is missing.
  double decimal(const std::string &Key);
  bool flag(const std::string &Key);
  std::vector<std::string> stringList(const std::string &Key);
  /// An address; an empty one if the key is missing and optional.
  Endpoint endpoint(const std::string &Key);
  /// The index of the value among the choices of the key.
  std::size_t choiceIndex(const std::string &Key);

  /// The table "[Key]"; if the file does not have it, its required keys are
  /// reported as missing.
  TomlReader table(const std::string &Key);
  /// Calls \p Each for every table "[[Key]]".
  void tables(const std::string &Key,
              const std::function<void(TomlReader &)> &Each);

  /// Adds a finding at a key, or at the table if the key is missing.
  void addFinding(const std::string &Key, std::string Message,
                  std::string Suggestion = "");

  /// Number of findings so far in the whole file.
  std::size_t findingCount() const { return Found.size(); }

  /// Reports keys that the schema does not have.
  void reportUnknownKeys();

private:
  TomlReader(const TomlReader &Outer, std::string Name,
             const toml::table *Table);

  const KeyDescription &describe(const std::string &Key) const;
  /// The value of a key; null if missing, with a finding if it is required.
  const toml::node *node(const std::string &Key);
  void reportType(const std::string &Key, const std::string &TypeText);
  std::vector<std::string> knownKeys() const;

  std::string File;
  const KeySchema &Keys;
  std::string Name; ///< As in KeyDescription::Table.
  const toml::table *Table;
  Findings &Found;
};

/// Parses a whole file; a syntax error becomes a finding.
toml::table parseToml(const std::string &File, const std::string &Text,
                      Findings &Found);

} // namespace corianderdyke

#endif
