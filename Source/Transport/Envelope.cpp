/// \file
/// Signing, compression and verification of envelopes.

#include "Transport/Envelope.h"

#include "Common/Codec.h"
#include "Common/Compression.h"
#include "Common/Cryptography.h"

namespace corianderdyke {

std::string signAndEncode(const Envelope &Message, const std::string &Key) {
  const std::string Bytes = compressMessage(encode(Message));
  return truncatedHmac(Key, Bytes) + Bytes;
}

Expected<Envelope> verifyAndDecode(const std::string &Bytes,
                                   const std::string &Key) {
  if (Bytes.size() < TruncatedHmacBytes)
    return fail(ErrorCode::BadInput, "too short for a signed message");
  const std::string Content = Bytes.substr(TruncatedHmacBytes);
  if (!equalsInConstantTime(Bytes.substr(0, TruncatedHmacBytes),
                            truncatedHmac(Key, Content)))
    return fail(ErrorCode::BadInput, "signed with another key");
  const auto Decompressed = decompressMessage(Content, MaxUncompressedBytes);
  if (!Decompressed)
    return tl::unexpected(Decompressed.error());
  auto Out = decode<Envelope>(*Decompressed);
  if (Out && Out->Version != Envelope::CurrentVersion)
    return fail(ErrorCode::BadInput, "version " + std::to_string(Out->Version) +
                                         " of the protocol is not supported");
  return Out;
}

} // namespace corianderdyke
