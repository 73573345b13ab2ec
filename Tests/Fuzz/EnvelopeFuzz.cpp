/// \file
/// Fuzzes the decoder of messages between processes: arbitrary bytes with a
/// valid signature.

#include "Common/Codec.h"
#include "Common/Cryptography.h"
#include "FuzzSupport.h"
#include "Transport/Envelope.h"

using namespace corianderdyke;

void fuzzOne(const std::string &Input) {
  const std::string Key = "a key for the peers";
  const auto Opened = verifyAndDecode(truncatedHmac(Key, Input) + Input, Key);
  if (!Opened)
    return;
  // A decoded message encodes and decodes to the same message.
  const auto Again = verifyAndDecode(signAndEncode(*Opened, Key), Key);
  expect(Again.has_value() && *Again == *Opened);
}
