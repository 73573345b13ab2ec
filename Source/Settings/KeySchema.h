/// \file
/// The keys that a kind of file knows, as data: the reader takes types,
/// ranges and defaults from it, and the manual shows the same rows.

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
  std::vector<std::string> Choices = {}; ///< Of a Word key.
  std::string Default = {};              ///< Empty where the key is required.
  std::string Meaning = {};
  bool IsReloadable = false; ///< Takes effect on SIGHUP.
};

/// "[[kind]]" and "[kind]" without their brackets.
std::string stripTableBrackets(const std::string &Table);

class KeySchema {
public:
  explicit KeySchema(std::vector<KeyDescription> Keys)
      : Keys(std::move(Keys)) {}

  const std::vector<KeyDescription> &keys() const { return Keys; }

  /// The key of a table; null where the file doesn't know it.
  const KeyDescription *find(const std::string &Table,
                             const std::string &Key) const;

  /// Rows of a Markdown table, as the manual has them.
  std::string markdown() const;

  /// Every value of a good file by "table instance.key", with the defaults
  /// of keys that it leaves out. Two files that say the same are equal here.
  std::map<std::string, std::string> flatten(const std::string &Text) const;

private:
  std::vector<KeyDescription> Keys;
};

/// One value that two files don't share; empty where a file hasn't the item.
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
