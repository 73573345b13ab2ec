/// \file
/// Fuzzes the codec of the frames that relay statements between proxies.

#include "Common/Codec.h"
#include "FuzzSupport.h"
#include "Relay/RelayCodec.h"

using namespace corianderdyke;

namespace {

/// Checks that messages encode and decode to the same messages.
void expectSame(RelayCodec &Frames, const std::vector<RelayMessage> &Messages) {
  const auto Again = Frames.read(Frames.write(Messages));
  expect(Again.has_value() && *Again == Messages);
}

} // namespace

void fuzzOne(const std::string &Input) {
  static RelayCodec Frames;
  // The input as a received frame, valid or not.
  if (const auto Read = Frames.read(Input))
    expectSame(Frames, *Read);
  // The input as the content of a frame.
  const auto Message = decode<RelayMessage>(Input);
  if (!Message)
    return;
  const auto Again = decode<RelayMessage>(encode(*Message));
  expect(Again.has_value() && *Again == *Message);
  expectSame(Frames, {*Message});
}
