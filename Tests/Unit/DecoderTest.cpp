/// \file
/// Inputs that fuzzing found: each decoder answers with a clear error.

#include "Common/Codec.h"
#include "Common/Compression.h"
#include "FakeCluster.h"
#include "Manifest/ManifestFile.h"
#include "Proxy/StatementRequest.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

TEST_CASE("A hostile length is an error", "[decoder]") {
  // A few damaged bytes say that a list of thousands of millions follows.
  // Memory for it would end the process; the sender gets an error instead.
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

TEST_CASE("Letters outside quotes are findings with their place", "[decoder]") {
  // An operator writes a key in Latvian. The TOML library's behaviour is
  // undefined for some of these letters, so it never sees them; in quotes
  // and comments they are welcome.
  const std::string Line =
      GENERATE("version = 1 \xd1\xab\n", "\xd1\xab\n#\n",
               "version = 1 # \xc4\x81\n\xc4\x81tri = 1\n",
               // A quote inside a broken number opens no text.
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

TEST_CASE("A deadline beyond all bounds is the kind's own", "[decoder]") {
  // A caller that would wait for ever sends a span that no signed number
  // holds. It mustn't be refused as if its deadline had passed.
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

TEST_CASE("Long messages are packed, and a false length is an error",
          "[decoder]") {
  std::string Long;
  for (int Each = 0; Each < 500; ++Each)
    Long += "route " + std::to_string(Each) + " of the same group\n";
  const std::string Packed = compressMessage(Long);
  CHECK(Packed.size() < Long.size() / 3);
  CHECK(decompressMessage(Packed, Long.size()) == Long);
  CHECK(decompressMessage(compressMessage("short"), 100) ==
        std::string("short"));
  // A length that would fill the memory, one that isn't the content's, and
  // bytes that are no packing at all.
  CHECK_FALSE(decompressMessage(Packed, Long.size() - 1));
  std::string Other = Packed;
  Other[1] = static_cast<char>(Other[1] + 1);
  CHECK_FALSE(decompressMessage(Other, Long.size() * 2));
  CHECK_FALSE(decompressMessage("", 100));
  CHECK_FALSE(decompressMessage("?", 100));
  CHECK_FALSE(decompressMessage("z", 100));
}
