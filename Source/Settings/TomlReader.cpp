/// \file
/// Reads TOML tables field by field and collects every fault with its place.

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

/// Edits that turn one word into the other.
std::size_t distance(const std::string &Left, const std::string &Right) {
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

std::string nearest(const std::string &Word,
                    const std::vector<std::string> &Known) {
  std::string Best;
  std::size_t BestDistance = Word.size() / 2 + 1;
  for (const std::string &Each : Known) {
    const std::size_t Edits = distance(Word, Each);
    if (Edits < BestDistance) {
      BestDistance = Edits;
      Best = Each;
    }
  }
  return Best;
}

std::string joined(const std::vector<std::string> &Words) {
  std::string Out;
  for (const std::string &Each : Words)
    Out += (Out.empty() ? "" : ", ") + Each;
  return Out;
}

constexpr char FirstNonAscii = '\x80';
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

bool isAscii(char Byte) {
  return static_cast<unsigned char>(Byte) <
         static_cast<unsigned char>(FirstNonAscii);
}

/// Where a quoted text ends in a line; its size where it doesn't.
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

/// True for a quote that begins a text. Right behind a bare word it's a part of
/// that word to the library, and so is what follows: in 7."0 the letters behind
/// the quote are still those of a broken number.
bool opensText(std::string_view Line, std::size_t At) {
  if (Line[At] != '"' && Line[At] != '\'')
    return false;
  if (At == 0)
    return true;
  const char Before = Line[At - 1];
  return std::isalnum(static_cast<unsigned char>(Before)) == 0 &&
         std::string_view("._-+").find(Before) == std::string_view::npos;
}

/// The first byte of a line that isn't ASCII and stands outside quotes and
/// comments; the line's size where there's none.
std::size_t bareNonAscii(std::string_view Line) {
  for (std::size_t At = 0; At < Line.size(); ++At) {
    if (Line[At] == '#')
      return Line.size();
    if (!isAscii(Line[At]))
      return At;
    if (opensText(Line, At))
      At = closingQuote(Line, At);
  }
  return Line.size();
}

/// The library's behaviour is undefined for some letters outside quotes: an
/// operator who writes a bare key in Latvian could end the process, or see
/// the letter taken for a space. No key of ours has such letters, so they are
/// findings before the library sees them.
Findings bareLetters(const std::string &File, std::string_view Text) {
  Findings Found;
  if (Text.substr(0, ByteOrderMark.size()) == ByteOrderMark)
    Text.remove_prefix(ByteOrderMark.size());
  for (std::uint32_t Number = 1; !Text.empty(); ++Number) {
    const std::string_view Line = Text.substr(0, Text.find('\n'));
    Text.remove_prefix(std::min(Text.size(), Line.size() + 1));
    const std::size_t At = bareNonAscii(Line);
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
  const KeyDescription *Known = Keys.find(Name, Key);
  if (Known == nullptr)
    throw std::logic_error("no description of key '" + Key + "'");
  return *Known;
}

const toml::node *TomlReader::node(const std::string &Key) {
  const toml::node *At = Table == nullptr ? nullptr : Table->get(Key);
  if (At == nullptr && describe(Key).Default.empty())
    addFinding(Key, "'" + Key + "' is missing" +
                        (Name.empty() ? "" : " in " + Name));
  return At;
}

void TomlReader::addFinding(const std::string &Key, std::string Message,
                            std::string Suggestion) {
  const toml::node *At = Table == nullptr ? nullptr : Table->get(Key);
  if (At == nullptr)
    At = Table;
  Finding New{File, 0, 0, std::move(Message), std::move(Suggestion)};
  if (At != nullptr) {
    New.Line = At->source().begin.line;
    New.Column = At->source().begin.column;
  }
  Found.push_back(std::move(New));
}

void TomlReader::reportType(const std::string &Key, const std::string &Wanted) {
  addFinding(Key, "'" + Key + "'" + (Name.empty() ? "" : " in " + Name) +
                      " must be " + Wanted);
}

std::string TomlReader::string(const std::string &Key,
                               const std::string &Default) {
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Default;
  const auto Value = At->value_exact<std::string>();
  if (!Value)
    reportType(Key, "a string");
  else if (Value->empty())
    addFinding(Key, "'" + Key + "' is empty");
  return Value.value_or(Default);
}

std::int64_t TomlReader::number(const std::string &Key) {
  return number(Key, std::atoll(describe(Key).Default.c_str()));
}

std::int64_t TomlReader::number(const std::string &Key,
                                std::int64_t Otherwise) {
  const KeyDescription &Known = describe(Key);
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Otherwise;
  const auto Value = At->value_exact<std::int64_t>();
  if (!Value) {
    reportType(Key, "a whole number");
    return Otherwise;
  }
  if (*Value < Known.Min || *Value > Known.Max) {
    addFinding(Key,
               "'" + Key + "'" + (Name.empty() ? "" : " in " + Name) + " is " +
                   std::to_string(*Value),
               "it may be " + std::to_string(Known.Min) + " to " +
                   std::to_string(Known.Max));
    return Otherwise;
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
  const std::string Word(Unit);
  if (Count < 0 || Unit == Text.c_str() || (Word != "s" && Word != "ms")) {
    addFinding(Key, "'" + Key + "' is no span of time",
               "write it like 6s or 4500ms");
    return Millis();
  }
  return Millis(
      static_cast<std::int64_t>(Word == "s" ? Count * MillisPerSecond : Count));
}

double TomlReader::decimal(const std::string &Key) {
  const std::string Text = string(Key);
  char *End = nullptr;
  const double Value = std::strtod(Text.c_str(), &End);
  if (Text.empty() || (*End == 0 && Value >= 0 && std::isfinite(Value)))
    return Value;
  addFinding(Key, "'" + Key + "' is no number from 0 on", "write it like 0.1");
  return 0;
}

bool TomlReader::flag(const std::string &Key) {
  const bool Otherwise = describe(Key).Default == "true";
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Otherwise;
  const auto Value = At->value_exact<bool>();
  if (!Value)
    reportType(Key, "true or false");
  return Value.value_or(Otherwise);
}

std::vector<std::string> TomlReader::stringList(const std::string &Key) {
  std::vector<std::string> Out;
  const toml::node *At = node(Key);
  const toml::array *Array = At == nullptr ? nullptr : At->as_array();
  if (At != nullptr && Array == nullptr)
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
  const KeyDescription &Known = describe(Key);
  const auto IndexOf = [&Known](const std::string &Word) {
    return static_cast<std::size_t>(
        std::find(Known.Choices.begin(), Known.Choices.end(), Word) -
        Known.Choices.begin());
  };
  const toml::node *At = node(Key);
  if (At == nullptr)
    return IndexOf(Known.Default);
  const auto Value = At->value_exact<std::string>();
  const std::size_t Index = Value ? IndexOf(*Value) : Known.Choices.size();
  if (Index < Known.Choices.size())
    return Index;
  const std::string Near = Value ? nearest(*Value, Known.Choices) : "";
  addFinding(Key,
             "'" + Key + "'" + (Name.empty() ? "" : " in " + Name) +
                 " must be one of " + joined(Known.Choices),
             Near.empty() ? "" : "did you mean '" + Near + "'?");
  return IndexOf(Known.Default);
}

TomlReader TomlReader::table(const std::string &Key) {
  const toml::node *At = Table == nullptr ? nullptr : Table->get(Key);
  if (At != nullptr && At->as_table() == nullptr)
    reportType(Key, "a table");
  return {*this, "[" + Key + "]", At == nullptr ? nullptr : At->as_table()};
}

void TomlReader::tables(const std::string &Key,
                        const std::function<void(TomlReader &)> &Each) {
  const toml::node *At = Table == nullptr ? nullptr : Table->get(Key);
  if (At == nullptr)
    return;
  const toml::array *Array = At->as_array();
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

std::vector<std::string> TomlReader::knownWords() const {
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
  const std::vector<std::string> Known = knownWords();
  for (const auto &[Key, Value] : *Table) {
    const std::string Word(Key.str());
    if (std::find(Known.begin(), Known.end(), Word) != Known.end())
      continue;
    const std::string Near = nearest(Word, Known);
    Found.push_back(
        {File, Key.source().begin.line, Key.source().begin.column,
         "unknown key '" + Word + "'" + (Name.empty() ? "" : " in " + Name),
         Near.empty() ? "" : "did you mean '" + Near + "'?"});
  }
}

toml::table parseToml(const std::string &File, const std::string &Text,
                      Findings &Found) {
  const Findings Letters = bareLetters(File, Text);
  if (!Letters.empty()) {
    Found.insert(Found.end(), Letters.begin(), Letters.end());
    return {};
  }
  try {
    return toml::parse(Text, File);
  } catch (const toml::parse_error &Problem) {
    Found.push_back({File, Problem.source().begin.line,
                     Problem.source().begin.column,
                     std::string(Problem.description()), ""});
    return {};
  }
}

} // namespace corianderdyke
