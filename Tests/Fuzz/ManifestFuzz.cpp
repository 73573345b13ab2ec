/// \file
/// Fuzzes the parser of the manifest file.

#include "Common/Codec.h"
#include "FuzzSupport.h"
#include "Manifest/ManifestFile.h"

using namespace corianderdyke;

void fuzzOne(const std::string &Input) {
  const auto Read = parseManifest("fuzz.toml", Input);
  expect(Read || !Read.error().empty());
  if (!Read)
    return;
  // The digest is the same on the hosts that receive the encoded manifest.
  const auto Sent = decode<Manifest>(encode(*Read));
  expect(Sent.has_value() && Sent->digest() == Read->digest());
}
