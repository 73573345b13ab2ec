/// \file
/// Digests, message authentication codes and Base64, through OpenSSL.

#include "Common/Cryptography.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <vector>

namespace corianderdyke {

std::string truncatedHmac(const std::string &Key, const std::string &Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Out{};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       Out.data(), &Size);
  return {reinterpret_cast<const char *>(Out.data()), TruncatedHmacBytes};
}

bool equalsInConstantTime(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string sha256Hex(const std::string &Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Out{};
  unsigned int Size = 0;
  EVP_Digest(Bytes.data(), Bytes.size(), Out.data(), &Size, EVP_sha256(),
             nullptr);
  constexpr const char *Digits = "0123456789abcdef";
  std::string Text;
  for (unsigned int Index = 0; Index < Size; ++Index) {
    Text.push_back(Digits[Out[Index] >> 4U]);
    Text.push_back(Digits[Out[Index] & 0xfU]);
  }
  return Text;
}

std::string encodeBase64Url(const std::string &Bytes) {
  std::vector<unsigned char> Out(4 * ((Bytes.size() + 2) / 3) + 1);
  const int Size = EVP_EncodeBlock(
      Out.data(), reinterpret_cast<const unsigned char *>(Bytes.data()),
      static_cast<int>(Bytes.size()));
  std::string Text(reinterpret_cast<const char *>(Out.data()),
                   static_cast<std::size_t>(Size));
  for (char &Each : Text) {
    if (Each == '+')
      Each = '-';
    if (Each == '/')
      Each = '_';
  }
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  return Text;
}

Expected<std::string> decodeBase64Url(const std::string &Text) {
  std::string Padded = Text;
  for (char &Each : Padded) {
    if (Each == '-')
      Each = '+';
    else if (Each == '_')
      Each = '/';
  }
  std::size_t Padding = 0;
  while (Padded.size() % 4 != 0) {
    Padded.push_back('=');
    ++Padding;
  }
  std::string Out(Padded.size() / 4 * 3, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Padded.data()),
                      static_cast<int>(Padded.size()));
  if (Size < 0 || Padding > 2)
    return fail(ErrorCode::BadInput, "the text is not valid Base64");
  Out.resize(static_cast<std::size_t>(Size) - Padding);
  return Out;
}

} // namespace corianderdyke
