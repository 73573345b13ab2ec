/// \file
/// Reads TOML tables field by field and collects every fault with its place.

#include "Settings/TomlReader.h"

#include <algorithm>
#include <numeric>

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

template <class Words>
std::string nearest(const std::string &Word, const Words &Known) {
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

} // namespace

TomlReader::TomlReader(std::string File, std::string Name,
                       const toml::table *Table, Findings &Found)
    : File(std::move(File)), Name(std::move(Name)), Table(Table), Found(Found) {
}

const toml::node *TomlReader::node(const std::string &Key) {
  Known.insert(Key);
  return Table == nullptr ? nullptr : Table->get(Key);
}

void TomlReader::report(const std::string &Key, std::string Message,
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
  report(Key, "'" + Key + "' in " + Name + " must be " + Wanted);
}

std::string TomlReader::text(const std::string &Key,
                             const std::string &Default) {
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Default;
  if (const auto Value = At->value_exact<std::string>())
    return *Value;
  reportType(Key, "a string");
  return Default;
}

std::string TomlReader::requiredText(const std::string &Key) {
  if (node(Key) == nullptr) {
    report(Key, "'" + Key + "' is missing in " + Name);
    return "";
  }
  const std::size_t Before = Found.size();
  std::string Value = text(Key, "");
  if (Value.empty() && Found.size() == Before)
    report(Key, "'" + Key + "' in " + Name + " is empty");
  return Value;
}

std::int64_t TomlReader::number(const std::string &Key, std::int64_t Default,
                                std::int64_t Least, std::int64_t Most) {
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Default;
  const auto Value = At->value_exact<std::int64_t>();
  if (!Value) {
    reportType(Key, "a whole number");
    return Default;
  }
  if (*Value < Least || *Value > Most) {
    report(Key, "'" + Key + "' in " + Name + " is " + std::to_string(*Value),
           "it may be " + std::to_string(Least) + " to " +
               std::to_string(Most));
    return Default;
  }
  return *Value;
}

Millis TomlReader::millis(const std::string &Key, Millis Default, Millis Least,
                          Millis Most) {
  return Millis(number(Key, Default.count(), Least.count(), Most.count()));
}

bool TomlReader::flag(const std::string &Key, bool Default) {
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Default;
  if (const auto Value = At->value_exact<bool>())
    return *Value;
  reportType(Key, "true or false");
  return Default;
}

std::vector<std::string> TomlReader::texts(const std::string &Key) {
  std::vector<std::string> Out;
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Out;
  const toml::array *Array = At->as_array();
  if (Array == nullptr) {
    reportType(Key, "an array of strings");
    return Out;
  }
  for (const toml::node &Each : *Array) {
    if (const auto Value = Each.value_exact<std::string>())
      Out.push_back(*Value);
    else
      reportType(Key, "an array of strings");
  }
  return Out;
}

Endpoint TomlReader::endpoint(const std::string &Key, bool Required) {
  if (!Required && node(Key) == nullptr)
    return {};
  const std::string Text = requiredText(Key);
  if (Text.empty())
    return {};
  auto Parsed = Endpoint::parse(Text);
  if (Parsed)
    return *Parsed;
  report(Key, "'" + Key + "' in " + Name + ": " + Parsed.error().Message,
         "write it like 127.0.0.1:7000");
  return {};
}

std::size_t TomlReader::word(const std::string &Key,
                             const std::vector<std::string> &Words,
                             std::size_t Default) {
  const toml::node *At = node(Key);
  if (At == nullptr)
    return Default;
  const auto Value = At->value_exact<std::string>();
  const auto Found =
      Value ? std::find(Words.begin(), Words.end(), *Value) : Words.end();
  if (Found != Words.end())
    return static_cast<std::size_t>(Found - Words.begin());
  reportType(Key, "one of " + joined(Words));
  return Default;
}

TomlReader TomlReader::table(const std::string &Key) {
  const toml::node *At = node(Key);
  if (At != nullptr && At->as_table() == nullptr)
    reportType(Key, "a table");
  return {File, "[" + Key + "]", At == nullptr ? nullptr : At->as_table(),
          Found};
}

void TomlReader::tables(const std::string &Key,
                        const std::function<void(TomlReader &)> &Each) {
  const toml::node *At = node(Key);
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
    TomlReader Reader(File, "[[" + Key + "]]", Item.as_table(), Found);
    Each(Reader);
    Reader.finish();
  }
}

void TomlReader::finish() {
  if (Table == nullptr)
    return;
  for (const auto &[Key, Value] : *Table) {
    const std::string Word(Key.str());
    if (Known.count(Word) != 0)
      continue;
    const std::string Near = nearest(Word, Known);
    Found.push_back({File, Key.source().begin.line, Key.source().begin.column,
                     "unknown key '" + Word + "' in " + Name,
                     Near.empty() ? "" : "did you mean '" + Near + "'?"});
  }
}

toml::table parseToml(const std::string &File, const std::string &Text,
                      Findings &Found) {
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
