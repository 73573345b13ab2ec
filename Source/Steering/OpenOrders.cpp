/// \file
/// Orders to promote that may still be executed.

#include "Steering/OpenOrders.h"

#include <algorithm>

namespace corianderdyke {

void OpenOrders::add(const std::string &Group, const std::string &Target,
                     std::uint64_t Token) {
  const auto [Found, IsNew] =
      ByGroup[Group].try_emplace(Target, TokenRange{Token, Token});
  if (!IsNew)
    Found->second.Last = std::max(Found->second.Last, Token);
}

void OpenOrders::endUpTo(const std::string &Group, std::uint64_t Token) {
  const auto Found = ByGroup.find(Group);
  if (Found == ByGroup.end())
    return;
  std::erase_if(Found->second, [Token](const auto &Each) {
    return Each.second.Last <= Token;
  });
  for (auto &[Target, Each] : Found->second)
    Each.First = std::max(Each.First, Token + 1);
  if (Found->second.empty())
    ByGroup.erase(Found);
}

// Of several orders that name the target, the others stay open.
void OpenOrders::endOne(const std::string &Group, std::uint64_t Token) {
  const auto Found = ByGroup.find(Group);
  if (Found == ByGroup.end())
    return;
  std::erase_if(Found->second, [Token](const auto &Each) {
    return Each.second == TokenRange{Token, Token};
  });
  if (Found->second.empty())
    ByGroup.erase(Found);
}

std::set<std::string> OpenOrders::rivalsOf(const std::string &Group,
                                           const std::string &Primary) const {
  std::set<std::string> Out;
  const auto Found = ByGroup.find(Group);
  if (Found == ByGroup.end())
    return Out;
  for (const auto &[Target, Each] : Found->second)
    if (Target != Primary)
      Out.insert(Target);
  return Out;
}

bool OpenOrders::isOnlyOrder(const std::string &Group,
                             const std::string &Target,
                             std::uint64_t Token) const {
  const auto Found = ByGroup.find(Group);
  if (Found == ByGroup.end())
    return false;
  const auto Open = Found->second.find(Target);
  return Open != Found->second.end() &&
         Open->second == TokenRange{Token, Token};
}

} // namespace corianderdyke
