/// \file
/// Schema of the keys of a settings file or manifest.

#include "Settings/KeySchema.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>

namespace corianderdyke {

namespace {

std::string joinWithCommas(const std::vector<std::string> &Texts) {
  std::string Out;
  for (const std::string &Each : Texts)
    Out += (Out.empty() ? "" : ", ") + Each;
  return Out;
}

std::string typeName(KeyType Of) {
  switch (Of) {
  case KeyType::String:
    return "string";
  case KeyType::StringList:
    return "array of strings";
  case KeyType::Number:
    return "number";
  case KeyType::Boolean:
    return "true or false";
  case KeyType::Choice:
    return "word";
  case KeyType::Address:
    break;
  }
  return "address:port";
}

std::string rangeText(const KeyDescription &Of) {
  if (Of.Type == KeyType::Choice || Of.Type == KeyType::StringList)
    return joinWithCommas(Of.Choices);
  if (Of.Type != KeyType::Number)
    return "";
  return std::to_string(Of.Min) + " to " + std::to_string(Of.Max);
}

std::string textOf(const toml::node &Of) {
  std::ostringstream Out;
  Of.visit([&Out](const auto &Value) { Out << Value; });
  std::string Text = Out.str();
  if (Text.size() >= 2 && Text.front() == Text.back() &&
      (Text.front() == '\'' || Text.front() == '"'))
    Text = Text.substr(1, Text.size() - 2);
  return Text;
}

std::string itemPrefix(const std::string &Table, const toml::table &Instance) {
  if (Table.empty())
    return "";
  std::string Out = stripTableBrackets(Table);
  if (Table.rfind("[[", 0) == 0)
    if (const toml::node *Name = Instance.get("name"))
      Out += " " + textOf(*Name);
  return Out + ".";
}

void flattenKey(const KeyDescription &Key, const toml::table &Instance,
                std::map<std::string, std::string> &Out) {
  const toml::node *Value = Instance.get(Key.Key);
  Out[itemPrefix(Key.Table, Instance) + Key.Key] =
      Value == nullptr ? Key.Default : textOf(*Value);
}

} // namespace

std::string stripTableBrackets(const std::string &Table) {
  const std::size_t Begin = Table.find_first_not_of('[');
  return Begin == std::string::npos
             ? ""
             : Table.substr(Begin, Table.find(']') - Begin);
}

const KeyDescription *KeySchema::find(const std::string &Table,
                                      const std::string &Key) const {
  for (const KeyDescription &Each : Keys)
    if (Each.Table == Table && Each.Key == Key)
      return &Each;
  return nullptr;
}

std::string KeySchema::markdown() const {
  const bool HasReloadableKeys =
      std::any_of(Keys.begin(), Keys.end(),
                  [](const KeyDescription &Each) { return Each.IsReloadable; });
  std::string Out = std::string("| table | key | type | unit | range | "
                                "default | ") +
                    (HasReloadableKeys ? "reload | " : "") + "meaning |\n" +
                    "| --- | --- | --- | --- | --- | --- | " +
                    (HasReloadableKeys ? "--- | " : "") + "--- |\n";
  for (const KeyDescription &Each : Keys)
    Out += "| " + (Each.Table.empty() ? "top level" : "`" + Each.Table + "`") +
           " | `" + Each.Key + "` | " + typeName(Each.Type) + " | " +
           Each.Unit + " | " + rangeText(Each) + " | " +
           (Each.Default.empty() ? "required" : "`" + Each.Default + "`") +
           " | " +
           (HasReloadableKeys ? (Each.IsReloadable ? "yes | " : "no | ") : "") +
           Each.Meaning + " |\n";
  return Out;
}

std::map<std::string, std::string>
KeySchema::flatten(const std::string &Text) const {
  std::map<std::string, std::string> Out;
  if (Text.empty())
    return Out;
  static const toml::table Empty;
  const toml::table Root = toml::parse(Text);
  for (const KeyDescription &Each : Keys) {
    const toml::node *Node = Root.get(stripTableBrackets(Each.Table));
    if (Each.Table.empty())
      flattenKey(Each, Root, Out);
    else if (const toml::array *All =
                 Node == nullptr ? nullptr : Node->as_array())
      for (const toml::node &Item : *All)
        flattenKey(Each, *Item.as_table(), Out);
    else if (Each.Table.rfind("[[", 0) != 0)
      flattenKey(Each, Node == nullptr ? Empty : *Node->as_table(), Out);
  }
  return Out;
}

std::vector<ItemDifference> diffDocuments(const KeySchema &Keys,
                                          const std::string &Before,
                                          const std::string &After) {
  const auto Old = Keys.flatten(Before);
  const auto New = Keys.flatten(After);
  std::map<std::string, ItemDifference> All;
  for (const auto &[Item, Value] : Old)
    All[Item] = {Item, Value, ""};
  for (const auto &[Item, Value] : New) {
    ItemDifference &Each = All[Item];
    Each.Item = Item;
    Each.To = Value;
  }
  std::vector<ItemDifference> Out;
  for (const auto &[Item, Each] : All)
    if (Each.From != Each.To)
      Out.push_back(Each);
  return Out;
}

} // namespace corianderdyke
