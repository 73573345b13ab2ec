/// \file
/// Measures the slopes that docs/CAPACITY.md rests on and writes its tables.

#include "Measurements.h"
#include "TargetSize.h"

#include <CLI/CLI.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace corianderdyke;

namespace {

std::string shown(double Value) {
  char Text[32];
  const double Size = std::fabs(Value);
  const char *Format = Size >= 100 ? "%.0f" : Size >= 1 ? "%.1f" : "%.3f";
  std::snprintf(Text, sizeof(Text), Format, Value);
  return Text;
}

std::string slopeTable(const Slopes &Measured) {
  std::ostringstream Out;
  Out << "| slope | measured at (size: value) | fixed | each | per | fit |\n"
      << "| --- | --- | --- | --- | --- | --- |\n";
  for (const auto &[Name, Each] : Measured) {
    Out << "| " << Name << " | ";
    const char *Separator = "";
    for (const Point &At : Each.points()) {
      Out << Separator << shown(At.Size) << ": " << shown(At.Value);
      Separator = ", ";
    }
    Out << " | " << shown(Each.fixed()) << " " << Each.unit() << " | "
        << shown(Each.each()) << " " << Each.unit() << " | " << Each.per()
        << " | " << shown(Each.fit()) << " |\n";
  }
  return Out.str();
}

std::string targetTable(const Slopes &Measured) {
  std::ostringstream Out;
  Out << "| role | what | worked out as | budget | today's mechanism | "
         "planned mechanism | which is |\n"
      << "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const CapacityLine &Line : capacityLines(Measured))
    Out << "| " << Line.Role << " | " << Line.What << " | " << Line.Formula
        << " | "
        << (Line.Budget > 0 ? shown(Line.Budget) + " " + Line.Unit : "-")
        << " | " << shown(Line.Today) << " " << Line.Unit << " | "
        << shown(Line.Planned) << " " << Line.Unit << " | " << Line.Mechanism
        << " |\n";
  return Out.str();
}

/// Puts a table between its two marker lines.
bool replaceTable(std::string &Page, const std::string &Name,
                  const std::string &Table) {
  const std::string Begin = "<!-- begin " + Name + " -->\n";
  const std::string End = "<!-- end " + Name + " -->";
  const std::size_t From = Page.find(Begin);
  const std::size_t To = Page.find(End);
  if (From == std::string::npos || To == std::string::npos)
    return false;
  Page.replace(From + Begin.size(), To - From - Begin.size(), Table);
  return true;
}

int writePage(const std::string &Path, const Slopes &Measured) {
  std::ifstream In(Path);
  std::ostringstream Read;
  Read << In.rdbuf();
  std::string Page = Read.str();
  if (!replaceTable(Page, "slopes", slopeTable(Measured)) ||
      !replaceTable(Page, "target size", targetTable(Measured))) {
    std::cerr << Path << ": the marker lines of the tables are missing\n";
    return 1;
  }
  std::ofstream(Path) << Page;
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Measures the slopes of docs/CAPACITY.md", "measure-capacity");
  std::string Page;
  App.add_option("--write", Page, "Page whose tables are written anew");
  CLI11_PARSE(App, Count, Arguments);
  Slopes Measured;
  measureMessages(Measured);
  measureDuties(Measured);
  measureState(Measured);
  measureLoopback(Measured);
  measureStatements(Measured);
  std::cout << slopeTable(Measured) << "\n" << targetTable(Measured);
  return Page.empty() ? 0 : writePage(Page, Measured);
}
