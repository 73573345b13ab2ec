/// \file
/// Validation of the settings file: findings, defaults and reloadable keys.

#include "Settings/Settings.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

std::string validSettings() {
  return R"([process]
name = "control-1"
failure_domain = "kundzinsala"
roles = ["control"]
data_folder = "data"
[listen]
operators = "127.0.0.1:7200"
peers = "127.0.0.1:7000"
[keys]
peers = "the key of all peers"
sessions = "the key of all sessions"
targets = "the key of all targets"
operators = "the key of operators"
[[control]]
name = "control-1"
peers = "127.0.0.1:7000"
)";
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

TEST_CASE("The defaults that the manual shows are those of the program",
          "[settings]") {
  const auto Read = parseSettings("f", validSettings());
  REQUIRE(Read);
  Settings Expected = *Read;
  const Settings Defaults;
  Expected.JsonLogs = Defaults.JsonLogs;
  Expected.Level = Defaults.Level;
  Expected.DrainDelay = Defaults.DrainDelay;
  Expected.StopTimeout = Defaults.StopTimeout;
  CHECK(*Read == Expected);
  CHECK(Read->OwnLocality == Locality{"default", "kundzinsala", "control-1"});
}

TEST_CASE("Each contradiction is one finding with its position", "[settings]") {
  const auto [From, To, Finding] =
      GENERATE(table<std::string, std::string, std::string>({
          {"peers = \"127.0.0.1:7000\"", "peers = \"127.0.0.1:7200\"",
           "f:7:13: two listeners share 127.0.0.1:7200; give each its own "
           "port\nf:14:1: the [[control]] list has 127.0.0.1:7000 for this "
           "host, which listens on 127.0.0.1:7200; use the same port in "
           "both\n"},
          {"data_folder = \"data\"\n", "",
           "f:1:1: a control host needs 'data_folder'; name a folder on a "
           "disk that lasts\n"},
          {"[\"control\"]", "[\"proxy\"]",
           "f:6:1: a proxy needs 'callers'; write callers = "
           "\"address:port\"\n"},
          {"the key of all targets", "the key of all peers",
           "f:10:9: a key that outsiders know is also one of the system's "
           "own; use another key for each line\n"},
          {"\"control-1\"\nfail", "\"control-2\"\nfail",
           "f:14:1: this control host isn't in the [[control]] list; add a "
           "table with name = \"control-2\"\n"},
          {"7200", "72000",
           "f:7:13: 'operators' in [listen]: '127.0.0.1:72000' has no port "
           "of 0-65535; write it like 127.0.0.1:7000\n"},
      }));
  const auto Read = parseSettings("f", replaced(validSettings(), From, To));
  REQUIRE_FALSE(Read);
  CHECK(findingsText(Read.error()) == Finding);
}

TEST_CASE("A reload reports which settings take effect", "[settings]") {
  const std::string After =
      replaced(validSettings(), "[listen]", "log_level = \"error\"\n[listen]");
  const std::vector<ItemDifference> Expected = {
      {"process.log_level", "info", "error"}};
  CHECK(diffDocuments(settingKeys(), validSettings(), After) == Expected);
  CHECK(settingKeys().find("[process]", "log_level")->IsReloadable);
  CHECK_FALSE(settingKeys().find("[listen]", "peers")->IsReloadable);
}

TEST_CASE("Decisions under hard load are off unless configured", "[settings]") {
  // Guards against a deployment whose behaviour changes without a change of its
  // settings, and against a misspelt key that is silently ignored.
  const std::string Proxy = R"([process]
name = "proxy-1"
failure_domain = "here"
roles = ["proxy"]
leadership = "targets"
[listen]
sessions = "127.0.0.1:7100"
readiness = "127.0.0.1:7101"
peers = "127.0.0.1:7000"
[keys]
peers = "the key of all peers"
[group]
seeds = ["127.0.0.1:7001"]
)";
  const auto Plain = parseSettings("f", Proxy);
  REQUIRE(Plain);
  CHECK(Plain->Load == LoadOptions{});
  const auto Configured =
      parseSettings("f", Proxy + "[load]\nlate_service = true\n"
                                 "share_below = \"1.5\"\n");
  REQUIRE(Configured);
  CHECK(Configured->Load.LateService);
  CHECK_FALSE(Configured->Load.LeadRelief);
  CHECK(Configured->Load.ShareBelow == 1.5);
  CHECK_FALSE(parseSettings("f", Proxy + "[load]\nlate_servise = true\n"));
}
