/// \file
/// A simulated target that speaks the platform's line protocol on a real
/// socket.

#ifndef CORIANDERDYKE_TESTS_STANDIN_LINETARGET_H
#define CORIANDERDYKE_TESTS_STANDIN_LINETARGET_H

#include "Common/Identity.h"
#include "Loop/EventLoop.h"
#include "Statements/Statement.h"

#include <set>

struct bufferevent;
struct evconnlistener;

namespace corianderdyke {

/// Implements the part of the platform's line protocol that the tests need:
/// sessions, transactions, positions, status and stepping down. It sends its
/// answers a few bytes at a time, so that readers see every possible split.
class LineTarget {
public:
  LineTarget(EventLoop &Loop, std::string Group, std::string Id,
             bool IsPrimary);
  ~LineTarget();
  LineTarget(const LineTarget &) = delete;
  LineTarget &operator=(const LineTarget &) = delete;

  const Endpoint &endpoint() const { return At; }

  bool IsPrimary;
  LogPosition Log{1, 1};
  std::size_t PieceBytes = 3;
  std::vector<std::string> Received; ///< Lines in order of arrival.

private:
  struct Connection;

  void accepted(int Socket);
  std::string answer(Connection &To, const std::string &Line);
  std::string run(Connection &To, std::string Text);

  EventLoop &Loop;
  std::string Group;
  std::string Id;
  Endpoint At;
  evconnlistener *Listener = nullptr;
  std::set<std::unique_ptr<Connection>> Connections;
};

} // namespace corianderdyke

#endif
