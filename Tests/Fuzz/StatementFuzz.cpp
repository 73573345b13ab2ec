/// \file
/// Fuzzes the parser of statement headers. Each line of the input is the value
/// of one header, in the order of the list in fuzzOne().

#include "FuzzSupport.h"
#include "Manifest/ManifestFile.h"
#include "Proxy/StatementRequest.h"

#include <sstream>

using namespace corianderdyke;

namespace {

const Manifest &manifest() {
  static const Manifest Parsed = *parseManifest("fuzz", R"(
version = 1
[[organisation]]
name = "a"
[[database]]
name = "b"
[[kind]]
name = "r"
access = "read"
accepted_age_ms = 2000
[[kind]]
name = "w"
access = "write"
repeatable = false
)");
  return Parsed;
}

} // namespace

void fuzzOne(const std::string &Input) {
  HttpRequest Request;
  std::istringstream Lines(Input);
  for (const char *Name :
       {caller_header::Database, caller_header::Organisation,
        caller_header::Kind, caller_header::Session, caller_header::Key,
        caller_header::Transaction, caller_header::DeadlineMs}) {
    std::string Value;
    if (std::getline(Lines, Value))
      Request.Headers[Name] = Value;
  }
  for (const StatementOperation What :
       {StatementOperation::Run, StatementOperation::Begin,
        StatementOperation::Commit}) {
    const auto Read = parseStatement(What, Request, manifest(), "key");
    expect(!Read || (Read->Timeout > Millis() &&
                     manifest().database(Read->Database) != nullptr));
  }
}
