/// \file
/// Malformed inputs found by fuzzing. Each decoder must return a clear error.

#include "Common/Codec.h"
#include "Common/Compression.h"
#include "FakeCluster.h"
#include "Manifest/ManifestFile.h"
#include "Proxy/StatementRequest.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

TEST_CASE("An excessive list length is an error", "[decoder]") {
  // A few damaged bytes declare a list of billions of elements. Allocating
  // memory for it would end the process, so the decoder returns an error.
  std::string Bytes = encode(std::string("text"));
  for (std::size_t At = 1; At <= 8; ++At)
    Bytes[At] = '\x14';
  const auto Text = decode<std::string>(Bytes);
  REQUIRE_FALSE(Text);
  CHECK(Text.error().Code == ErrorCode::Corrupt);
  CHECK_FALSE(decode<std::vector<std::string>>(Bytes));
}

TEST_CASE("A byte that is neither true nor false is an error", "[decoder]") {
  std::string Bytes = encode(true);
  Bytes.back() = '\x07';
  CHECK_FALSE(decode<bool>(Bytes));
}

TEST_CASE("Non-ASCII characters outside quotes are reported as findings",
          "[decoder]") {
  // The behaviour of the TOML library is undefined for some non-ASCII
  // characters, such as Latvian letters in a key. They are rejected before
  // parsing, except in quotes and comments.
  const std::string Line =
      GENERATE("version = 1 \xd1\xab\n", "\xd1\xab\n#\n",
               "version = 1 # \xc4\x81\n\xc4\x81tri = 1\n",
               // A quote inside a malformed number does not open a string.
               "version = 7.\"0.210.\xcf\xbf\"\n");
  const auto Read = parseManifest("manifest.toml", Line);
  REQUIRE_FALSE(Read);
  CHECK(Read.error().front().Message ==
        "a character outside quotes that isn't ASCII");
  const auto Quoted = parseManifest("manifest.toml",
                                    "version = 1 # \xc4\x81\n[[organisation]]\n"
                                    "name = \"\xc4\x81tri \\\" \xc4\x81\"\n");
  if (!Quoted)
    for (const Finding &Each : Quoted.error())
      CHECK(Each.Message != "a character outside quotes that isn't ASCII");
}

TEST_CASE("A deadline that is out of range becomes the deadline of the kind",
          "[decoder]") {
  // A caller without a time limit sends a duration that overflows a signed
  // integer. It must not be refused as if its deadline had passed.
  const Manifest Current =
      *parseManifest("manifest.toml", FakeCluster::BaseManifest);
  HttpRequest Request;
  Request.Headers = {{caller_header::Database, "bale-ledger-1"},
                     {caller_header::Organisation, "port-clerks"},
                     {caller_header::Kind, "lookup"},
                     {caller_header::DeadlineMs, "16397105843297332992"}};
  const auto Read =
      parseStatement(StatementOperation::Run, Request, Current, "key");
  REQUIRE(Read);
  CHECK(Read->Timeout == Current.kind("lookup")->Deadline);
}

TEST_CASE("Long messages are compressed, and a wrong length is an error",
          "[decoder]") {
  std::string Long;
  for (int Each = 0; Each < 500; ++Each)
    Long += "route " + std::to_string(Each) + " of the same group\n";
  const std::string Compressed = compressMessage(Long);
  CHECK(Compressed.size() < Long.size() / 3);
  CHECK(decompressMessage(Compressed, Long.size()) == Long);
  CHECK(decompressMessage(compressMessage("short"), 100) ==
        std::string("short"));
  // A length above the limit, one that differs from the length of the content,
  // and bytes that are not compressed data.
  CHECK_FALSE(decompressMessage(Compressed, Long.size() - 1));
  std::string Other = Compressed;
  Other[1] = static_cast<char>(Other[1] + 1);
  CHECK_FALSE(decompressMessage(Other, Long.size() * 2));
  CHECK_FALSE(decompressMessage("", 100));
  CHECK_FALSE(decompressMessage("?", 100));
  CHECK_FALSE(decompressMessage("z", 100));
}
