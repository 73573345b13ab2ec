/// \file
/// Sealing and opening of envelopes.

#include "Transport/Envelope.h"

#include "Common/Codec.h"
#include "Common/Compression.h"
#include "Common/KeyedDigest.h"

namespace corianderdyke {

std::string seal(const Envelope &Message, const std::string &Key) {
  const std::string Bytes = pack(encode(Message));
  return keyedDigest(Key, Bytes) + Bytes;
}

Expected<Envelope> open(const std::string &Bytes, const std::string &Key) {
  if (Bytes.size() < KeyedDigestBytes)
    return fail(ErrorCode::BadInput, "too short for a message");
  const std::string Content = Bytes.substr(KeyedDigestBytes);
  if (!sameDigest(Bytes.substr(0, KeyedDigestBytes), keyedDigest(Key, Content)))
    return fail(ErrorCode::BadInput, "sealed with another key");
  const auto Unpacked = unpack(Content, MaxUnpackedBytes);
  if (!Unpacked)
    return tl::unexpected(Unpacked.error());
  auto Out = decode<Envelope>(*Unpacked);
  if (Out && Out->Version != Envelope::CurrentVersion)
    return fail(ErrorCode::BadInput, "version " + std::to_string(Out->Version) +
                                         " of the protocol isn't known");
  return Out;
}

} // namespace corianderdyke
