/// \file
/// Reads TOML tables key by key and collects all errors with their positions.

#include "Settings/TomlReader.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstdlib>
#include <numeric>
#include <stdexcept>
#include <string_view>

namespace corianderdyke {

namespace {

/// Levenshtein distance of two words.
std::size_t editDistance(const std::string &Left, const std::string &Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Above = Row[J];
      const std::size_t Changed =
          Diagonal + (Left[I - 1] == Right[J - 1] ? 0 : 1);
      Row[J] = std::min({Above + 1, Row[J - 1] + 1, Changed});
      Diagonal = Above;
    }
  }
  return Row.back();
}

std::string closestMatch(const std::string &Word,
                         const std::vector<std::string> &Known) {
  std::string Best;
  std::size_t BestDistance = Word.size() / 2 + 1;
  for (const std::string &Each : Known) {
    const std::size_t Edits = editDistance(Word, Each);
    if (Edits < BestDistance) {
      BestDistance = Edits;
      Best = Each;
    }
  }
  return Best;
}

std::string joinWithCommas(const std::vector<std::string> &Texts) {
  std::string Out;
  for (const std::string &Each : Texts)
    Out += (Out.empty() ? "" : ", ") + Each;
  return Out;
}

constexpr char FirstNonAscii = '\x80';
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

bool isAscii(char Byte) {
  return static_cast<unsigned char>(Byte) <
         static_cast<unsigned char>(FirstNonAscii);
}

/// Position of the quote that closes a string; the size of the line if the
/// string is not closed there.
std::size_t closingQuote(std::string_view Line, std::size_t Opening) {
  const char Quote = Line[Opening];
  for (std::size_t At = Opening + 1; At < Line.size(); ++At) {
    if (Line[At] == '\\' && Quote == '"')
      ++At;
    else if (Line[At] == Quote)
      return At;
  }
  return Line.size();
}

/// True for a quote that opens a string. toml++ treats a quote directly after a
/// bare word, and the text behind the quote, as part of that word: in 7."0 the
/// characters after the quote still belong to an invalid number.
bool opensString(std::string_view Line, std::size_t At) {
  if (Line[At] != '"' && Line[At] != '\'')
    return false;
  if (At == 0)
    return true;
  const char Before = Line[At - 1];
  return std::isalnum(static_cast<unsigned char>(Before)) == 0 &&
         std::string_view("._-+").find(Before) == std::string_view::npos;
}

/// Position of the first byte of a line that is not ASCII and not inside quotes
/// or a comment; the size of the line if there is none.
std::size_t firstUnquotedNonAscii(std::string_view Line) {
  for (std::size_t At = 0; At < Line.size(); ++At) {
    if (Line[At] == '#')
      return Line.size();
    if (!isAscii(Line[At]))
      return At;
    if (opensString(Line, At))
      At = closingQuote(Line, At);
  }
  return Line.size();
}

/// Findings for all characters outside quotes that are not ASCII. The behaviour
/// of toml++ is undefined for some of them: a bare key with Latvian letters
/// could end the process, or a letter could be read as a space. No key of the
/// schemas has such letters, so they are rejected before toml++ parses the
/// text.
Findings findUnquotedNonAscii(const std::string &File, std::string_view Text) {
  Findings Found;
  if (Text.substr(0, ByteOrderMark.size()) == ByteOrderMark)
    Text.remove_prefix(ByteOrderMark.size());
  for (std::uint32_t Number = 1; !Text.empty(); ++Number) {
    const std::string_view Line = Text.substr(0, Text.find('\n'));
    Text.remove_prefix(std::min(Text.size(), Line.size() + 1));
    const std::size_t At = firstUnquotedNonAscii(Line);
    if (At < Line.size())
      Found.push_back({File, Number, static_cast<std::uint32_t>(At + 1),
                       "a character outside quotes that isn't ASCII",
                       "put it in quotes on one line"});
  }
  return Found;
}

} // namespace

TomlReader::TomlReader(std::string File, const KeySchema &Keys,
                       const toml::table &Root, Findings &Found)
    : File(std::move(File)), Keys(Keys), Table(&Root), Found(Found) {}

TomlReader::TomlReader(const TomlReader &Outer, std::string Name,
                       const toml::table *Table)
    : File(Outer.File), Keys(Outer.Keys), Name(std::move(Name)), Table(Table),
      Found(Outer.Found) {}

const KeyDescription &TomlReader::describe(const std::string &Key) const {
  const KeyDescription *Description = Keys.find(Name, Key);
  if (Description == nullptr)
    throw std::logic_error("the schema has no key '" + Key + "'");
  return *Description;
}

const toml::node *TomlReader::node(const std::string &Key) {
  const toml::node *Node = Table == nullptr ? nullptr : Table->get(Key);
  if (Node == nullptr && describe(Key).Default.empty())
    addFinding(Key, "'" + Key + "' is missing" +
                        (Name.empty() ? "" : " in " + Name));
  return Node;
}

void TomlReader::addFinding(const std::string &Key, std::string Message,
                            std::string Suggestion) {
  const toml::node *Node = Table == nullptr ? nullptr : Table->get(Key);
  if (Node == nullptr)
    Node = Table;
  Finding NewFinding{File, 0, 0, std::move(Message), std::move(Suggestion)};
  if (Node != nullptr) {
    NewFinding.Line = Node->source().begin.line;
    NewFinding.Column = Node->source().begin.column;
  }
  Found.push_back(std::move(NewFinding));
}

void TomlReader::reportType(const std::string &Key,
                            const std::string &TypeText) {
  addFinding(Key, "'" + Key + "'" + (Name.empty() ? "" : " in " + Name) +
                      " must be " + TypeText);
}

std::string TomlReader::string(const std::string &Key,
                               const std::string &Default) {
  const toml::node *Node = node(Key);
  if (Node == nullptr)
    return Default;
  const auto Value = Node->value_exact<std::string>();
  if (!Value)
    reportType(Key, "a string");
  else if (Value->empty())
    addFinding(Key, "'" + Key + "' is empty");
  return Value.value_or(Default);
}

std::int64_t TomlReader::number(const std::string &Key) {
  return number(Key, std::atoll(describe(Key).Default.c_str()));
}

std::int64_t TomlReader::number(const std::string &Key, std::int64_t Default) {
  const KeyDescription &Description = describe(Key);
  const toml::node *Node = node(Key);
  if (Node == nullptr)
    return Default;
  const auto Value = Node->value_exact<std::int64_t>();
  if (!Value) {
    reportType(Key, "a whole number");
    return Default;
  }
  if (*Value < Description.Min || *Value > Description.Max) {
    addFinding(Key,
               "'" + Key + "'" + (Name.empty() ? "" : " in " + Name) + " is " +
                   std::to_string(*Value),
               "it may be " + std::to_string(Description.Min) + " to " +
                   std::to_string(Description.Max));
    return Default;
  }
  return *Value;
}

Millis TomlReader::duration(const std::string &Key) {
  const std::string Text = string(Key);
  if (Text.empty())
    return Millis();
  constexpr double MillisPerSecond = 1000;
  char *Unit = nullptr;
  const double Count = std::strtod(Text.c_str(), &Unit);
  const std::string UnitText(Unit);
  if (Count < 0 || Unit == Text.c_str() ||
      (UnitText != "s" && UnitText != "ms")) {
    addFinding(Key, "'" + Key + "' is not a duration",
               "write it like 6s or 4500ms");
    return Millis();
  }
  return Millis(static_cast<std::int64_t>(
      UnitText == "s" ? Count * MillisPerSecond : Count));
}

double TomlReader::decimal(const std::string &Key) {
  const std::string Text = string(Key);
  char *End = nullptr;
  const double Value = std::strtod(Text.c_str(), &End);
  if (Text.empty() || (*End == 0 && Value >= 0 && std::isfinite(Value)))
    return Value;
  addFinding(Key, "'" + Key + "' is not a number of 0 or more",
             "write it like 0.1");
  return 0;
}

bool TomlReader::flag(const std::string &Key) {
  const bool Default = describe(Key).Default == "true";
  const toml::node *Node = node(Key);
  if (Node == nullptr)
    return Default;
  const auto Value = Node->value_exact<bool>();
  if (!Value)
    reportType(Key, "true or false");
  return Value.value_or(Default);
}

std::vector<std::string> TomlReader::stringList(const std::string &Key) {
  std::vector<std::string> Out;
  const toml::node *Node = node(Key);
  const toml::array *Array = Node == nullptr ? nullptr : Node->as_array();
  if (Node != nullptr && Array == nullptr)
    reportType(Key, "an array of strings");
  if (Array == nullptr)
    return Out;
  for (const toml::node &Each : *Array) {
    if (const auto Value = Each.value_exact<std::string>())
      Out.push_back(*Value);
    else
      reportType(Key, "an array of strings");
  }
  return Out;
}

Endpoint TomlReader::endpoint(const std::string &Key) {
  const std::string Text = string(Key);
  if (Text.empty())
    return {};
  auto Parsed = Endpoint::parse(Text);
  if (Parsed)
    return *Parsed;
  addFinding(Key, "'" + Key + "' in " + Name + ": " + Parsed.error().Message,
             "write it like 127.0.0.1:7000");
  return {};
}

std::size_t TomlReader::choiceIndex(const std::string &Key) {
  const KeyDescription &Description = describe(Key);
  const auto IndexOf = [&Description](const std::string &Word) {
    return static_cast<std::size_t>(std::find(Description.Choices.begin(),
                                              Description.Choices.end(), Word) -
                                    Description.Choices.begin());
  };
  const toml::node *Node = node(Key);
  if (Node == nullptr)
    return IndexOf(Description.Default);
  const auto Value = Node->value_exact<std::string>();
  const std::size_t Index =
      Value ? IndexOf(*Value) : Description.Choices.size();
  if (Index < Description.Choices.size())
    return Index;
  const std::string Closest =
      Value ? closestMatch(*Value, Description.Choices) : "";
  addFinding(Key,
             "'" + Key + "'" + (Name.empty() ? "" : " in " + Name) +
                 " must be one of " + joinWithCommas(Description.Choices),
             Closest.empty() ? "" : "did you mean '" + Closest + "'?");
  return IndexOf(Description.Default);
}

TomlReader TomlReader::table(const std::string &Key) {
  const toml::node *Node = Table == nullptr ? nullptr : Table->get(Key);
  if (Node != nullptr && Node->as_table() == nullptr)
    reportType(Key, "a table");
  return {*this, "[" + Key + "]", Node == nullptr ? nullptr : Node->as_table()};
}

void TomlReader::tables(const std::string &Key,
                        const std::function<void(TomlReader &)> &Each) {
  const toml::node *Node = Table == nullptr ? nullptr : Table->get(Key);
  if (Node == nullptr)
    return;
  const toml::array *Array = Node->as_array();
  if (Array == nullptr) {
    reportType(Key, "an array of tables");
    return;
  }
  for (const toml::node &Item : *Array) {
    if (Item.as_table() == nullptr) {
      reportType(Key, "an array of tables");
      continue;
    }
    TomlReader Reader(*this, "[[" + Key + "]]", Item.as_table());
    Each(Reader);
    Reader.reportUnknownKeys();
  }
}

std::vector<std::string> TomlReader::knownKeys() const {
  std::vector<std::string> Out;
  for (const KeyDescription &Each : Keys.keys()) {
    if (Each.Table == Name)
      Out.push_back(Each.Key);
    else if (Name.empty())
      Out.push_back(stripTableBrackets(Each.Table));
  }
  return Out;
}

void TomlReader::reportUnknownKeys() {
  if (Table == nullptr)
    return;
  const std::vector<std::string> Known = knownKeys();
  for (const auto &[Key, Value] : *Table) {
    const std::string KeyName(Key.str());
    if (std::find(Known.begin(), Known.end(), KeyName) != Known.end())
      continue;
    const std::string Closest = closestMatch(KeyName, Known);
    Found.push_back(
        {File, Key.source().begin.line, Key.source().begin.column,
         "unknown key '" + KeyName + "'" + (Name.empty() ? "" : " in " + Name),
         Closest.empty() ? "" : "did you mean '" + Closest + "'?"});
  }
}

toml::table parseToml(const std::string &File, const std::string &Text,
                      Findings &Found) {
  const Findings Unquoted = findUnquotedNonAscii(File, Text);
  if (!Unquoted.empty()) {
    Found.insert(Found.end(), Unquoted.begin(), Unquoted.end());
    return {};
  }
  try {
    return toml::parse(Text, File);
  } catch (const toml::parse_error &Exception) {
    Found.push_back({File, Exception.source().begin.line,
                     Exception.source().begin.column,
                     std::string(Exception.description()), ""});
    return {};
  }
}

} // namespace corianderdyke
