/// \file
/// Schema of the keys of a settings file or manifest. TomlReader uses its
/// types, ranges and defaults, and the manual has the same table.

#ifndef CORIANDERDYKE_SETTINGS_KEYSCHEMA_H
#define CORIANDERDYKE_SETTINGS_KEYSCHEMA_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderdyke {

enum class KeyType : std::uint8_t {
  String,
  StringList,
  Number,
  Boolean,
  Choice,
  Address
};

/// One key of a TOML table.
struct KeyDescription {
  std::string Table = {}; ///< "[name]", "[[name]]", or empty for the top level.
  std::string Key = {};
  KeyType Type = KeyType::String;
  std::string Unit = {};
  std::int64_t Min = 0;
  std::int64_t Max = 0;
  std::vector<std::string> Choices = {}; ///< Of a Choice or StringList.
  std::string Default = {};              ///< Empty if the key is required.
  std::string Meaning = {};
  bool IsReloadable = false; ///< Takes effect on SIGHUP.
};

/// "[[kind]]" or "[kind]" without the brackets.
std::string stripTableBrackets(const std::string &Table);

class KeySchema {
public:
  explicit KeySchema(std::vector<KeyDescription> Keys)
      : Keys(std::move(Keys)) {}

  const std::vector<KeyDescription> &keys() const { return Keys; }

  /// The description of a key; null if the schema does not have it.
  const KeyDescription *find(const std::string &Table,
                             const std::string &Key) const;

  /// The schema as the Markdown table of the manual.
  std::string markdown() const;

  /// All values of a valid file by "table instance.key", including defaults of
  /// omitted keys. Files with the same content yield equal maps.
  std::map<std::string, std::string> flatten(const std::string &Text) const;

private:
  std::vector<KeyDescription> Keys;
};

/// A value in which two files differ; empty for a file without the item.
struct ItemDifference {
  std::string Item;
  std::string From;
  std::string To;

  auto operator<=>(const ItemDifference &) const = default;
};

std::vector<ItemDifference> diffDocuments(const KeySchema &Keys,
                                          const std::string &Before,
                                          const std::string &After);

} // namespace corianderdyke

#endif
