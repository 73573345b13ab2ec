/// \file
/// The session token that a caller sends with each request.

#include "Session/SessionToken.h"

#include "Common/Codec.h"
#include "Common/Cryptography.h"
#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

std::uint64_t hashOf(const std::string &Name) { return hashText(Name); }

} // namespace

std::optional<SessionFloor>
SessionToken::floor(const std::string &Database) const {
  const std::uint64_t Hash = hashOf(Database);
  for (const SessionFloor &Each : Floors)
    if (Each.Database == Hash)
      return Each;
  return std::nullopt;
}

SessionToken SessionToken::withWrite(const std::string &Database,
                                     std::uint64_t Term,
                                     std::uint64_t Position) const {
  SessionToken Out = *this;
  SessionFloor New{hashOf(Database), Term, Position};
  const auto Known = std::find_if(Out.Floors.begin(), Out.Floors.end(),
                                  [&New](const SessionFloor &Each) {
                                    return Each.Database == New.Database;
                                  });
  if (Known != Out.Floors.end()) {
    // Answers may arrive in another order than the writes ran in.
    New = std::max(New, *Known);
    Out.Floors.erase(Known);
  }
  Out.Floors.push_back(New);
  if (Out.Floors.size() > MaxFloors) {
    Out.Floors.erase(Out.Floors.begin());
    Out.Partial = true;
  }
  return Out;
}

std::string signToken(const SessionToken &Token, const std::string &Key) {
  const std::string Bytes = encode(Token);
  return encodeBase64Url(truncatedHmac(Key, Bytes) + Bytes);
}

Expected<SessionToken> verifyToken(const std::string &Text,
                                   const std::string &Key) {
  if (Text.empty())
    return SessionToken();
  const auto Bytes = decodeBase64Url(Text);
  // The last base64 character has unused bits. Texts that differ from the
  // canonical encoding in them were not issued by a proxy.
  if (!Bytes || encodeBase64Url(*Bytes) != Text ||
      Bytes->size() < TruncatedHmacBytes ||
      !equalsInConstantTime(
          Bytes->substr(0, TruncatedHmacBytes),
          truncatedHmac(Key, Bytes->substr(TruncatedHmacBytes))))
    return fail(ErrorCode::BadInput,
                "the session token was altered or cut short");
  auto Token = decode<SessionToken>(Bytes->substr(TruncatedHmacBytes));
  if (!Token)
    return fail(ErrorCode::BadInput, "the session token can't be read");
  return Token;
}

} // namespace corianderdyke
