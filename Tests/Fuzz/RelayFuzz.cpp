/// \file
/// Frames between proxies that carry each other's statements: any bytes.

#include "Common/Codec.h"
#include "FuzzSupport.h"
#include "Relay/RelayCodec.h"

using namespace corianderdyke;

namespace {

/// What was read is packed and read again as the same.
void expectSame(RelayCodec &Frames, const std::vector<RelayMessage> &Messages) {
  const auto Again = Frames.read(Frames.write(Messages));
  expect(Again.has_value() && *Again == Messages);
}

} // namespace

void fuzzOne(const std::string &Input) {
  static RelayCodec Frames;
  // As it arrives: bytes that are no packing, or one of anything.
  if (const auto Read = Frames.read(Input))
    expectSame(Frames, *Read);
  // What a packing may hold.
  const auto Message = decode<RelayMessage>(Input);
  if (!Message)
    return;
  const auto Again = decode<RelayMessage>(encode(*Message));
  expect(Again.has_value() && *Again == *Message);
  expectSame(Frames, {*Message});
}
