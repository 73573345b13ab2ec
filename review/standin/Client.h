/// \file
/// One client session in the users' line protocol.

#ifndef CORIANDERDYKE_REVIEW_CLIENT_H
#define CORIANDERDYKE_REVIEW_CLIENT_H

#include "Net.h"
#include "Record.h"

#include <vector>

namespace review {

struct Answer {
  std::string Id;
  std::int64_t SentAt = 0;
  std::int64_t EndedAt = 0;
  std::vector<std::string> Rows;
  std::string Digest; ///< Of a success.
  std::string Code;   ///< Of an error.
  char State = 'I';
  bool IsCut = false; ///< The connection ended without a complete answer.
  bool HasTimedOut = false;

  bool isDone() const { return !IsCut && !HasTimedOut && Code.empty(); }
};

class Client {
public:
  Client(std::string Name, Record &Log) : Name(std::move(Name)), Log(Log) {}

  bool open(const Endpoint &Proxy, const std::string &Database);
  bool isOpen() const { return Connection != nullptr; }
  void close();
  /// Sends a statement and waits for its answer.
  Answer query(const std::string &Text);

private:
  std::string Name;
  Record &Log;
  std::shared_ptr<Stream> Connection;
  std::uint64_t Next = 1;
};

} // namespace review

#endif
