/// \file
/// Orders to promote that may still be executed.

#ifndef CORIANDERDYKE_STEERING_OPENORDERS_H
#define CORIANDERDYKE_STEERING_OPENORDERS_H

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace corianderdyke {

/// Orders whose end is not known, by group. An order without an answer may be
/// executed seconds later, unless an order with a higher token has been
/// accepted by then.
class OpenOrders {
public:
  void add(const std::string &Group, const std::string &Target,
           std::uint64_t Token);
  /// Ends an order that was accepted, and all earlier ones of its group: their
  /// lower tokens are rejected from now on.
  void endUpTo(const std::string &Group, std::uint64_t Token);
  /// Ends an order that was rejected or never sent. It says nothing about
  /// earlier ones.
  void endOne(const std::string &Group, std::uint64_t Token);

  /// Targets other than \p Primary that an open order would promote.
  std::set<std::string> rivalsOf(const std::string &Group,
                                 const std::string &Primary) const;
  /// True if \p Token is the only open order that names \p Target.
  bool isOnlyOrder(const std::string &Group, const std::string &Target,
                   std::uint64_t Token) const;
  bool empty() const { return ByGroup.empty(); }

  bool operator==(const OpenOrders &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(ByGroup); }

private:
  /// Open orders that name one target; others may lie between the two.
  struct TokenRange {
    std::uint64_t First = 0;
    std::uint64_t Last = 0; ///< At least First.

    auto operator<=>(const TokenRange &) const = default;
    template <class Archive> void serialize(Archive &Ar) { Ar(First, Last); }
  };

  using ByTarget = std::map<std::string, TokenRange>;

  /// No group is empty.
  std::map<std::string, ByTarget> ByGroup;
};

} // namespace corianderdyke

#endif
