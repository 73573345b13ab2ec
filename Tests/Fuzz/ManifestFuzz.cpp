/// \file
/// The manifest file.

#include "Common/Codec.h"
#include "FuzzSupport.h"
#include "Manifest/ManifestFile.h"

using namespace corianderdyke;

void fuzzOne(const std::string &Input) {
  const auto Read = parseManifest("fuzz.toml", Input);
  expect(Read || !Read.error().empty());
  if (!Read)
    return;
  // All hosts come to the same digest from what was sent to them.
  const auto Sent = decode<Manifest>(encode(*Read));
  expect(Sent.has_value() && Sent->digest() == Read->digest());
}
