/// \file
/// Reads TOML tables field by field and collects every fault with its place.

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

/// One table of a file, read by the descriptions of its keys.
/// reportUnknownKeys() reports keys that have none, with the nearest known key
/// as a suggestion.
class TomlReader {
public:
  /// Reads the top level.
  TomlReader(std::string File, const KeySchema &Keys, const toml::table &Root,
             Findings &Found);

  /// True where the file has the key.
  bool has(const std::string &Key) const {
    return Table != nullptr && Table->contains(Key);
  }
  /// A string; \p Otherwise where it's missing and may be.
  std::string string(const std::string &Key, const std::string &Default = "");
  std::int64_t number(const std::string &Key);
  /// A number whose default depends on other keys.
  std::int64_t number(const std::string &Key, std::int64_t Otherwise);
  std::uint32_t count(const std::string &Key) {
    return static_cast<std::uint32_t>(number(Key));
  }
  Millis millis(const std::string &Key) { return Millis(number(Key)); }
  /// A span like "6s" or "4500ms"; 0 where it's missing and may be.
  Millis duration(const std::string &Key);
  /// A number from 0 on in a string, like "0.1"; 0 where it's missing.
  double decimal(const std::string &Key);
  bool flag(const std::string &Key);
  std::vector<std::string> stringList(const std::string &Key);
  /// An address; no address where it's missing and may be.
  Endpoint endpoint(const std::string &Key);
  /// The index of the key's word among those of its description.
  std::size_t choiceIndex(const std::string &Key);

  /// The table "[Key]"; where the file doesn't have it, its required keys
  /// are missing.
  TomlReader table(const std::string &Key);
  /// Calls \p Each for every table "[[Key]]".
  void tables(const std::string &Key,
              const std::function<void(TomlReader &)> &Each);

  /// Adds a finding at a key, or at the table where the key is missing.
  void addFinding(const std::string &Key, std::string Message,
                  std::string Suggestion = "");

  /// Findings so far, in the whole file.
  std::size_t findingCount() const { return Found.size(); }

  /// Reports keys that the file may not have.
  void reportUnknownKeys();

private:
  TomlReader(const TomlReader &Outer, std::string Name,
             const toml::table *Table);

  const KeyDescription &describe(const std::string &Key) const;
  /// The key's value; null, with a finding where it's required, if missing.
  const toml::node *node(const std::string &Key);
  void reportType(const std::string &Key, const std::string &Wanted);
  std::vector<std::string> knownWords() const;

  std::string File;
  const KeySchema &Keys;
  std::string Name; ///< As in KeyDescription::Table.
  const toml::table *Table;
  Findings &Found;
};

/// Parses a whole file; a fault of syntax becomes one finding.
toml::table parseToml(const std::string &File, const std::string &Text,
                      Findings &Found);

} // namespace corianderdyke

#endif
